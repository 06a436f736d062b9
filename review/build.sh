#!/usr/bin/env bash
# Checks the stand-ins, which are Python programs and need only its standard library (3.11 or newer).
set -e
cd "$(dirname "$0")"
python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
for file in standin/*.py [0-9]*/*.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
