#!/bin/bash
# Runs a small fleet on this computer's loopback interface:
#   tools/quickstart.sh          builds, starts, checks each response, stops
#   tools/quickstart.sh --keep   leaves it running; see build/quickstart.env
#   tools/quickstart.sh --stop   stops a fleet that was left running
set -euo pipefail
cd "$(dirname "$0")/.."

BUILD=$PWD/build
FLEET=$BUILD/quickstart
ENV_FILE=$BUILD/quickstart.env
FLEET_HOSTS="host-a1 host-a2 host-b1 host-b2"
STANDINS="engine-a engine-b visits-a visits-b platform"
TEAM=technicians
BUDGET=technicians-2024
MODEL=summary-7b
SERVICE=visits
PAID=100000
CALL_TOKENS=5

usage() {
	sed -n 's/^# \{0,1\}//; 2,5p' "$0"
	exit "$1"
}

keep=no
case ${1:-} in
"") ;;
--keep) keep=yes ;;
--stop) keep=stop ;;
--help | -h) usage 0 ;;
*) usage 2 >&2 ;;
esac

fail() {
	echo "quickstart: $*" >&2
	exit 1
}

stop_fleet() {
	fleet_stop $FLEET_HOSTS $STANDINS
	rm -f "$ENV_FILE"
}

on_exit() {
	local status=$?
	[ $status = 0 ] && return
	echo "quickstart: failed; logs are in $FLEET" >&2
	stop_fleet
}

build_all() {
	echo "== installing packages and building"
	tools/install-packages.sh
	tools/build.sh build
}

start_standins() {
	echo "== starting the stand-ins: platform, two engines, two services"
	fleet_standin platform platform
	fleet_standin engine-a engine
	fleet_standin engine-b engine
	fleet_standin visits-a service --name visits
	fleet_standin visits-b service --name visits
}

start_hosts() {
	local name
	# A real fleet needs a longer notice time, in which its load balancer
	# detects that a host is stopping.
	local FLEET_SETTINGS="[limits] stop_notice_ms = 300"
	echo "== starting four entry hosts in two failure domains"
	for name in $FLEET_HOSTS; do
		fleet_host "$name" "$(domain_of "$name")" ||
			fail "$name does not start"
	done
}

domain_of() {
	local letter=${1#*-}
	echo "domain-${letter:0:1}"
}

write_configuration() {
	local letter
	cat <<-END
	[template field-staff]
	models = $MODEL
	services = $SERVICE
	work.summary = normal, 60000
	work.answer = high, 20000
	work.triage = immediate, 5000
	max_output_tokens = 512
	prompt_fixed_tokens = 16
	service_call_tokens = $CALL_TOKENS
	max_open_requests = 1000

	[team $TEAM]
	template = field-staff
	budget = $BUDGET
	key_hash = $(printf %s "$KEY" | b2sum -l 256 | cut -d' ' -f1)

	[service $SERVICE]
	repeatable = GET, HEAD
	END
	for letter in a b; do
		cat <<-END

		[server engine-$letter]
		kind = model
		failure_domain = domain-$letter
		url = $(fleet_url engine-$letter)
		models = $MODEL
		can_resume = yes
		can_cancel = yes
		checks_fencing = yes
		slots = 64

		[server visits-$letter]
		kind = service
		failure_domain = domain-$letter
		url = $(fleet_url visits-$letter)
		service = $SERVICE
		slots = 64
		END
	done
}

publish() {
	echo "== publishing a template, a team and its servers"
	write_configuration >"$FLEET/fleet.ini"
	fleet_ctl config check "$FLEET/fleet.ini"
	fleet_ctl --reason "quickstart" config publish "$FLEET/fleet.ini"
	fleet_ctl config status --wait --timeout 30
	local name
	for name in $FLEET_HOSTS; do
		fleet_wait 20 fleet_ready "$name" || fail "$name is not ready"
	done
	echo "== topping up $BUDGET by $PAID tokens"
	fleet_ctl --reason "quickstart" budget top-up "$BUDGET" $PAID \
		--id quickstart-1
}

# call HOST PATH [CURL OPTION...]
call() {
	local host=$1 path=$2
	shift 2
	fleet_get "$(fleet_url "$host")$path" \
		-H "Authorization: Bearer $KEY" "$@"
}

answer_text() {
	sed -n 's/^data: //p' "$1" | grep -v '^\[DONE\]' |
		jq -rj '.choices[0].delta.content // empty'
}

usage_tokens() {
	sed -n 's/^data: //p' "$1" | grep -v '^\[DONE\]' |
		jq -r 'select(.usage) | .usage.prompt_tokens + .usage.completion_tokens'
}

stream_request() {
	local body
	body='{"model":"'$MODEL'","stream":true,
		"stream_options":{"include_usage":true},"messages":[
		{"role":"user","content":"Service history of lift 4711"}]}'
	echo "== streaming a model request through host-a1"
	call host-a1 /v1/chat/completions -N -H "X-Work-Kind: summary" \
		-d "$body" >"$FLEET/answer"
	tail -n 3 "$FLEET/answer"
	[ "$(tail -n 2 "$FLEET/answer" | head -n 1)" = "data: [DONE]" ] ||
		fail "the response does not end with data: [DONE]; see $FLEET/answer"
	fleet_get "$(fleet_url engine-a)/v1/chat/completions" -N \
		-H "X-Request-Id: straight" -d "$body" >"$FLEET/engine-answer"
	[ "$(answer_text "$FLEET/answer")" = \
		"$(answer_text "$FLEET/engine-answer")" ] ||
		fail "the response differs from the one of the engine; compare $FLEET/answer with $FLEET/engine-answer"
}

