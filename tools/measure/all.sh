#!/bin/bash
# Runs every measure on a fixed seed and writes one report:
#   tools/measure.sh all [FILE]     docs/measurements/report.md
# Fails when a measure fails; the report then says which.
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

machine() {
	echo "- machine: $(nproc) processors, $(sed -n 's/^model name[^:]*: //p' /proc/cpuinfo | head -n 1), $(awk '/^MemTotal/ { printf "%.0f GB", $2 / 1e6 }' /proc/meminfo), $(uname -sr)"
	echo "- commit: $(git rev-parse --short HEAD)$(git diff --quiet HEAD || echo ' with changes')"
	echo "- date: $(date -u +%Y-%m-%d)"
	echo "- load when it began: $(cut -d' ' -f1-3 /proc/loadavg)"
}

{
	echo "# Measurements"
	echo
	echo "Written by \`tools/measure.sh all\`. Figures of virtual time are"
	echo "the same on every run; those of the wall clock hold within one run"
	echo "only, on a machine that had other work at the time if the load says"
	echo "so."
	echo
	machine
} >"$output/report"
for name in $(names); do
	echo "== $name"
	started=$SECONDS
	if timeout 600 tools/measure.sh "$name" >"$output/$name" 2>&1; then
		outcome="ended well"
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
