#!/bin/sh
# The stand-ins of the cases are plain Python and need no build: this checks that they compile.
set -eu
cd "$(dirname "$0")/.."
for file in review/*.py review/[0-9]/*.py; do
    .venv/bin/python -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
