#!/bin/bash
# Long keys: requests with a key that no configuration holds, and with one that
# it does hold.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/14
. review/standin-3/lib.sh

BORN=1700000000000
SHORT=40
LONG=40
[ "$TROUBLE" = 1 ] && SHORT=127 LONG=160
letters() { printf "$1%.0s" $(seq "$2"); }
KEY_A=$(letters a $SHORT)
KEY_B=$(letters b $LONG)
ROUTES=$(route g /read/ safe app 2 600 false false)
site_up
for id in a-1 a-2; do
	worker_up $id ok
	worker_entry $id app ready 1 $BORN 6 >/dev/null
done
config 1 "$ROUTES" "$(tenant dvigalka key-1 1000000)" >/dev/null
host_up h-1 lj-a
host_up h-2 lj-b
ACK=$(config 2 "$ROUTES" "$(tenant dvigalka key-1 1000000),$(tenant team-a "$KEY_A" 1000000),$(tenant team-b "$KEY_B" 1000000)")
record "$ACK store acknowledged version 2: team-a has a key of $SHORT characters, team-b one of $LONG"
pause 6 # three times configApplyMs

for i in $(seq 10); do
	for host in h-1 h-2; do
		call $host /read/x own-a-$i-$host "$KEY_A" 600
		call $host /read/x own-b-$i-$host "$KEY_B" 600
		call $host /read/x forged-$i-$host "${KEY_A}forged" 600
	done
done >"$WORK/calls"
cat "$WORK/calls" >&9

SERVED=$(grep -c 'request=own-a-.* status=200 ' "$WORK/calls")
DENIED=$(grep -c 'request=own-b-.* status=401 ' "$WORK/calls")
FORGED=$(grep ' runs ' "$CASE/record.txt" | grep -c 'request=forged-')
record "team-a served: $SERVED of 20; run with a key that no configuration held: $FORGED of 20; refused with 401 though the key is there: $DENIED of 20"
[ "$SERVED" -gt 0 ] || cannot_run "no request was served"
[ "$FORGED" = 0 ] && [ "$DENIED" -le 10 ] || exit 1
exit 0
