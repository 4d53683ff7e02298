A booking runs once however often it is retried, through all hosts: while the
first attempt is still in progress, and when responses of the store are lost.

  $ VISIT_MS=1500
  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 100000
  $ verdicts() { for file in $1-*; do jq -c 'if .run then "run \(.run)" elif .not_run != true then "unknown" else "not run" end' $file; done | sort -u; }
  $ for i in 1 2 3; do for name in $FLEET_HOSTS; do book $name once >once-$name-$i & pids="$pids $!"; done; done
  $ wait $pids
  $ runs_of once
  1
  $ verdicts once | grep -c '"not run"'
  0
  [1]
  $ verdicts once | grep '"run'
  "run 1"

When the store's responses are lost after the write, a booking that is reported
as not run did not run, and no booking runs twice.

  $ for i in 1 2 3 4; do fleet_fault '{"lose_answers":2}'; book host-a1 lossy-$i >lossy-$i; book host-b1 lossy-$i >lossy-$i-again; done
  $ fleet_fault '{"lose_answers":0}'
  $ for i in 1 2 3 4; do runs=$(runs_of lossy-$i); [ $runs -le 1 ] || echo "lossy-$i ran $runs times"; if jq -e '.not_run == true' lossy-$i lossy-$i-again >/dev/null 2>&1; then [ $runs = 0 ] || echo "lossy-$i: said not run, ran"; fi; done

The entry host of a booking is killed while the booking runs. A retry through
another host never runs it again and never reports that it did not run.

  $ book host-a1 killed >killed-1 2>/dev/null & pid=$!
  $ started() { [ $(runs_of killed) = 1 ]; }
  $ fleet_wait 10 started
  $ fleet_signal host-a1 KILL
  $ wait $pid
  [52]
  $ FLEET_HOSTS="host-a2 host-b1 host-b2"
  $ for name in $FLEET_HOSTS; do book $name killed >killed-$name; done
  $ runs_of killed
  1
  $ verdicts killed | grep -c '"not run"'
  0
  [1]

A read may be repeated, and each attempt runs.

  $ for i in 1 2; do call host-b1 /services/visits/schedule -H 'Idempotency-Key: read' | jq -c .method; done
  "GET"
  "GET"
