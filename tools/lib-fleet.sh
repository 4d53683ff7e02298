# Shell functions that run a small fleet on loopback, for the quickstart and
# for tests. Source it with BUILD (the build folder) and FLEET (a folder for
# logs, process ids and ports) set. Needs bash.

mkdir -p "$FLEET"

# fleet_wait SECONDS COMMAND...: polls until the command succeeds.
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

# HTTP base of a stand-in.
fleet_url() {
	echo "http://127.0.0.1:$(fleet_port "$1")"
}

# fleet_stop NAME...: ends processes, the last started first.
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

fleet_stop_all() {
	fleet_stop $(cd "$FLEET" && ls -t -- *.pid 2>/dev/null | sed 's/\.pid$//')
}
