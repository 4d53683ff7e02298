#!/bin/sh
# Each va_start() or va_copy() has its va_end() in the same function, with no
# return or goto between them: tools/check-va-end.sh [FILE...]
set -eu
cd "$(dirname "$0")/.."
[ $# != 0 ] || set -- $(git ls-files -co --exclude-standard '*.c' '*.h')
awk '
function report(what) {
	print FILENAME ":" FNR ": " what " after va_start() without va_end()"
	status = 1
}
FNR == 1 { open = 0 }
/va_(start|copy)\(/ { open++ }
/va_end\(/ { open-- }
open > 0 && /(^|[^a-z_])(return|goto)[^a-z_]/ { report("return or goto") }
/^}/ && open > 0 { report("the function ends"); open = 0 }
/^}/ && open < 0 { report("one va_end() too many"); open = 0 }
END { exit status }' "$@"
