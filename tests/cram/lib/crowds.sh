# Judges one process under crowds of clients that exceed their limits. Set
# CROWD_PID, CROWD_ADDRESS, CROWD_CLIENTS, CROWD_BODY (the limit on a body),
# CROWD_PATH, CROWD_READ_PATH, CROWD_FIELDS (an array), CROWD_MEMORY_KB and
# CROWD_DESCRIPTORS (the bounds), and define answers(), which succeeds if an
# ordinary request is answered, and restart(), which starts the process again and
# sets CROWD_PID and CROWD_ADDRESS.

# Whether the programs are built with a sanitizer, whose own memory counts as
# the process's.
crowd_is_sanitized() {
	nm -D "$BUILD/tamarackgw-edge" | grep -qE '__[at]san_init'
}

# Judges a process by its figures: crowd_judge MEMORY_KB DESCRIPTORS
crowd_judge() {
	[ "$1" -le "$CROWD_MEMORY_KB" ] || crowd_is_sanitized ||
		echo "peak memory: $1 kB, more than $CROWD_MEMORY_KB"
	[ "$2" -le "$CROWD_DESCRIPTORS" ] ||
		echo "descriptors: $2, more than $CROWD_DESCRIPTORS"
}

# Whether an ordinary request is answered within 10 s.
crowd_answered() {
	local i
	for i in $(seq 100); do
		answers >/dev/null 2>&1 && return
		sleep 0.1
	done
	return 1
}

# crowd NAME: plays the crowd; prints its name and what was wrong. Appends the
# figures to the file CROWD_FIGURES, if it is set.
crowd() {
	local memory descriptors
	echo "$1"
	read -r memory descriptors < <("$BUILD/tests/crowd" "$CROWD_PID" \
		"$CROWD_ADDRESS" "$1" "$CROWD_CLIENTS" "$CROWD_BODY" \
		"$CROWD_PATH" "$CROWD_READ_PATH" "${CROWD_FIELDS[@]}")
	[ -z "${CROWD_FIGURES:-}" ] ||
		echo "$1 $memory $descriptors" >>"$CROWD_FIGURES"
	if ! kill -0 "$CROWD_PID" 2>/dev/null; then
		echo "the process has ended"
		restart
		return
	fi
	crowd_judge "$memory" "$descriptors"
	crowd_answered || echo "no ordinary request is answered"
}
