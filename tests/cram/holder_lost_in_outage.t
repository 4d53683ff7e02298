The store is unreachable, and the host that holds the budget for its failure
domain dies. Requests through the other host of the domain are still served,
from the allotment of the domain's remaining holder or of the other failure
domain: nearly all of the budget is left.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 100000 --inter-token-ms 2
  $ for i in 1 2 3 4; do stream host-a1 warm-a$i "visit a$i ANSWER-TOKENS=20" >warm-a$i; stream host-b1 warm-b$i "visit b$i ANSWER-TOKENS=20" >warm-b$i; done
  $ cat warm-* | grep -c DONE
  8
  $ holds() { [ "$(budget_field charged_tokens)" -ge 200 ]; }
  $ fleet_wait 20 holds
  $ lost=$(FLEET_HOSTS="host-a1 host-a2" holder)
  $ [ $lost = host-a1 ] && left=host-a2 || left=host-a1
  $ fleet_fault '{"outage":true}'
  $ fleet_signal $lost KILL
  $ fleet_wait 5 fleet_gone $lost
  $ stream $left after "after ANSWER-TOKENS=20" --retry 6 --retry-delay 1 --retry-all-errors -f >after 2>error
  $ is_whole after "after ANSWER-TOKENS=20" || tail -n 1 error
