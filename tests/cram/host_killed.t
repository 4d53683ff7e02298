An entry host is killed while it streams answers: its callers' connections
break, their retries through other hosts get the whole answer, and the budget is
not exceeded.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 100000 --inter-token-ms 20
  $ for i in 1 2 3 4 5 6; do stream host-a1 key-$i "visit $i ANSWER-TOKENS=100" >cut-$i 2>error-$i & pids="$pids $!"; done
  $ for i in 1 2 3 4 5 6; do fleet_wait 10 grep -q '"index":3,' cut-$i; done
  $ fleet_signal host-a1 KILL
  $ for pid in $pids; do wait $pid || echo "broken"; done
  broken
  broken
  broken
  broken
  broken
  broken
  $ cat cut-* | grep -c DONE
  0
  [1]

Each caller sends its request again, with the same key, through another host of
the same failure domain or through one of the other domain.

  $ hosts=(host-a2 host-b1 host-b2)
  $ for i in 1 2 3 4 5 6; do stream ${hosts[i % 3]} key-$i "visit $i ANSWER-TOKENS=100" --retry 5 --retry-all-errors -f >again-$i 2>error-$i & pids_2="$pids_2 $!"; done
  $ wait $pids_2
  $ for i in 1 2 3 4 5 6; do is_whole again-$i "visit $i ANSWER-TOKENS=100" && echo whole; done
  whole
  whole
  whole
  whole
  whole
  whole

The other hosts see the killed one as silent or gone. The charged tokens are at
least those of the six answers and never more than what was paid in.

  $ gone() { FLEET_HOSTS=host-b1 fleet_ctl --json hosts | grep -Eq '"(silent|gone)"'; }
  $ fleet_wait 10 gone
  $ spent=0; for i in 1 2 3 4 5 6; do spent=$((spent + $(tokens_of again-$i))); done
  $ settled() { [ $(budget_field charged_tokens) -ge $spent ]; }
  $ fleet_wait 20 settled
  $ [ $(budget_field free_tokens) -ge 0 ]
