#!/bin/sh
# The stand-ins of review/lib are plain modules of Node.js and need no build.
set -e
cd "$(dirname "$0")/.."
test -f target/sassafrasstage.cjs || echo "run the build of the deploy file first"
