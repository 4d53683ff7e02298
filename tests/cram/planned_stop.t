A host has a planned stop under load: no request is cut off, and the host
returns all of its allotment.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 1000000 --inter-token-ms 10
  $ for i in 1 2 3 4 5 6; do stream host-a1 key-$i "visit $i ANSWER-TOKENS=150" >open-$i & pids="$pids $!"; done
  $ for i in 1 2 3 4 5 6; do fleet_wait 10 grep -q '"index":3,' open-$i; done
  $ fleet_signal host-a1 TERM
  $ unready() { ! fleet_ready host-a1; }
  $ fleet_wait 5 unready

The host reports that it is not ready, so that the load balancer sends callers
elsewhere. A request that still arrives within the notice time is served, or
refused as not run.

  $ stream host-a1 late "late ANSWER-TOKENS=5" >late 2>/dev/null; is_whole late "late ANSWER-TOKENS=5" || [ ! -s late ] || jq -e ".not_run == true" late >/dev/null
  $ wait $pids
  $ for i in 1 2 3 4 5 6; do is_whole open-$i "visit $i ANSWER-TOKENS=150" && echo whole; done
  whole
  whole
  whole
  whole
  whole
  whole
  $ fleet_wait 20 fleet_gone host-a1
  $ grep -c 'Stopped\.' $FLEET/host-a1.log
  1

After the other hosts have stopped too, exactly the tokens that the answers used
are charged, and no host holds any.

  $ spent=0; for file in open-? late; do t=$(tokens_of $file 2>/dev/null); spent=$((spent + ${t:-0})); done
  $ fleet_stop host-a2 host-b1 host-b2
  $ [ $(budget_field charged_tokens) = $spent ] || echo "settled $(budget_field charged_tokens), spent $spent"
  $ [ $(budget_field held_tokens) = 0 ] || echo "held $(budget_field held_tokens)"
