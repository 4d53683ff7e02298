# A small fleet for end-to-end tests: four entry hosts in two failure domains,
# two engines, two servers of a plain service, one team. Set BUILD and SOURCE
# and source this file. FLEET, the fleet's working folder, is in the test's own
# folder.

FLEET=$PWD/fleet
. "$SOURCE/tools/lib-fleet.sh"
trap fleet_kill_all EXIT

FLEET_HOSTS=${FLEET_HOSTS:-host-a1 host-a2 host-b1 host-b2}
TEAM=dispatch
BUDGET=dispatch-prepaid
KEY=caller-key-of-dispatch
FLEET_SETTINGS="[platform] store_timeout_ms = 1000
[limits] stop_notice_ms = 200
stop_grace_s = 60
[budget] ledger_flush_ms = 200
[membership] heartbeat_ms = 100
silent_after_ms = 500
gone_after_ms = 2000
[backend] load_poll_ms = 100"

write_server() {
	local name=$1 kind=$2 domain=$3 url=$4
	printf '\n[server %s]\nkind = %s\nfailure_domain = %s\nurl = %s\n' \
		"$name" "$kind" "$domain" "$url"
	if [ "$kind" = model ]; then
		printf 'models = m\ncan_resume = yes\ncan_cancel = yes\n'
		printf 'checks_fencing = yes\nslots = 64\n'
	else
		printf 'service = visits\nslots = 64\n'
	fi
}

write_fleet() {
	cat <<-END
	[template field]
	models = m
	services = visits
	work.answer = normal, 30000
	max_output_tokens = 400
	prompt_fixed_tokens = 16
	service_call_tokens = 5
	max_open_requests = 1000

	[team $TEAM]
	template = field
	budget = $BUDGET
	key_hash = $(printf %s "$KEY" | b2sum -l 256 | cut -d' ' -f1)

	[service visits]
	repeatable = GET, HEAD
	END
	write_server engine-a model a "$(fleet_url engine-a)"
	write_server engine-b model b "$(fleet_url engine-b)"
	write_server visits-a service a "$(fleet_url visits-a)"
	write_server visits-b service b "$(fleet_url visits-b)"
}

# sees_all HOST: whether the host sees all hosts as alive.
sees_all() {
	fleet_get "$(fleet_url "$1")/status" \
		-H "Authorization: Bearer $(cat "$FLEET/operator.key")" |
		jq -e --argjson count "$(echo $FLEET_HOSTS | wc -w)" \
			'[.hosts[] | select(.state == "alive")] | length == $count'
}

# small_fleet_up TOKENS [ENGINE OPTION...]: starts the fleet, pays TOKENS into
# the budget, and waits until all hosts are ready and see each other.
small_fleet_up() {
	local tokens=$1 name
	shift
	fleet_standin platform platform --list-lag-ms 100
	fleet_standin engine-a engine --load-lag-ms 100 "$@"
	fleet_standin engine-b engine --load-lag-ms 100 "$@"
	fleet_standin reference engine --first-token-ms 0 --inter-token-ms 0
	fleet_standin visits-a service --slow-ms "${VISIT_MS:-0}"
	fleet_standin visits-b service --slow-ms "${VISIT_MS:-0}"
	for name in $FLEET_HOSTS; do
		fleet_host "$name" "$(echo "$name" | cut -c6)"
	done
	write_fleet >"$FLEET/fleet.ini"
	fleet_ctl --reason start config publish "$FLEET/fleet.ini" >/dev/null
	fleet_ctl config status --wait --timeout 20 >/dev/null
	[ "$tokens" = 0 ] || top_up "$tokens" start
	for name in $FLEET_HOSTS; do
		fleet_wait 20 fleet_ready "$name"
		fleet_wait 20 sees_all "$name"
	done
}

# top_up TOKENS ID: pays TOKENS into the budget under the payment's id.
top_up() {
	fleet_ctl --reason test budget top-up "$BUDGET" "$1" --id "$2" \
		>/dev/null
}

# call HOST PATH [CURL OPTION...]: sends a request with the team's key.
call() {
	local host=$1 path=$2
	shift 2
	fleet_get "$(fleet_url "$host")$path" \
		-H "Authorization: Bearer $KEY" "$@"
}

# stream HOST KEY PROMPT [CURL OPTION...]: a streamed model request.
stream() {
	local host=$1 key=$2 prompt=$3
	shift 3
	call "$host" /v1/chat/completions -N -H "Idempotency-Key: $key" -d \
		'{"model":"m","stream":true,"messages":[{"role":"user","content":"'"$prompt"'"}]}' \
		"$@"
}

# text_of FILE: prints the text of a streamed answer.
text_of() {
	sed -n 's/^data: //p' "$1" | grep -v '^\[DONE\]' |
		jq -rj '.choices[0].delta.content // empty' 2>/dev/null
}

# text_expected PROMPT: prints the correct answer to the prompt, which it gets
# from an engine that no host uses.
text_expected() {
	fleet_get "$(fleet_url reference)/v1/chat/completions" \
		-H "X-Request-Id: straight-$RANDOM" -d \
		'{"model":"m","messages":[{"role":"user","content":"'"$1"'"}]}' |
		jq -rj '.choices[0].message.content'
}

# is_whole FILE PROMPT: whether a streamed answer is complete and correct.
is_whole() {
	grep -q '^data: \[DONE\]' "$1" &&
		[ "$(text_of "$1")" = "$(text_expected "$2")" ]
}

# tokens_of FILE: prints the total tokens of a streamed answer's usage.
tokens_of() {
	sed -n 's/^data: //p' "$1" | grep -v '^\[DONE\]' | jq -r \
		'select(.usage) | .usage.prompt_tokens + .usage.completion_tokens'
}

# book HOST KEY [CURL OPTION...]: sends a call that must run at most once.
book() {
	local host=$1 key=$2
	shift 2
	call "$host" /services/visits/bookings -H "Idempotency-Key: $key" \
		-d '{"lift":1}' "$@"
}

# runs_of KEY: prints how often calls with the key ran, on all servers of the
# service.
runs_of() {
	local name
	for name in visits-a visits-b; do
		fleet_get "$(fleet_url $name)/admin/runs"
	done | jq -s --arg key "$1" 'map(.runs[$key] // 0) | add'
}

# submitted ENGINE: prints how many requests the engine has accepted.
submitted() {
	fleet_get "$(fleet_url "$1")/admin/totals" | jq .submitted
}

# budget_field NAME: prints a field of the team's budget.
budget_field() {
	fleet_ctl --json budget show "$BUDGET" | jq -r ".$1"
}

# holder: prints the host that holds the most tokens.
holder() {
	local name
	for name in $FLEET_HOSTS; do
		echo "$(FLEET_HOSTS=$name fleet_ctl --json status |
			jq -r '.. | .held_tokens? // empty' | head -n 1) $name"
	done | sort -n | tail -n 1 | cut -d' ' -f2
}
