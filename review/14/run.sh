#!/bin/bash
# Generations on a route that is no stream: the budget that pays for them.
cd "$(dirname "$0")/../.." || exit 2
CASE=review/14
. review/standin-3/lib.sh

BORN=1700000000000
PREPAID=20000
STREAM=$(route s /stream/ streaming llm 1 8000 false true)
PATH_USED=/stream/x
NEW=$(route t /stream/new/ streaming llm 1 8000 false true)
if [ "$TROUBLE" = 1 ]; then
	NEW=$(route j /draft/ unsafe llm 1 8000 false true)
	PATH_USED=/draft/x
fi
site_up
for id in w-1 w-2; do
	worker_up $id tokens
	worker_entry $id llm ready 1 $BORN 64 >/dev/null
done
config 1 "$STREAM" "$(tenant dvigalka key-1 $PREPAID)" >/dev/null
host_up h-1 lj-a
host_up h-2 lj-b
record "$(config 2 "$STREAM,$NEW" "$(tenant dvigalka key-1 $PREPAID)") store acknowledged version 2: one route more: $NEW"
pause 6 # more than configApplyMs (2 s); allotments are taken

for i in $(seq 80); do
	call h-$((i % 2 + 1)) $PATH_USED r-$i key-1 8000 100 900 >>"$WORK/calls"
	pause 0.05
done
cat "$WORK/calls" >&9

# A whole answer has all of the 900 tokens, as events or as one body.
SERVED=$(grep -c ' status=200 complete=1 ' "$WORK/calls")
USED=$((SERVED * 1000))
record "served=$SERVED tokens=$USED prepaid=$PREPAID"
[ "$SERVED" -gt 0 ] || cannot_run "no request was served"
[ "$USED" -le "$PREPAID" ] || exit 1
exit 0
