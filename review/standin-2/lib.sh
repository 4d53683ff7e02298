# The small deployment of the scripts: the store, workers and one host, which
# is the program of the deploy file. Source this file from a case's run.sh,
# which sets HERE (the case's folder), and call deploy_up.

ROOT=$(cd "$HERE/../.." && pwd)
SITE=$ROOT/review/bin/site-2
EDGE=$ROOT/target/tamarackgw-edge
RECORD=$HERE/record.txt
TROUBLE=${TROUBLE:-1}
HOST=ficu95.example
KEY=n2ctnfzs989anu6wsjnb
FOLDER=$(mktemp -d)
PIDS=

end_all() {
	[ -z "$PIDS" ] || disown -a
	[ -z "$PIDS" ] || kill -KILL $PIDS 2>/dev/null
	sleep 0.2
	rm -rf "$FOLDER"
}
trap end_all EXIT

say() { echo "$(date +%s%3N) script $*" >>"$RECORD"; }

# cannot_run REASON: the case could not run.
cannot_run() {
	say "can't run: $*"
	exit 2
}

# wait_for COMMAND...: waits up to 20 s until the command succeeds.
wait_for() {
	local i
	for i in $(seq 200); do
		"$@" >/dev/null 2>&1 && return
		sleep 0.1
	done
	cannot_run "timed out: $*"
}

# worker ID SERVICE MODE PORT [LISTEN_PORT]: starts a worker and sets WORKER to
# its process.
worker() {
	"$SITE" worker "$4" "$STORE" "$1" "$2" "$3" "$RECORD" ${5:+"$5"} \
		2>>"$FOLDER/err" &
	WORKER=$!
	PIDS="$PIDS $WORKER"
}

# The settings that platform/settings.ini.in gives for one host.
settings() {
	cat <<-END
	[host]
	name = front-lj-a-1
	failure_domain = east
	caller_address = 127.0.0.1:$FRONT
	ready_address = 127.0.0.1:$READY
	metrics_address = 127.0.0.1:$METRICS
	peer_address = 127.0.0.1:$PEER
	memory_mb = 260
	max_descriptors = 4100
	link_mbps = 1000.0
	[regions]
	east = slo
	[store]
	address = 127.0.0.1:$STORE
	apply_ms = 2000
	drain_ms = 2000
	heartbeat_ms = 1200
	[retry]
	window_s = 10
	slack = 56
	[stop]
	kill_after_s = 8
	END
}

start_host() {
	TAMARACKGW_SETTINGS=$FOLDER/boot.ini "$EDGE" >>"$FOLDER/edge.log" 2>&1 &
	HOST_PROCESS=$!
	PIDS="$PIDS $HOST_PROCESS"
}

# deploy_up CONFIGURATION: starts the store and the host. PORTS are left for
# workers.
deploy_up() {
	: >"$RECORD"
	[ -x "$SITE" ] && [ -x "$EDGE" ] ||
		cannot_run "build the deploy file and review/build-2.sh first"
	PORTS=$("$SITE" ports 12)
	set -- "$1" $PORTS
	STORE=$2 FRONT=$3 READY=$4 METRICS=$5 PEER=$6
	shift 6
	PORTS=$*
	"$SITE" store "$STORE" 2>>"$FOLDER/err" &
	PIDS="$PIDS $!"
	settings >"$FOLDER/boot.ini"
	echo "$CONFIGURATION" >"$FOLDER/config.json"
	wait_for put_configuration
	start_host
	wait_for "$SITE" ready "$READY"
}

put_configuration() { "$SITE" put "$STORE" op/config <"$FOLDER/config.json"; }

# request ID PATH DEADLINE_MS [TOKENS]: sends a request; its answer goes to
# $FOLDER/ID.body, what the client saw to $FOLDER/ID.seen and the record.
request() {
	say "request $1 is sent to $2"
	"$SITE" send "$FRONT" "$HOST" "$2" "$KEY" "$1" "$3" "$FOLDER/$1.body" \
		${4:+"$4"} >"$FOLDER/$1.seen" 2>>"$FOLDER/err"
	say "request $1: $(cat "$FOLDER/$1.seen")"
}

# end_case BROKEN: 1 if the rule was broken, else 0.
end_case() {
	grep -E 'part=(call|server) ' "$FOLDER/edge.log" |
		sed 's/^/host: /' | head -100 >>"$RECORD"
	say "the rule $([ "$1" = 1 ] && echo "was broken" || echo held)"
	exit "$1"
}