book() {
	call "$1" /services/$SERVICE/bookings -H "Idempotency-Key: visit-4711" \
		-d '{"lift":4711,"day":"Monday"}'
}

send_booking() {
	echo "== sending a booking through host-a1, and its retry there"
	book host-a1 >"$FLEET/booking"
	book host-a1 >"$FLEET/retry"
	cat "$FLEET/booking"
	echo
	cmp "$FLEET/booking" "$FLEET/retry" ||
		fail "the retry got a different response; compare $FLEET/booking with $FLEET/retry"
	[ "$(jq -r .run "$FLEET/booking")" = 1 ] ||
		fail "the booking was not the first run of its key; see $FLEET/booking"
	[ "$(count_runs)" = 1 ] || fail "the booking ran $(count_runs) times"
}

count_runs() {
	local letter
	for letter in a b; do
		fleet_get "$(fleet_url visits-$letter)/admin/runs"
	done | jq -s 'map(.runs | add // 0) | add'
}

# Succeeds if the ledger shows exactly the tokens that the responses report.
ledger_adds_up() {
	fleet_ctl --json budget show "$BUDGET" >"$FLEET/balance" &&
		jq -e --argjson spent "$SPENT" --argjson paid $PAID \
			'.charged_tokens == $spent and .paid_in_tokens == $paid' \
			"$FLEET/balance"
}

show_state() {
	echo "== showing the balance, the audit trail and the hosts"
	SPENT=$(($(usage_tokens "$FLEET/answer") + CALL_TOKENS))
	fleet_wait 30 ledger_adds_up || {
		cat "$FLEET/balance" >&2
		fail "the ledger does not show $SPENT tokens spent"
	}
	fleet_ctl budget show "$BUDGET"
	fleet_ctl audit
	fleet_ctl audit verify
	fleet_ctl status
}

# Succeeds if no host holds tokens, as after a planned stop.
nothing_is_held() {
	ledger_adds_up &&
		jq -e '.held_tokens == 0' "$FLEET/balance"
}

stop_in_order() {
	echo "== stopping: hosts first, then the stand-ins"
	fleet_stop $FLEET_HOSTS
	nothing_is_held >/dev/null || {
		cat "$FLEET/balance" >&2
		fail "after the stop the ledger does not show $SPENT tokens spent and none held"
	}
	fleet_stop $STANDINS
	echo "== done: $SPENT of $PAID tokens spent, the rest is free"
}

write_env() {
	local name urls= pids=
	for name in $FLEET_HOSTS; do
		urls="$urls $(fleet_url "$name")"
		pids="$pids $name=$(fleet_pid "$name")"
	done
	cat >"$ENV_FILE" <<-END
	TGW_URLS="${urls# }"
	TGW_URL=$(fleet_url host-a1)
	TGW_KEY=$KEY
	TGW_MODEL=$MODEL
	TGW_TEAM=$TEAM
	TGW_BUDGET=$BUDGET
	TGW_SERVICE=$SERVICE
	TGW_CTL="$BUILD/tamarackgwctl --key-file $FLEET/operator.key"
	TGW_PIDS="${pids# }"
	export TGW_STORE=$(fleet_url platform)
	export TGW_HOSTS="\$TGW_URLS"
	export TGW_OPERATOR=operator
	END
	echo "== left running; see $ENV_FILE, stop with tools/quickstart.sh --stop"
}

. tools/lib-fleet.sh
if [ $keep = stop ]; then
	stop_fleet
	exit 0
fi
trap on_exit EXIT
build_all
stop_fleet
rm -rf "$FLEET"
mkdir -p "$FLEET"
KEY=$(head -c 24 /dev/urandom | base64 -w0 | tr '+/' '-_')
start_standins
start_hosts
publish
stream_request
send_booking
show_state
if [ $keep = yes ]; then
	write_env
else
	stop_in_order
fi
