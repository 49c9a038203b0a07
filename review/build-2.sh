#!/bin/sh
# Prepares the stand-ins of the cases 4 to 6. They are Python programs that need the standard library alone, so nothing
# is compiled but their byte code, which also shows that each of them can be read. The cases start the program that the
# build of the deploy file makes and no other program of the project.
cd "$(dirname "$0")" || exit 1
for folder in 4 5 6; do
    [ -d "$folder" ] || continue
    python3 -m compileall -q "$folder" || exit 1
done
