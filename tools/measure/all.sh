#!/bin/bash
# Runs every measurement with a fixed seed and writes one report:
#   tools/measure.sh all [FILE]     docs/measurements/report.md
# Fails if a measurement fails; the report then names it.
set -uo pipefail
cd "$(dirname "$0")/../.."
report=${1:-docs/measurements/report.md}
output=build/measure-all
mkdir -p "$output" "$(dirname "$report")"
status=0

names() {
	ls tools/measure tests/measure |
		sed -n 's/^measure_\(.*\)\.c$/\1/p; s/\.sh$//p' |
		grep -v '^all$' | sort -u
}

describe_run() {
	echo "- machine: $(nproc) processors, $(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -n 1), $(awk '/^MemTotal/ { printf "%.0f GB", $2 / 1e6 }' /proc/meminfo), $(uname -sr)"
	echo "- commit: $(git rev-parse --short HEAD)$(git diff --quiet HEAD || echo ' with changes')"
	echo "- date: $(date -u +%Y-%m-%d)"
	echo "- load averages at the start: $(cut -d' ' -f1-3 /proc/loadavg)"
}

{
	echo "# Measurements"
	echo
	echo "Written by \`tools/measure.sh all\`. Figures in virtual time are"
	echo "the same on every run. Figures in wall-clock time can be compared"
	echo "within one run only; the load tells whether the machine ran other"
	echo "work at the time."
	echo
	describe_run
} >"$output/report"
for name in $(names); do
	echo "== $name"
	started=$SECONDS
	if timeout 600 tools/measure.sh "$name" >"$output/$name" 2>&1; then
		outcome="passed"
	else
		outcome="FAILED"
		status=1
	fi
	tail -n 1 "$output/$name"
	{
		printf '\n## %s\n\n' "$name"
		echo "\`tools/measure.sh $name\`: $outcome after $((SECONDS - started)) s."
		printf '\n```\n'
		tail -n 60 "$output/$name"
		printf '```\n'
	} >>"$output/report"
done
mv "$output/report" "$report"
exit $status
