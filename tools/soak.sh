#!/bin/bash
# Plays faults on a fleet of host processes and checks what callers and backend
# servers see:
#   tools/soak.sh --seeds FROM-TO [--minutes N] [--hosts N] [--jobs N]
#   tools/soak.sh --kept      plays the seeds of tests/soak/seeds.txt
#     --minutes N   how long faults are played for each seed, such as 0.5
#     --play NAME   faults (the default); lost: no fault, but sound servers that
#                   pause, beside planned work; parts: parts of prompts that
#                   crash servers, beside sound requests and faults; evacuate:
#                   evacuations and warm-ups of servers, beside faults
#     --build DIR   a finished build; build if not given
#     --logs DIR    for the logs of seeds that broke a promise
# Exits with 1 if a seed broke a promise that KNOWN-RED.txt does not name. See
# docs/testing.md.
set -u
cd "$(dirname "$0")/.."
build=build
seeds=
minutes=0.5
hosts=6
play_name=faults
jobs=1
logs=

usage() {
	sed -n 's/^# \{0,1\}//; 2,14p' "$0"
	exit "$1"
}

while [ $# -gt 0 ]; do
	case $1 in
	--seeds) seeds=$2; shift ;;
	--minutes) minutes=$2; shift ;;
	--hosts) hosts=$2; shift ;;
	--jobs) jobs=$2; shift ;;
	--play) play_name=$2; shift ;;
	--build) build=$2; shift ;;
	--logs) logs=$2; shift ;;
	--kept) seeds=kept ;;
	--help | -h) usage 0 ;;
	*) usage 2 >&2 ;;
	esac
	shift
done
[ -n "$seeds" ] || usage 2 >&2
logs=${logs:-$build/soak}
build=$(realpath "$build")
logs=$(realpath -m "$logs")
seconds=$(awk -v minutes="$minutes" 'BEGIN { print int(minutes * 60) }')
mkdir -p "$logs"

# Each line: SEED HOSTS SECONDS
list_seeds() {
	if [ "$seeds" = kept ]; then
		grep -v '^#' tests/soak/seeds.txt | cut -d' ' -f1-3
	else
		seq "${seeds%-*}" "${seeds#*-}" | sed "s/\$/ $hosts $seconds/"
	fi
}

# is_known SEED OUT: whether KNOWN-RED.txt lists the seed as soak/PLAY-SEED, and
# with its lines "only: PROMISE" each promise that was broken.
is_known() {
	local only
	grep -qxF "test: soak/$play_name-$1" KNOWN-RED.txt 2>/dev/null || return 1
	only=$(awk -v name="soak/$play_name-$1" '/^test: /{at = $2 == name}
		at && /^only: /{print $2}' KNOWN-RED.txt | paste -sd '|')
	grep -q 'BROKEN ' "$2" || return 1
	[ -z "$only" ] || ! grep -o 'BROKEN [a-z-]*' "$2" | grep -qvE " ($only)\$"
}

# play SEED HOSTS SECONDS: plays a seed; keeps its logs only if it broke one.
play() {
	local folder=$logs/seed-$1-$2
	local clock=$build/tests/soak_wall_clock.so
	rm -rf "$folder"
	mkdir -p "$folder"
	# The sanitizers do not allow another library before theirs.
	nm -D "$build/tamarackgw-edge" | grep -qE '__[at]san_init' && clock=
	[ -e "$clock" ] || clock=
	"$build/tests/soak" --play "$play_name" --seed "$1" --hosts "$2" --seconds "$3" \
		--program "$build/tamarackgw-edge" --folder "$folder" \
		${clock:+--wall-clock "$clock"} \
		>"$folder/out" 2>&1 </dev/null &
	trap 'kill -TERM '$!' 2>/dev/null' TERM INT EXIT
	if wait $!; then
		tail -n 2 "$folder/out"
		rm -rf "$folder"
		trap - EXIT
		return 0
	fi
	trap - EXIT
	tail -n 2 "$folder/out"
	grep BROKEN "$folder/out" | head -n 20
	echo "seed $1: logs are in $folder"
	is_known "$1" "$folder/out" && echo "known failure: soak/$play_name-$1" && return 0
	return 1
}

stop() {
	kill -TERM $(jobs -pr) 2>/dev/null
	wait
	exit 130
}

play_all() {
	local running=0 status=0 seed count length
	while read -r seed count length; do
		if [ $running -ge "$jobs" ]; then
			wait -n || status=1
			running=$((running - 1))
		fi
		play "$seed" "$count" "$length" &
		running=$((running + 1))
	done < <(list_seeds)
	while [ $running -gt 0 ]; do
		wait -n || status=1
		running=$((running - 1))
	done
	return $status
}

trap stop TERM INT
play_all
exit $?
