#!/bin/bash
# A request crashes each worker that runs it, 4 s after it began, and its caller
# leaves early each time. It must not go on to reach workers after the third.
HERE=$(cd "$(dirname "$0")" && pwd)
. "$HERE/../standin-2/lib.sh"

CONFIGURATION='{"version":7,
"services":[{"name":"dispatch","healthPath":"/health","maxConnections":110}],
"routes":[{"name":"schedule","host":"ficu95.example","pathPrefix":"/bad/",
"service":"dispatch","kind":"safe","maxAttempts":1,"timeoutMs":8000,
"targetLatencyMs":150,"priority":0},
{"name":"booking","host":"ficu95.example","pathPrefix":"/puxa403/",
"service":"dispatch","kind":"unsafe","maxAttempts":1,"timeoutMs":2500,
"targetLatencyMs":150,"priority":0}],
"tenants":[{"name":"hule930","apiKeys":["n2ctnfzs989anu6wsjnb"]}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,
"headerTimeoutMs":3000,"idleTimeoutMs":15000}}'
CONTACT_MS=3000
STAY_MS=75 # half of targetLatencyMs
[ "$TROUBLE" = 1 ] || STAY_MS=8000

deploy_up
PORT=($PORTS)

# start_worker N: a worker that was lost starts anew, with a new id.
start_worker() {
	STARTS[$1]=$((${STARTS[$1]:-0} + 1))
	worker "w-$1.${STARTS[$1]}" dispatch fragile "${PORT[$1]}"
	PROCESS[$1]=$WORKER
	BACK[$1]=
}

for n in 1 2 3 4; do start_worker $n; done
for n in 1 2 3 4; do
	wait_for grep -q "w-$n.1 is ready" "$RECORD"
done
sleep 2

# restart_workers TICK: one that crashed is back after 3 s.
restart_workers() {
	for n in 1 2 3 4; do
		if [ -n "${BACK[$n]}" ]; then
			[ "$1" -lt "${BACK[$n]}" ] || start_worker $n
		elif ! kill -0 "${PROCESS[$n]}" 2>/dev/null; then
			BACK[$n]=$(($1 + 12))
		fi
	done
}

bad() {
	say "bad $1 is sent"
	"$SITE" leave "$FRONT" "$HOST" /bad/7 "$KEY" "$1" 8000 $STAY_MS \
		>"$FOLDER/$1.seen" 2>>"$FOLDER/err"
	say "bad $1: $(cat "$FOLDER/$1.seen")"
}

# Ticks of 250 ms: callers leave in windows of 5 s, 10 s apart. One of about ten
# callers sends the bad request, twice in each window; the others send bookings
# all the while.
sends=0
for tick in $(seq 0 319); do
	restart_workers "$tick"
	[ $((tick % 5)) != 0 ] || request "s$tick" /puxa403/2f 2000 &
	case $((tick % 40)) in
	0 | 18)
		sends=$((sends + 1))
		bad "b$sends" &
		;;
	esac
	sleep 0.25
done
sleep 1

third=$(grep 'crashes it' "$RECORD" | sed -n 3p | cut -d' ' -f1)
late=0
[ -z "$third" ] || late=$(awk -v from=$((third + CONTACT_MS)) '
	/worker .* request b[0-9]+ runs/ && $1 > from' "$RECORD" | wc -l)
say "$sends sends, $(grep -c 'crashes it' "$RECORD") crashes; $late reached" \
	"workers later than $CONTACT_MS ms after the third (3 are allowed);" \
	"$(grep -cE 'request s[0-9]+: status 50' "$RECORD") of" \
	"$(grep -cE 'request s[0-9]+: ' "$RECORD") bookings failed"
broken=0
[ "$late" -le 3 ] || broken=1
end_case $broken
