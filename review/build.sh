#!/bin/bash
# Builds what the scripts of the cases start. Run it after the build of deploy/system.toml, which makes the gateway.
# The stand-ins are written in Python with its standard library alone, so they are only checked here.
set -e
cd "$(dirname "$0")/.."
test -x target/release/havenstage-gateway
for file in review/common/standins.py review/*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
