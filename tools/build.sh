#!/bin/sh
# Builds everything: tools/build.sh [BUILD_DIR [SANITIZERS]]
set -eu
cd "$(dirname "$0")/.."
dir=${1:-build}
sanitize=${2:-}
cmake -S . -B "$dir" -G Ninja -DTGW_SANITIZE="$sanitize" >"$dir.cmake.log" 2>&1 || {
	cat "$dir.cmake.log" >&2
	exit 1
}
mv "$dir.cmake.log" "$dir/cmake.log"
ninja -C "$dir" --quiet
