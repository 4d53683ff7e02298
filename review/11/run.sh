#!/bin/bash
# A tenant with a long name: its budget and its name at the workers.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/11
. review/standin-3/lib.sh

BORN=1700000000000
PREPAID=20000
NAME="Ashanti Boilercert Kumasi"
[ "$TROUBLE" = 1 ] &&
	NAME="Ashanti Boilercert Franchise Holdings, Kumasi inspection district"
ROUTES=$(route s /stream/ streaming llm 1 8000 false true)
site_up
for id in w-1 w-2; do
	worker_up $id tokens
	worker_entry $id llm ready 1 $BORN 64 >/dev/null
done
config 1 "$ROUTES" "$(tenant dvigalka key-1 1000000)" >/dev/null
host_up h-1 lj-a
host_up h-2 lj-b
record "$(config 2 "$ROUTES" "$(tenant dvigalka key-1 1000000),$(tenant "$NAME" key-2 $PREPAID)") store acknowledged version 2: tenant \"$NAME\" (${#NAME} characters) with prepaid=$PREPAID"
pause 6 # more than configApplyMs (2 s); allotments are taken

for i in $(seq 80); do
	call h-$((i % 2 + 1)) /stream/x r-$i key-2 8000 100 900 >>"$WORK/calls"
	pause 0.05
done
cat "$WORK/calls" >&9

SERVED=$(grep -c ' status=200 complete=1 ' "$WORK/calls")
EVENTS=$(grep ' status=200 complete=1 ' "$WORK/calls" |
	sed 's/.* events=\([0-9]*\) .*/\1/' | paste -sd+ - | sed 's/^$/0/')
USED=$((SERVED * 100 + (EVENTS) * 9))
OTHERS=$(grep ' runs ' "$CASE/record.txt" | grep -cvF "tenant=\"$NAME\"")
record "served=$SERVED tokens=$USED prepaid=$PREPAID; runs that bore another tenant or none: $OTHERS"
[ "$SERVED" -gt 0 ] || cannot_run "no request was served"
[ "$USED" -le "$PREPAID" ] && [ "$OTHERS" = 0 ] || exit 1
exit 0
