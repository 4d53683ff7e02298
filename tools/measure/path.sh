#!/bin/bash
# Measures what the gateway adds to a request; see tests/measure/measure_path.c.
set -euo pipefail
cd "$(dirname "$0")/../.."

BUILD=$PWD/build
FLEET=$BUILD/measure-path
ENGINES="engine-1 engine-2"
KEY=measure-path-key
MODEL=summary-7b

rm -rf "$FLEET"
. tools/lib-fleet.sh
trap fleet_stop_all EXIT

write_configuration() {
	local engine
	cat <<-END
	[template measure]
	models = $MODEL
	work.summary = normal, 60000
	max_output_tokens = 512
	prompt_fixed_tokens = 16
	max_open_requests = 10000

	[team measure]
	template = measure
	budget = measure
	key_hash = $(printf %s "$KEY" | b2sum -l 256 | cut -d' ' -f1)
	END
	for engine in $ENGINES; do
		cat <<-END

		[server $engine]
		kind = model
		failure_domain = domain-a
		url = $(fleet_url "$engine")
		models = $MODEL
		can_resume = yes
		can_cancel = yes
		checks_fencing = yes
		slots = 4000
		END
	done
}

fleet_standin platform platform
engine_options=
for engine in $ENGINES; do
	fleet_standin "$engine" engine --slots 4000 --first-token-ms 50 \
		--inter-token-ms 30
	engine_options="$engine_options --engine 127.0.0.1:$(fleet_port "$engine")"
done
FLEET_SETTINGS="[limits] max_open_requests = 8000
max_connections = 8000" fleet_host host-a domain-a
FLEET_HOSTS=host-a
write_configuration >"$FLEET/fleet.ini"
fleet_ctl --reason "measure" config publish "$FLEET/fleet.ini"
fleet_ctl config status --wait --timeout 30
fleet_ctl --reason "measure" budget top-up measure 1000000000 --id measure-1
fleet_wait 20 fleet_ready host-a
"$BUILD/tests/measure_path" $engine_options \
	--router "127.0.0.1:$(fleet_port host-a)" --pid "$(fleet_pid host-a)" \
	--key "$KEY" --model "$MODEL" "$@"
