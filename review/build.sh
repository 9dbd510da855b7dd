#!/bin/sh
# Builds the stand-ins of the cases. They are programs for python3 with its standard library alone, so there is nothing
# to compile: this checks that they can be read, and that the sidecar has been built by the deploy file.
set -eu
cd "$(dirname "$0")"
for file in lib/*.py */case.py; do
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read(), sys.argv[1])' "$file"
done
test -x ../target/release/havenplank || {
    echo "build the sidecar first, by the line build of deploy/balancer.toml" >&2
    exit 1
}
