# Functions of this review's scripts. A script sets CASE to its folder, sources
# this file from the repository's root, and calls site_up, then host_up.

SITE=target/review-3/site
TROUBLE=${TROUBLE:-1}
WORK=$(mktemp -d)
PIDS=
STORE=
: >"$CASE/record.txt"
exec 9>>"$CASE/record.txt"

mkfifo "$WORK/never"
exec 8<>"$WORK/never"

# pause SECONDS: without a process of its own, which could outlive the script
pause() { read -rt "$1" -u 8; return 0; }

record() { echo "$*" >&9; }
now_ms() { date +%s%3N; }

# Ends the script with 2: the case couldn't run.
cannot_run() { record "can't run: $*"; echo "can't run: $*" >&2; exit 2; }

end_all() {
	local status=$?
	local pid
	touch "$WORK/ended"
	for pid in $PIDS $(cat "$WORK"/*.pid 2>/dev/null); do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$WORK"
	exit $status
}
trap end_all EXIT
trap 'exit 2' INT TERM

[ -x "$SITE" ] && [ -x target/tamarackgw-edge ] || {
	trap - EXIT
	rm -rf "$WORK"
	echo "build the deploy file and review/build-3.sh first" >&2
	exit 2
}

# wait_for COMMAND...: up to 10 s
wait_for() {
	local i
	for i in $(seq 200); do
		"$@" >/dev/null 2>&1 && return 0
		pause 0.05
	done
	cannot_run "timed out: $*"
}

site_up() {
	"$SITE" store "$WORK/store.port" 8>&- 9>&- &
	PIDS="$PIDS $!"
	wait_for test -s "$WORK/store.port"
	STORE=$(cat "$WORK/store.port")
}

put() { "$SITE" put "$STORE" "$1" 2>>"$WORK/errors"; }
remove() { "$SITE" remove "$STORE" "$1" >/dev/null 2>>"$WORK/errors"; }

# worker_up ID MODE [FLAG_FILE]: starts a worker; its process id is in
# $WORK/ID.pid, its port in $WORK/ID.port
worker_up() {
	rm -f "$WORK/$1.port"
	"$SITE" worker "$WORK/$1.port" "$1" "$CASE/record.txt" "$2" \
		${3:+"$3"} 8>&- 9>&- &
	echo $! >"$WORK/$1.pid"
	wait_for test -s "$WORK/$1.port"
}

# worker_entry ID SERVICE STATE SEQUENCE BORN SLOTS
worker_entry() {
	put "servers/$1" <<-END
	{"service":"$2","address":"127.0.0.1:$(cat "$WORK/$1.port")","zone":"lj-a","version":"v1","slots":$6,"state":"$3","coldRemainingMs":0,"sequence":$4,"born":$5}
	END
}

# route NAME PREFIX KIND SERVICE ATTEMPTS TIMEOUT_MS RESUMABLE AFFINITY
route() {
	printf '{"name":"%s","host":"a.example","pathPrefix":"%s","kind":"%s","timeoutMs":%s,"targetLatencyMs":400,"priority":0,"service":"%s","maxAttempts":%s,"public":false,"affinity":%s,"resumable":%s,"targetGapMs":300}' \
		"$1" "$2" "$3" "$6" "$4" "$5" "$8" "$7"
}

# tenant NAME KEY PREPAID
tenant() {
	printf '{"name":"%s","apiKeys":["%s"],"priority":1,"prepaid":%s}' \
		"$1" "$2" "$3"
}

# config VERSION ROUTES TENANTS: prints when the store acknowledged it
config() {
	put op/config <<-END
	{"version":$1,"routes":[$2],"services":[{"name":"llm","healthPath":"/health","maxConnections":370,"protocol":"h1","tls":false,"engine":{"slots":64,"kvCapacity":444000,"kvTokenBytes":131072,"linkMbps":1100000.0,"moves":true,"backups":true,"stride":9,"most":12,"pinMs":4000.0,"holdMs":2000.0,"handleS":5.0,"models":[{"name":"m"}]}},{"name":"app","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[$3]}
	END
}

# host_up NAME ZONE: starts the program of the deploy file with settings filled
# in by its template; the caller address is in $WORK/NAME.front
host_up() {
	local ports
	ports=($("$SITE" ports 4))
	cat >"$WORK/$1.ini" <<-END
	[host]
	name = $1
	failure_domain = $2
	caller_address = 127.0.0.1:${ports[0]}
	ready_address = 127.0.0.1:${ports[1]}
	metrics_address = 127.0.0.1:${ports[2]}
	peer_address = 127.0.0.1:${ports[3]}
	memory_mb = 260
	max_descriptors = 4100
	link_mbps = 1000.0
	[regions]
	lj-a = slo
	lj-b = slo
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
	echo "${ports[0]}" >"$WORK/$1.front"
	TAMARACKGW_SETTINGS="$WORK/$1.ini" target/tamarackgw-edge \
		>"$WORK/$1.log" 2>&1 8>&- 9>&- &
	PIDS="$PIDS $!"
	wait_for "$SITE" ready "${ports[1]}"
}

front() { cat "$WORK/$1.front"; }

# call HOST PATH ID KEY DEADLINE_MS [INPUT OUTPUT]
call() {
	local host=$1
	shift
	"$SITE" call "$(front "$host")" "$@"
}
