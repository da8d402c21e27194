#!/bin/sh
# Builds what the scripts of review/6 to review/10 start besides bk-front, which
# the build of the deploy file makes. Their stand-ins are the project's own ones
# (tests/proof/platform_standins.py) and review/standins-2, in Python: they are
# checked for syntax, and nothing is left behind.
set -e
cd "$(dirname "$0")/.."
for file in tests/proof/basics.py tests/proof/harness.py \
            tests/proof/platform_standins.py review/standins-2/common.py \
            review/[6-9]/case.py review/10/case.py; do
    [ ! -e "$file" ] || python3 -c \
        'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
