#!/bin/sh
# Checks that
# - a layer includes only its own headers and those of the layers before it:
#   base < state < coordination < protocol < transport < edge, daemon, ctl
# - state and coordination do no I/O and read no clock
# - only platform/ and tests include headers of platform/
# - only platform/ has the names that the platform's interfaces define
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
forbid base 'state|coordination|protocol|transport|edge|daemon|ctl'
forbid state 'coordination|protocol|transport|edge|daemon|ctl'
forbid coordination 'protocol|transport|edge|daemon|ctl'
forbid protocol 'transport|edge|daemon|ctl'
forbid transport 'edge|daemon|ctl'
forbid edge 'daemon|ctl'
forbid daemon 'edge|ctl'
forbid ctl 'edge|daemon'
if grep -nE '#include <(sys/socket|sys/time|time|stdio|zmq|microhttpd|curl/curl|uv|pthread|unistd|fcntl|apr_time|apr_network_io|apr_file_io)\.h>' -r src/state src/coordination | grep -v 'stdio.h>'; then
	echo "state and coordination do no I/O and read no clock" >&2
	status=1
fi
if grep -nE '\b(fopen|printf|fprintf|puts|time|gettimeofday|clock_gettime)\(' -r src/state src/coordination | grep -vE 'snprintf'; then
	echo "state and coordination do no I/O and read no clock" >&2
	status=1
fi
if grep -nE '#include "platform' -r src include; then
	echo "src and include must not include platform/" >&2
	status=1
fi
# Fields, headers, paths and keys that the platform's interfaces define.
names='Tamarackgw-[A-Z]|Kv-(From|Fetch)|kv-(key|range|watch|txn|lease|keep|move|events|list|handle|pin)|hold-(take|drop)'
names="$names|pathPrefix|trafficSplit|maxAttempts|targetLatencyMs|targetGapMs|maxConnections|apiKeys|healthPath|kvCapacity|kvTokenBytes"
names="$names|coldRemainingMs|expectedRevision|storeRevision|hasMore|staleOk|tombstone|waitMs|op/config|\"servers/|TAMARACKGW_SETTINGS"
if grep -nE "$names" -r src include; then
	echo "names that the platform's interfaces define belong in platform/" >&2
	status=1
fi
exit $status
