#!/bin/sh
# Runs the tests of multi-threaded code under ThreadSanitizer:
#   tools/run-tsan.sh [BUILD_DIR]
set -u
cd "$(dirname "$0")/.."
build=${1:-build-tsan}
status=0
for test in test_answer test_loop_client test_gateway_limits \
	test_gateway_path test_gateway_services test_gateway_streams \
	test_http_server; do
	if timeout 300 "$build/tests/$test" >"$build/$test.log" 2>&1; then
		echo "pass $test"
	else
		echo "FAILED: $test"
		tail -n 40 "$build/$test.log"
		status=1
	fi
done
exit $status
