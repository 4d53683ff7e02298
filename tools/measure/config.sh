#!/bin/bash
# Measures configuration and membership: first with real host processes and the
# operators' tool, then in virtual time with tests/measure/measure_config.c.
#   tools/measure.sh config [HOSTS [TEAMS]]
set -euo pipefail
cd "$(dirname "$0")/../.."

BUILD=$PWD/build
FLEET=$BUILD/measure-config
HOST_COUNT=${1:-12}
TEAM_COUNT=${2:-35000}
CHANGES=12
FLEET_HOSTS=

rm -rf "$FLEET"
. tools/lib-fleet.sh
trap fleet_stop_all EXIT

write_configuration() {
	local i
	printf '%s\n' "[template staff]" "models = m" "work.answer = high, 20000" \
		"max_output_tokens = 100" "max_open_requests = 5" "[server s1]" \
		"failure_domain = domain-0" "url = http://127.0.0.1:9" \
		"kind = model" "models = m" "slots = 4"
	for ((i = 0; i < TEAM_COUNT; i++)); do
		printf '[team team-%05d]\ntemplate = staff\nbudget = b-%05d\n' \
			"$i" "$i"
	done
}

seconds_since() {
	awk -v from="$1" -v to="$EPOCHREALTIME" 'BEGIN { printf "%.3f", to - from }'
}

calls() {
	fleet_get "$(fleet_url platform)/admin/calls"
}

cpu_ticks() {
	local name sum=0
	for name in $FLEET_HOSTS; do
		sum=$((sum + $(awk '{ print $14 + $15 }' \
			"/proc/$(fleet_pid "$name")/stat")))
	done
	echo $sum
}

echo "== $HOST_COUNT host processes, $TEAM_COUNT teams, the platform stand-in"
fleet_standin platform platform
for ((i = 0; i < HOST_COUNT; i++)); do
	fleet_host "host-$i" "domain-$((i % 4))"
	FLEET_HOSTS="$FLEET_HOSTS host-$i"
done
write_configuration >"$FLEET/teams.ini"
started=$EPOCHREALTIME
fleet_ctl --reason measure config publish "$FLEET/teams.ini"
echo "the tool published all teams in $(seconds_since "$started") s"
started=$EPOCHREALTIME
fleet_ctl config status --wait --timeout 60 >/dev/null
echo "in force at all hosts $(seconds_since "$started") s later"

before=$(calls)
ticks=$(cpu_ticks)
started=$EPOCHREALTIME
for ((i = 1; i <= CHANGES; i++)); do
	[ $((i % 2)) = 1 ] && change=drain || change=undrain
	fleet_ctl --reason "change $i" server $change s1 >/dev/null
	accepted=$EPOCHREALTIME
	fleet_ctl config status --wait >/dev/null
	seconds_since "$accepted" >>"$FLEET/in-force"
	echo >>"$FLEET/in-force"
done
span=$(seconds_since "$started")
ticks=$(($(cpu_ticks) - ticks))
after=$(calls)
echo "$CHANGES changes, time until the tool sees each at all hosts: median" \
	"$(sort -n "$FLEET/in-force" | sed -n "$((CHANGES / 2))p") s, longest" \
	"$(sort -n "$FLEET/in-force" | tail -n 1) s"
echo "store calls per change, by the tool and all hosts: $(jq -n \
	"($after) as \$a | ($before) as \$b | ((\$a.range + \$a.txn + \$a.put) -
	(\$b.range + \$b.txn + \$b.put)) / $CHANGES") in $span s"
echo "processor time of a host: $(awk -v t="$ticks" -v s="$span" \
	-v n="$HOST_COUNT" -v hz="$(getconf CLK_TCK)" \
	'BEGIN { printf "%.2f%% of a core at %.1f changes a second", 100 * t / hz / n / s, '$CHANGES' / s }')"
for name in $FLEET_HOSTS; do
	awk '/VmRSS/ { print $2 / 1024 }' "/proc/$(fleet_pid "$name")/status"
done | sort -n | awk '{ mb[NR] = $1 } END { printf "resident memory of a host: %.0f to %.0f MB\n", mb[1], mb[NR] }'

echo "== a host is killed and restarted while the store is unreachable"
fleet_signal host-1 KILL
fleet_wait 10 fleet_gone host-1
fleet_fault '{"outage": true}'
started=$EPOCHREALTIME
fleet_start host-1 "$BUILD/tamarackgwd" --settings "$FLEET/host-1.ini"
has_configuration() {
	[ "$(fleet_get -H "Authorization: Bearer $(cat "$FLEET/operator.key")" \
		"$(fleet_url host-1)/status" | jq .config_generation)" -gt 0 ]
}
if fleet_wait 30 has_configuration; then
	echo "the host has the configuration after $(seconds_since "$started") s"
else
	echo "the host has NO configuration after 30 s"
fi
for name in $FLEET_HOSTS; do
	fleet_signal "$name" TERM || true
done
fleet_stop_all || true
trap - EXIT
echo
exec "$BUILD/tests/measure_config"
