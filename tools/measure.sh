#!/bin/sh
# Builds and runs a measure: tools/measure.sh NAME [--seed N]
# Each prints a table and, as its last line, key=value pairs.
set -eu
cd "$(dirname "$0")/.."
name=${1:?usage: tools/measure.sh NAME [--seed N]}
shift
tools/build.sh build
exec "build/tests/measure_$name" "$@"
