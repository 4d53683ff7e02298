An operator drains a backend server under load: it gets no new requests, it
finishes those that it runs, and no caller sees a failure.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 1000000 --inter-token-ms 5
  $ load() { local i=0; while [ ! -e stop-load ]; do i=$((i + 1)); stream $1 $1-$i "load $1 $i ANSWER-TOKENS=30" >load-$1-$i; done; }
  $ for name in $FLEET_HOSTS; do load $name & pids="$pids $!"; done
  $ both() { [ $(submitted engine-a) -ge 3 ] && [ $(submitted engine-b) -ge 3 ]; }
  $ fleet_wait 20 both
  $ fleet_ctl --reason "new fans" server drain engine-a >/dev/null
  $ fleet_ctl config status --wait --timeout 10 >/dev/null
  $ before_a=$(submitted engine-a); before_b=$(submitted engine-b)
  $ grown() { [ $(submitted engine-b) -ge $((before_b + 12)) ]; }
  $ fleet_wait 20 grown
  $ [ $(submitted engine-a) = $before_a ]

After undrain the server gets requests again.

  $ fleet_ctl --reason "fans are in" server undrain engine-a >/dev/null
  $ again() { [ $(submitted engine-a) -ge $((before_a + 3)) ]; }
  $ fleet_wait 20 again

The platform's list marks the other server as leaving: it gets no new requests.

  $ fleet_get $(fleet_url platform)/admin/hosts -d '{"register":{"servers":[{"name":"engine-b","leaving":true}]}}'
  {} (no-eol)
  $ quiet() { local n=$(submitted engine-b) m=$(submitted engine-a); until [ $(submitted engine-a) -ge $((m + 12)) ]; do sleep 0.05; done; [ $(submitted engine-b) = $n ]; }
  $ fleet_wait 20 quiet
  $ touch stop-load
  $ wait $pids
  $ for file in load-*; do grep -q DONE $file || cat $file; done
  $ fleet_ctl audit | grep -c 'server.*drain'
  2
