#!/usr/bin/env bash
# Checks that the stand-ins of the cases can run. They are Python programs with
# the standard library only, so there is nothing to compile or to install.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
for file in standins/*.py */case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
