#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library only, so that nothing is compiled. Checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import sys; assert sys.version_info >= (3, 9), "Python 3.9 or newer is needed"'
for file in common/standin.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
