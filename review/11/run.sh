#!/bin/bash
# A worker that leaves ends within its answers: they must not look complete.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/11
. review/standin-3/lib.sh

BORN=1700000000000
site_up
for id in w-1 w-2 w-3; do
	worker_up $id slow
	worker_entry $id llm ready 1 $BORN 64 >/dev/null
done
for id in a-1 a-2 a-3; do
	worker_up $id slow
	worker_entry $id app ready 1 $BORN 64 >/dev/null
done
config 1 "$(route s /stream/ streaming llm 1 10000 false true),$(route r /resume/ streaming llm 2 10000 true true),$(route b /book/ unsafe app 1 10000 false false)" \
	"$(tenant dvigalka key-1 100000000)" >/dev/null
host_up h-1 lj-a
host_up h-2 lj-b
pause 2 # the budgets are taken

record "$(now_ms) clients send 36 requests; each answer takes 6 s"
CALLS=
for i in $(seq 12); do
	host=h-$((i % 2 + 1))
	call $host /stream/x s-$i key-1 10000 1000 600 >"$WORK/s-$i.out" &
	CALLS="$CALLS $!"
	call $host /resume/x r-$i key-1 10000 1000 600 >"$WORK/r-$i.out" &
	CALLS="$CALLS $!"
	call $host /book/x b-$i key-1 10000 >"$WORK/b-$i.out" &
	CALLS="$CALLS $!"
done
pause 1
if [ "$TROUBLE" = 1 ]; then
	# One worker of each service is taken away: it says so, and is gone 2 s
	# later.
	record "$(worker_entry w-1 llm draining 2 $BORN 64) store acknowledged: w-1 drains"
	record "$(worker_entry a-1 app draining 2 $BORN 64) store acknowledged: a-1 drains"
	pause 2
	kill -KILL "$(cat "$WORK/w-1.pid")" "$(cat "$WORK/a-1.pid")"
	record "$(now_ms) w-1 and a-1 are gone"
	remove servers/w-1
	remove servers/a-1
fi
wait $CALLS
cat "$WORK"/[srb]-*.out >&9

# A success that is complete must have all 60 events or lines.
BROKEN=$(cat "$WORK"/[srb]-*.out | grep ' status=200 complete=1 ' |
	grep -cv -e ' events=60 ' -e ' lines=60 ')
WHOLE=$(cat "$WORK"/[srb]-*.out | grep ' status=200 complete=1 ' |
	grep -c -e ' events=60 ' -e ' lines=60 ')
record "complete successes with all that the worker had to send: $WHOLE"
record "complete successes that lack some of it: $BROKEN"
[ "$WHOLE" -gt 0 ] || cannot_run "no answer was served"
[ "$BROKEN" = 0 ] || exit 1
exit 0
