#!/bin/bash
# Measures the cost of the control plane with real processes, in fleets of
# several sizes:
#   tools/measure.sh control [--sizes "6 12 24 48"] [--teams "0 5000 20000"]
# The hosts are in six failure domains and serve no requests. For each size, the
# script measures over a window the processor time, resident memory and bytes of
# one host, and the calls of all hosts to the platform stand-in. It fits a
# straight line to each figure and extrapolates to 330 hosts and 35,000 teams.
set -euo pipefail
cd "$(dirname "$0")/../.."

BUILD=$PWD/build
FLEET=$BUILD/measure-control
SIZES="6 12 24 48"
TEAMS="0 5000 20000"
WINDOW_S=20
SETTLE_S=8
DOMAINS=6
DESIGN_HOSTS=330
DESIGN_TEAMS=35000

while [ $# -gt 0 ]; do
	case $1 in
	--sizes) SIZES=$2 ;;
	--teams) TEAMS=$2 ;;
	--seed) ;;
	*) echo "control: unknown option $1" >&2 && exit 2 ;;
	esac
	shift 2
done

rm -rf "$FLEET"
. tools/lib-fleet.sh
trap fleet_stop_all EXIT

# The default of list_interval_ms; lib-fleet.sh sets a shorter one for tests.
FLEET_LIST_INTERVAL_MS=5000
FLEET_SETTINGS="[platform] store_timeout_ms = 2000
[limits] stop_notice_ms = 0"

write_teams() {
	local count=$1 i
	printf '[template measure]\nmodels = m\nwork.any = normal, 60000\n'
	printf 'max_output_tokens = 512\nprompt_fixed_tokens = 16\n'
	printf 'max_open_requests = 100\n'
	for ((i = 0; i < count; i++)); do
		printf '[team team-%05d]\ntemplate = measure\n' "$i"
		printf 'budget = budget-%05d\n' "$i"
		printf 'key_hash = %064x\n' "$((i + 1))"
	done
}

start_fleet() {
	local size=$1 teams=$2 i
	fleet_standin platform platform
	FLEET_HOSTS=
	for ((i = 0; i < size; i++)); do
		fleet_host "host-$i" "domain-$((i % DOMAINS))"
		FLEET_HOSTS="$FLEET_HOSTS host-$i"
	done
	write_teams "$teams" >"$FLEET/fleet.ini"
	fleet_ctl --reason "measure" config publish "$FLEET/fleet.ini" \
		>/dev/null
	fleet_ctl config status --wait --timeout 60 >/dev/null
}

cpu_ticks() {
	awk '{ print $14 + $15 }' "/proc/$(fleet_pid "$1")/stat"
}

resident_kb() {
	awk '/^VmRSS/ { print $2 }' "/proc/$(fleet_pid "$1")/status"
}

metric_sum() {
	local host=$1
	shift
	fleet_get "$(fleet_url "$host")/metrics" | awk -v names="$*" '
		BEGIN { split(names, list, " ")
			for (i in list) wanted["tamarackgw_" list[i]] = 1 }
		$1 in wanted { sum += $2 } END { printf "%d", sum }'
}

control_bytes() {
	metric_sum "$1" peer_bytes_sent_total peer_bytes_received_total \
		store_bytes_sent_total store_bytes_received_total
}

platform_calls() {
	fleet_get "$(fleet_url platform)/admin/calls" | jq -r "$1"
}

