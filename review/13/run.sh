#!/bin/bash
# A budget without a limit: what the rest of its configuration says.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/13
. review/standin-3/lib.sh

BORN=1700000000000
APPLY_MS=2000
LARGE=1000000000000
[ "$TROUBLE" = 1 ] && LARGE=9223372036854775807
OLD=$(route g /read/ safe app 2 600 false false)
NEW=$(route n /read/new/ safe app 2 600 false false)
site_up
for id in a-1 a-2; do
	worker_up $id ok
	worker_entry $id app ready 1 $BORN 6 >/dev/null
done
config 1 "$OLD" "$(tenant dvigalka key-1 1000000),$(tenant former key-2 1000000)" >/dev/null
host_up h-1 lj-a
host_up h-2 lj-b
for host in h-1 h-2; do
	call $host /read/x before-1-$host key-1 600 >&9
	call $host /read/x before-2-$host key-2 600 >&9
done
# A key is taken away, one is added, and one team's budget gets no limit.
ACK=$(config 2 "$OLD,$NEW" "$(tenant dvigalka key-1 1000000),$(tenant new-team key-3 1000000),$(tenant own-staff key-4 $LARGE)")
record "$ACK store acknowledged version 2: key-2 is gone, key-3 and /read/new/ are new, own-staff has prepaid=$LARGE"
pause 10 # five times configApplyMs

for i in $(seq 10); do
	for host in h-1 h-2; do
		call $host /read/x dropped-$i-$host key-2 600
		call $host /read/x added-$i-$host key-3 600
		call $host /read/x kept-$i-$host key-1 600
	done
done >"$WORK/calls"
cat "$WORK/calls" >&9

RUN=$(grep -c 'request=dropped-.* status=200 ' "$WORK/calls")
DENIED=$(grep -c 'request=added-.* status=401 ' "$WORK/calls")
KEPT=$(grep -c 'request=kept-.* status=200 ' "$WORK/calls")
record "later than 10 s after the acknowledgement (bound $APPLY_MS ms): run with the dropped key: $RUN of 20; refused with 401 though the key is there: $DENIED of 20; others served: $KEPT of 20"
[ "$KEPT" -gt 0 ] || cannot_run "no request was served"
[ "$RUN" = 0 ] && [ "$DENIED" = 0 ] || exit 1
exit 0
