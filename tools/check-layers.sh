#!/bin/sh
# Checks that includes point inwards only:
#   base < state < coordination < protocol < transport < daemon, ctl
# and that state and coordination do no I/O and read no clock.
set -u
cd "$(dirname "$0")/.."
status=0
forbid() {
	layer=$1
	pattern=$2
	if grep -nE "#include \"($pattern)/" -r "src/$layer"; then
		echo "src/$layer must not include $pattern" >&2
		status=1
	fi
}
forbid base 'state|coordination|protocol|transport|daemon|ctl'
forbid state 'coordination|protocol|transport|daemon|ctl'
forbid coordination 'protocol|transport|daemon|ctl'
forbid protocol 'transport|daemon|ctl'
forbid transport 'daemon|ctl'
forbid daemon 'ctl'
forbid ctl 'daemon'
if grep -nE '#include <(sys/socket|sys/time|time|stdio|zmq|microhttpd|curl/curl|pthread|unistd|fcntl|apr_time|apr_network_io|apr_file_io)\.h>' -r src/state src/coordination | grep -v 'stdio.h>'; then
	echo "state and coordination do no I/O and read no clock" >&2
	status=1
fi
if grep -nE '\b(fopen|printf|fprintf|puts|time|gettimeofday|clock_gettime)\(' -r src/state src/coordination | grep -vE 'snprintf'; then
	echo "state and coordination do no I/O and read no clock" >&2
	status=1
fi
exit $status
