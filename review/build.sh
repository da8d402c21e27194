#!/bin/sh
# The stand-ins of the cases are Python programs: there is nothing to build.
# They use the project's own in tests/proof, which need no build either.
set -eu
cd "$(dirname "$0")"
python3 -c 'import ast, sys
for name in sys.argv[1:]:
    ast.parse(open(name).read(), name)' standins/*.py */run.py
