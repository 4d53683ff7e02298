#!/bin/bash
# Builds, then runs one measure: tools/measure.sh NAME [OPTION...]
# tools/measure/NAME.sh runs it where it needs processes of its own; else
# build/tests/measure_NAME does. The last line is of key=value pairs.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?give the name of a measure: $(ls tools/measure tests/measure | sed -n 's/^measure_\(.*\)\.c$/\1/p; s/\.sh$//p' | sort -u | tr '\n' ' ')}
shift
tools/build.sh build
if [ -x "tools/measure/$name.sh" ]; then
	exec "tools/measure/$name.sh" "$@"
fi
exec "build/tests/measure_$name" "$@"
