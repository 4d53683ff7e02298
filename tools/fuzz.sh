#!/bin/bash
# Fuzzes the decoders with libFuzzer: tools/fuzz.sh [--seconds N] [TARGET...]
# Each tests/fuzz/fuzz_TARGET.c runs for N seconds (default 10), starting from
# the committed inputs in tests/fuzz/corpus/TARGET. An input that fails is saved
# in build-fuzz, and its path is printed.
set -euo pipefail
cd "$(dirname "$0")/.."
seconds=10
if [ "${1:-}" = --seconds ]; then
	seconds=${2:?give a number of seconds}
	shift 2
fi
targets=${*:-$(ls tests/fuzz/fuzz_*.c | sed 's:.*/fuzz_::; s:\.c$::')}
dir=build-fuzz
cmake -S . -B $dir -G Ninja -DCMAKE_C_COMPILER=clang \
	-DCMAKE_C_FLAGS="-fsanitize=fuzzer-no-link" -DTGW_SANITIZE=address \
	>$dir.cmake.log 2>&1 || { cat $dir.cmake.log >&2; exit 1; }
mv $dir.cmake.log $dir/cmake.log
ninja -C $dir --quiet libtamarackgw.a libtgw_net.a libtgw_edge.a \
	libtgw_platform.a
modules="apr-1 msgpack libsodium libxxhash inih zlib libzmq libmicrohttpd jansson liburcu liburcu-memb log4c"
status=0
for target in $targets; do
	clang -g -O1 -fsanitize=fuzzer,address -D_GNU_SOURCE -Iinclude -Isrc \
		-Itests $(pkg-config --cflags $modules) \
		"tests/fuzz/fuzz_$target.c" $dir/libtgw_net.a \
		$dir/libtgw_platform.a $dir/libtgw_edge.a $dir/libtamarackgw.a $(pkg-config --libs $modules) -lm \
		-lpthread -o "$dir/fuzz_$target"
	mkdir -p "$dir/corpus/$target"
	if "$dir/fuzz_$target" -max_total_time="$seconds" -timeout=10 \
		-rss_limit_mb=1024 -max_len=16384 -seed=1 \
		-artifact_prefix="$dir/$target-" "$dir/corpus/$target" \
		"tests/fuzz/corpus/$target" >"$dir/$target.log" 2>&1; then
		echo "fuzz $target: ok, $(sed -n 's/^Done \([0-9]*\) runs.*/\1/p' "$dir/$target.log") runs"
	else
		echo "fuzz $target: FAILED"
		tail -n 30 "$dir/$target.log"
		status=1
	fi
done
exit $status