# sample SIZE TEAMS: starts a fleet and prints a row of the table for it.
sample() {
	local size=$1 teams=$2 probe=host-0 ticks bytes reads writes
	start_fleet "$size" "$teams"
	sleep $SETTLE_S
	ticks=$(cpu_ticks $probe)
	bytes=$(control_bytes $probe)
	reads=$(platform_calls '.range + .hosts')
	writes=$(platform_calls '.txn + .put + .delete')
	sleep $WINDOW_S
	ticks=$(($(cpu_ticks $probe) - ticks))
	bytes=$(($(control_bytes $probe) - bytes))
	reads=$(($(platform_calls '.range + .hosts') - reads))
	writes=$(($(platform_calls '.txn + .put + .delete') - writes))
	awk -v n="$size" -v t="$teams" -v ticks=$ticks -v b=$bytes \
		-v hz="$(getconf CLK_TCK)" -v w=$WINDOW_S -v r=$reads \
		-v wr=$writes -v kb="$(resident_kb $probe)" \
		-v wa="$(platform_calls .watches_waiting)" \
		'BEGIN { printf "%d %d %.3f %.1f %.0f %.2f %.2f %d\n", n, t,
			100 * ticks / hz / w, kb / 1024, b / w, r / w,
			wr / w, wa }'
	fleet_stop_all
	rm -f "$FLEET"/*
}

# fit COLUMN_X COLUMN_Y AT FILE: fits a line by least squares. Prints its value
# at 0, its slope, the largest vertical distance of a point from it, and its
# value at AT.
fit() {
	awk -v cx="$1" -v cy="$2" -v at="$3" '
		{ x[NR] = $cx; y[NR] = $cy
		  sx += $cx; sy += $cy; sxx += $cx * $cx; sxy += $cx * $cy }
		END { n = NR; d = n * sxx - sx * sx
		  slope = d ? (n * sxy - sx * sy) / d : 0
		  base = (sy - slope * sx) / n
		  for (i = 1; i <= n; i++) {
			e = y[i] - base - slope * x[i]
			if (e < 0) e = -e
			if (e > worst) worst = e }
		  printf "%.4f %.5f %.3f %.3f\n", base, slope, worst,
			base + slope * at }' "$4"
}

by_size=$BUILD/control-by-size.txt
by_teams=$BUILD/control-by-teams.txt
: >"$by_size"
: >"$by_teams"
header="hosts teams core_pct rss_mb bytes_per_s reads_per_s writes_per_s watches"
echo "$header"
for size in $SIZES; do
	sample "$size" 0 | tee -a "$by_size"
done
for teams in $TEAMS; do
	sample 6 "$teams" | tee -a "$by_teams"
done

echo
echo "fit                  at 0     slope    max err  at design size"
cpu=$(fit 1 3 $DESIGN_HOSTS "$by_size")
memory_hosts=$(fit 1 4 $DESIGN_HOSTS "$by_size")
memory_teams=$(fit 2 4 $DESIGN_TEAMS "$by_teams")
bytes=$(fit 1 5 $DESIGN_HOSTS "$by_size")
reads=$(fit 1 6 $DESIGN_HOSTS "$by_size")
writes=$(fit 1 7 $DESIGN_HOSTS "$by_size")
watches=$(fit 1 8 $DESIGN_HOSTS "$by_size")
echo "core_pct by hosts    $cpu"
echo "rss_mb by hosts      $memory_hosts"
echo "rss_mb by teams      $memory_teams"
echo "bytes/s by hosts     $bytes"
echo "reads/s by hosts     $reads"
echo "writes/s by hosts    $writes"
echo "watches by hosts     $watches"

if command -v gnuplot >/dev/null; then
	gnuplot <<-END
	set terminal svg size 900,600
	set output "docs/measurements/control.svg"
	set multiplot layout 2,2 title "Control plane cost of one host by fleet size"
	set xlabel "hosts"
	set key off
	set title "core, %"
	plot "$by_size" using 1:3 with linespoints title "measured"
	set title "resident memory, MB"
	plot "$by_size" using 1:4 with linespoints title "measured"
	set title "bytes per second"
	plot "$by_size" using 1:5 with linespoints title "measured"
	set title "store reads per second, whole fleet"
	plot "$by_size" using 1:6 with linespoints title "measured"
	END
fi

at() { echo "$1" | cut -d' ' -f4; }
memory=$(awk -v a="$(at "$memory_hosts")" -v b="$(at "$memory_teams")" \
	-v base="$(echo "$memory_teams" | cut -d' ' -f1)" \
	'BEGIN { printf "%.1f", a + b - base }')
echo "control_core_pct_330=$(at "$cpu") control_mem_mb_330=$memory" \
	"control_bytes_per_s_330=$(at "$bytes")" \
	"store_writes_per_s_330=$(at "$writes")" \
	"store_reads_per_s_330=$(at "$reads")" \
	"watches_330=$(at "$watches")"
