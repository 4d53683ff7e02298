#!/bin/sh
# run-script.sh PROGRAM FOLDER: runs the program of a script, which starts the
# edge with the command of the deploy file, and leaves record.txt in the folder.
# TROUBLE=0: without the disruption. SECONDS_MAX: it is ended after that.
set -u
root=$(cd "$(dirname "$0")/.." && pwd)
program=$root/review/bin/$1
record=$(cd "$2" && pwd)/record.txt
cd "$root" || exit 2
EDGE=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$EDGE" ] || { echo "$EDGE is missing: run the build of deploy/system.toml" >&2; exit 2; }
[ -x "$program" ] || { echo "review/bin/$1 is missing: run review/build.sh" >&2; exit 2; }
WORK=$(mktemp -d) || exit 2
export EDGE WORK
trap 'kill $pid 2>/dev/null; wait $pid 2>/dev/null; rm -rf "$WORK"' EXIT
trap 'exit 2' INT TERM HUP
"$program" "$record" &
pid=$!
wait $pid
status=$?
for log in "$WORK"/*.log; do
	[ "$status" = 2 ] && [ -e "$log" ] && tail -5 "$log" >&2
done
[ $status -le 1 ] || status=2
exit $status
