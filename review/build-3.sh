#!/usr/bin/env bash
# The stand-ins of the third review are small Python programs (standard library
# only), so there is nothing to build: this checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")/standins-3"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import world'
echo "stand-ins: ready"
