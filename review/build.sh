#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need nothing but python3.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
for file in "$here"/rig/*.py "$here"/*/case.py; do
    python3 -B -c 'import sys; compile(open(sys.argv[1]).read(), sys.argv[1], "exec")' "$file" || exit 1
done
