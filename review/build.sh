#!/bin/sh
# The stand-ins of the cases are Python programs that need nothing but its standard library: checks
# that each of them compiles.
cd "$(dirname "$0")" || exit 1
for program in standins/*.py [1-9]/*.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$program" || exit 1
done
