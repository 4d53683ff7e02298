# Runs the stand-in for the users' site and one edge host as processes. Set
# BUILD and SOURCE, source this file, then call site_up. LIMITS, if set, are the
# limits on callers (see standin_usersite), EXTRA_HOST further lines of [host].

PATH=$BUILD:$BUILD/tests:$PATH
trap 'kill $EDGE $SITE 2>/dev/null' EXIT

# site_say COMMAND...: sends a command to the stand-in for the users' site.
site_say() { echo "$*" >&7; }

# wait_for COMMAND...: waits up to 10 s until the command succeeds.
wait_for() {
	local i
	for i in $(seq 200); do
		"$@" >/dev/null 2>&1 && return
		sleep 0.05
	done
	echo "timed out: $*"
	return 1
}

is_ready() { curl -fsS -o /dev/null "http://$READY/ready"; }

edge_start() {
	tamarackgw-edge --settings edge.ini >>edge.log 2>>edge.err &
	EDGE=$!
}

site_up() {
	mkfifo site.in
	standin_usersite <site.in >site.out &
	SITE=$!
	exec 7>site.in
	wait_for test -s site.out
	read -r STORE FRONT READY METRICS <site.out
	cat >edge.ini <<-END
	[host]
	name = host-a
	failure_domain = east
	caller_address = $FRONT
	ready_address = $READY
	metrics_address = $METRICS
	${EXTRA_HOST:-}
	[store]
	address = $STORE
	apply_ms = 400
	[stop]
	notice_ms = 300
	kill_after_s = 3.0
	END
	[ -z "${LIMITS:-}" ] || site_say limits "$LIMITS"
	site_say config 1 "${PREPAID:-1000000}"
	site_say server 0 ready 1
	site_say server 1 ready 1
	edge_start
	wait_for is_ready
}

# request ID PATH [CURL-OPTION...]: writes the response body to the file answer
# and prints the HTTP status.
request() {
	local id=$1 path=$2
	shift 2
	curl -s -o answer -w '%{http_code}\n' -H 'Host: a.example' \
		-H 'Authorization: Token key-1' \
		-H "Tamarackgw-Request-Id: $id" \
		-H 'Tamarackgw-Deadline-Ms: 1500' "$@" "http://$FRONT$path"
}

# logged EVENT: whether the log has the event.
logged() { grep -q "event=$1" edge.log; }
