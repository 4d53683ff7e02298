The host that holds a budget is paused without notice. The other hosts continue
to serve requests, and after the host resumes nothing is billed twice.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 100000 --inter-token-ms 2
  $ stream host-a1 first "visit 0 ANSWER-TOKENS=20" >first
  $ tokens_of first
  28
  $ holds() { [ -n "$(holder)" ] && [ $(budget_field charged_tokens) = 28 ]; }
  $ fleet_wait 20 holds
  $ paused=$(holder)
  $ for name in $FLEET_HOSTS; do [ $name = $paused ] || others="$others $name"; done
  $ fleet_signal $paused STOP
  $ request_all() { local n=0 name; for name in $others; do n=$((n + 1)); stream $name $1-$n "visit $1 $n ANSWER-TOKENS=20" --retry 10 --retry-all-errors -f >$1-$n 2>/dev/null; is_whole $1-$n "visit $1 $n ANSWER-TOKENS=20" && echo whole; done; }
  $ request_all a
  whole
  whole
  whole
  $ fleet_signal $paused CONT
  $ fleet_wait 20 fleet_ready $paused
  $ stream $paused late "visit late ANSWER-TOKENS=20" --retry 10 --retry-all-errors -f >late 2>/dev/null
  $ is_whole late "visit late ANSWER-TOKENS=20"
  $ request_all b
  whole
  whole
  whole

The charges in the ledger are exactly the tokens that the answers used.

  $ spent=0; for file in first late a-? b-?; do spent=$((spent + $(tokens_of $file))); done
  $ adds_up() { [ $(budget_field charged_tokens) = $spent ]; }
  $ fleet_wait 20 adds_up
