#!/bin/bash
# Builds, then runs one measurement: tools/measure.sh NAME [OPTION...]
# A measurement that needs other processes is a script, tools/measure/NAME.sh;
# any other is the program build/tests/measure_NAME. The last line of its output
# consists of key=value pairs.
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:?give the name of a measurement: $(ls tools/measure tests/measure | sed -n 's/^measure_\(.*\)\.c$/\1/p; s/\.sh$//p' | sort -u | tr '\n' ' ')}
shift
tools/build.sh build
if [ -x "tools/measure/$name.sh" ]; then
	exec "tools/measure/$name.sh" "$@"
fi
exec "build/tests/measure_$name" "$@"
