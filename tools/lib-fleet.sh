# Shell functions that run a small fleet on loopback, for the quickstart and
# for tests. Set BUILD (the build folder) and FLEET (a folder for logs, process
# IDs and ports) before sourcing it. Needs bash.

mkdir -p "$FLEET"

# fleet_wait SECONDS COMMAND...: polls until the command succeeds; fails after
# SECONDS.
fleet_wait() {
	local until=$((SECONDS + $1))
	shift
	until "$@" >/dev/null 2>&1; do
		if [ $SECONDS -ge $until ]; then
			echo "gave up waiting for: $*" >&2
			return 1
		fi
		sleep 0.05
	done
}

# fleet_start NAME COMMAND...: starts a process in the background.
fleet_start() {
	local name=$1
	shift
	"$@" >>"$FLEET/$name.log" 2>&1 </dev/null &
	echo $! >"$FLEET/$name.pid"
	disown $!
}

fleet_pid() {
	cat "$FLEET/$1.pid"
}

fleet_alive() {
	local state
	state=$(ps -o state= -p "$(fleet_pid "$1")" 2>/dev/null)
	[ -n "$state" ] && [ "$state" != Z ]
}

fleet_gone() {
	! fleet_alive "$1"
}

# fleet_signal NAME SIGNAL
fleet_signal() {
	kill -"$2" "$(fleet_pid "$1")" 2>/dev/null
}

# fleet_standin NAME KIND [OPTION...]: starts a stand-in and waits for it.
fleet_standin() {
	local name=$1 kind=$2
	shift 2
	rm -f "$FLEET/$name.port"
	fleet_start "$name" "$BUILD/tests/standin_$kind" \
		--port-file "$FLEET/$name.port" "$@"
	fleet_wait 10 test -s "$FLEET/$name.port"
}

fleet_port() {
	cat "$FLEET/$1.port"
}

# Base URL of a stand-in or a host.
fleet_url() {
	echo "http://127.0.0.1:$(fleet_port "$1")"
}

# fleet_stop NAME...: stops processes in the given order and waits for each.
fleet_stop() {
	local name
	for name in "$@"; do
		[ -e "$FLEET/$name.pid" ] || continue
		fleet_signal "$name" CONT
		fleet_signal "$name" TERM
		fleet_wait 40 fleet_gone "$name" || fleet_signal "$name" KILL
		rm -f "$FLEET/$name.pid"
	done
}

# Kills all processes without waiting, for the clean-up of tests.
fleet_kill_all() {
	local file
	for file in "$FLEET"/*.pid; do
		[ -e "$file" ] && kill -KILL "$(cat "$file")" 2>/dev/null
	done
	rm -f "$FLEET"/*.pid
}

# Stops all processes, the last started first.
fleet_stop_all() {
	fleet_stop $(cd "$FLEET" && ls -t -- *.pid 2>/dev/null | sed 's/\.pid$//')
}

# Prints a port that nobody listens on, below the ephemeral port range of the
# kernel.
fleet_free_port() {
	local port
	while :; do
		port=$((20000 + (RANDOM * 32768 + RANDOM) % 12000))
		(exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
	done
	echo "$port"
}

# fleet_get URL [CURL OPTION...]: prints the body of an HTTP response.
fleet_get() {
	curl -sS -m 30 "$@"
}

fleet_ready() {
	curl -sf -m 2 "$(fleet_url "$1")/readyz"
}

fleet_listening() {
	curl -s -m 2 "$(fleet_url "$1")/healthz"
}

# Writes the key of the fleet's operator, and its hash for the hosts, unless
# they exist.
fleet_operator_key() {
	[ -e "$FLEET/operator.key" ] && return
	(
		umask 077
		head -c 24 /dev/urandom | base64 -w0 | tr '+/' '-_' \
			>"$FLEET/operator.key"
		echo "operator:admin:$(b2sum -l 256 <"$FLEET/operator.key" |
			cut -d' ' -f1)" >"$FLEET/operators"
	)
}

# fleet_write_settings NAME DOMAIN: writes the settings of a host, with newly
# chosen ports. Lines of FLEET_SETTINGS, of the form "[section] key = value" or
# "key = value", are appended.
fleet_write_settings() {
	local name=$1 domain=$2 caller peer
	caller=$(fleet_free_port)
	peer=$(fleet_free_port)
	fleet_operator_key
	echo "$caller" >"$FLEET/$name.port"
	echo "$peer" >"$FLEET/$name.peer-port"
	{
		echo "[host]"
		echo "name = $name"
		echo "failure_domain = $domain"
		echo "caller_address = 127.0.0.1:$caller"
		echo "peer_address = 127.0.0.1:$peer"
		echo "[platform]"
		echo "store_url = $(fleet_url platform)"
		echo "list_url = $(fleet_url platform)"
		echo "list_interval_ms = ${FLEET_LIST_INTERVAL_MS:-500}"
		echo "[security]"
		echo "operator_keys_file = $FLEET/operators"
		[ -z "${FLEET_SETTINGS:-}" ] || printf '%s\n' "$FLEET_SETTINGS" |
			sed -E 's/^(\[[a-z]+\]) +/\1\n/'
	} >"$FLEET/$name.ini"
}

# fleet_host NAME DOMAIN: starts an entry host and waits until it listens. If
# the host exits, as when another process uses one of its ports, it is
# started again with other ports; after five failures the end of its log is
# printed.
fleet_host() {
	local attempt
	for attempt in 1 2 3 4 5; do
		fleet_write_settings "$1" "$2"
		fleet_register "$1" "$2"
		fleet_start "$1" "$BUILD/tamarackgwd" \
			--settings "$FLEET/$1.ini"
		until fleet_gone "$1"; do
			fleet_listening "$1" >/dev/null && return 0
			sleep 0.05
		done
	done
	tail -n 5 "$FLEET/$1.log" >&2
	return 1
}

# fleet_host_again NAME: restarts a host with its earlier settings and waits
# until it is ready.
fleet_host_again() {
	fleet_start "$1" "$BUILD/tamarackgwd" --settings "$FLEET/$1.ini"
	fleet_wait 20 fleet_ready "$1"
}

# fleet_register NAME DOMAIN: adds a host to the platform's list of hosts.
fleet_register() {
	fleet_get "$(fleet_url platform)/admin/hosts" -d '{"register":{"hosts":[
		{"name":"'"$1"'","failure_domain":"'"$2"'","leaving":false,
		"peer_url":"tcp://127.0.0.1:'"$(cat "$FLEET/$1.peer-port")"'",
		"caller_url":"'"$(fleet_url "$1")"'"}]}}' >/dev/null
}

# fleet_fault JSON: injects a fault into the platform stand-in.
fleet_fault() {
	fleet_get "$(fleet_url platform)/admin/fault" -d "$1" >/dev/null
}

# fleet_ctl ARGUMENT...: runs the operators' tool for the hosts in FLEET_HOSTS.
fleet_ctl() {
	local name hosts=
	for name in ${FLEET_HOSTS:-}; do
		hosts="$hosts $(fleet_url "$name")"
	done
	TGW_STORE=$(fleet_url platform) TGW_HOSTS=$hosts \
		TGW_OPERATOR=${TGW_OPERATOR:-operator} \
		"$BUILD/tamarackgwctl" --key-file "$FLEET/operator.key" "$@"
}
