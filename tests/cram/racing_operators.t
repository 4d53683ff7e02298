Operators publish at the same time. Each accepted change stays in force, a
refused one exits with 3, and all hosts end with the same generation.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ FLEET_HOSTS="host-a1 host-b1"
  $ small_fleet_up 0
  $ variant() { sed -e "s/^max_open_requests = .*/max_open_requests = $1/" $FLEET/fleet.ini >variant-$1.ini; }
  $ for i in 1 2 3 4 5 6; do variant 90$i; TGW_OPERATOR=op-$i fleet_ctl --reason race config publish variant-90$i.ini >out-$i 2>&1 & eval "pid_$i=$!"; done
  $ accepted=0; for i in 1 2 3 4 5 6; do eval "pid=\$pid_$i"; wait $pid; code=$?; case $code in 0) accepted=$((accepted + 1)); echo op-$i >>winners;; 3) ;; *) echo "exit $code"; cat out-$i;; esac; done
  $ [ $accepted -ge 1 ]

Every accepted change is in the audit trail, and none that was refused.

  $ fleet_ctl --json audit >audit
  $ jq -r '.. | .who? // empty' audit | grep '^op-' | sort >in_audit
  $ sort winners | diff - in_audit
  $ fleet_ctl audit verify >/dev/null

All hosts have the last generation in force.

  $ fleet_ctl config status --wait --timeout 10 | grep -o 'generation [0-9]*' | sort | uniq -c | wc -l
  1

When the store's response is lost after the write, the tool finds out whether
the change was applied; it does not guess.

  $ variant 950
  $ fleet_fault '{"lose_answers":1}'
  $ fleet_ctl --reason lost config publish variant-950.ini >lost 2>&1; code=$?
  $ [ $code = 0 ] || [ $code = 4 ]
  $ fleet_ctl template show field | grep max_open_requests
  max_open_requests = 950
  $ fleet_ctl audit verify >/dev/null
