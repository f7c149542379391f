#!/usr/bin/env bash
# Checks that the stand-ins of cases 6 to 10 can run. They are Python programs
# with the standard library only, so there is nothing to compile or to install.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in standins-2/*.py 6/*.py 7/*.py 8/*.py 9/*.py 10/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
