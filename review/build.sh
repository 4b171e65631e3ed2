#!/bin/sh
# The stand-ins are Python programs of the standard library, so that nothing has to be compiled. Checks their syntax.
set -e
cd "$(dirname "$0")"
for file in standins.py */case.py; do
  python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
