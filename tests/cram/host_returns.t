A killed host is started again. Little of the budget is spent, but the other
hosts hold much of it. The first request through the restarted host has to be
served, not refused as if the budget were exhausted.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 20000
  $ fleet_signal host-a1 KILL
  $ fleet_wait 5 fleet_gone host-a1
  $ for i in 1 2 3 4 5 6 7 8; do for name in host-a2 host-b1 host-b2; do stream $name warm-$name-$i "warm $name $i ANSWER-TOKENS=50" >warm-$name-$i & pids="$pids $!"; done; done
  $ wait $pids
  $ cat warm-* | grep -c DONE
  24
  $ fleet_host_again host-a1
  $ stream host-a1 key "visit ANSWER-TOKENS=5" >first
  $ is_whole first "visit ANSWER-TOKENS=5" || jq -r .detail first
