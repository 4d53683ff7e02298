#!/bin/sh
# Writes the reference page of a program's settings from its --print-settings:
#   tools/settings-page.sh [BUILD_DIR [tamarackgwd|tamarackgw-edge]]
# The pages are docs/operations/settings.md and docs/operations/edge-settings.md.
set -eu
cd "$(dirname "$0")/.."
build=${1:-build}
program=${2:-tamarackgwd}
cat <<END
# Settings of $program

Written by \`tools/settings-page.sh\` from \`$program --print-settings\`; a test
compares them. A key without a default has to be given, but for those of
END
case $program in
tamarackgwd)
	cat <<'END'
`[security]`. Settings are read at start; all are checked, and a message names file,
line, key and remedy.
END
	;;
*)
	cat <<'END'
metrics. Settings are read at start; all are checked, and a message names file, line,
key and remedy. SIGHUP, or a change of the file, has them checked again; the store's
address takes effect, the rest at the next start. A file with errors changes nothing.
END
	;;
esac
"$build/$program" --print-settings | awk '
/^\[/ { printf "\n## %s\n\n| key | default | from, to | what |\n|---|---|---|---|\n", $0; next }
/^; -?[0-9]+ to -?[0-9]+$/ { range = $2 ", " $4; next }
/^; / { what = substr($0, 3); next }
/ =/ {
	sub(/^;/, "")
	split($0, part, / *= */)
	printf "| `%s` | %s | %s | %s |\n", part[1], part[2], range, what
	range = ""
}'
[ "$program" = tamarackgwd ] || exit 0
cat <<'END'

## At the design size

The defaults suit a fleet of today's size, where a short wait counts more than a call of the
store. For 330 hosts set `ledger_flush_ms = 600000` and `claim_batch_ms = 100` on all hosts:
the bounds on writes of the store in [CAPACITY.md](../CAPACITY.md) are measured with these.
END
