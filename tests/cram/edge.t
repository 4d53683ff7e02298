The edge as a process, with the stand-in for the users' site behind it.

  $ . "$SOURCE/tests/cram/lib/edge-site.sh"

Errors in the settings name file, line, key and remedy:

  $ printf '[host]\nname = h\nhello = 1\n' >bad.ini
  $ tamarackgw-edge --settings bad.ini
  bad.ini:3: [host] hello: no such setting; see --print-settings
  [1]
  $ printf '[host]\nname = h\n' >bad.ini
  $ tamarackgw-edge --settings bad.ini
  bad.ini: [host] failure_domain is missing; give the failure domain that this host is in
  [1]
  $ tamarackgw-edge --settings nowhere.ini
  nowhere.ini: can't be read; check the path and its mode
  [1]
  $ tamarackgw-edge --print-settings | grep -c '^; '
  * (glob)

It serves requests:

  $ site_up
  $ request r1 /unsafe/ok -d body
  200
  $ cat answer
  done (no-eol)
  $ request r2 /stream/stream -d body
  200
  $ tail -n 3 answer
  id: 5
  data: part-5
  

SIGHUP reloads the settings; an invalid file changes nothing:

  $ kill -HUP $EDGE
  $ wait_for logged reloaded
  $ cp edge.ini good.ini; echo '[host' >>edge.ini
  $ kill -HUP $EDGE
  $ wait_for logged reload_refused
  $ cp good.ini edge.ini
  $ request r3 /safe/ok
  200

Changed settings are reloaded without a signal as well:

  $ reloads() { [ $(grep -c event=reloaded edge.log) -ge $1 ]; }
  $ wait_for reloads 2
  $ sed -i 's/apply_ms = 400/apply_ms = 500/' edge.ini
  $ wait_for reloads 3

The metrics show it:

  $ curl -s http://$METRICS/metrics >metrics
  $ grep -E '^tamarackgw_(answered_total|servers|config_version|ready) ' metrics
  tamarackgw_answered_total 3
  tamarackgw_servers 2
  tamarackgw_config_version 1
  tamarackgw_ready 1
  $ grep -c '_bucket{le=' metrics
  26
  $ grep -c '^tamarackgw_caller_closes_total{reason=' metrics
  9

Logging to a full pipe does not delay requests:

  $ kill -TERM $EDGE; wait $EDGE; mkfifo stuck
  $ sleep 1000 <stuck & READER=$!
  $ tamarackgw-edge --settings edge.ini >stuck & EDGE=$!
  $ wait_for is_ready
  $ for i in $(seq 1500); do echo "url = http://$FRONT/open/ok"; echo 'header = "Host: a.example"'; echo 'output = /dev/null'; done >many.curl
  $ timeout 20 curl -s -K many.curl; echo $?
  0
  $ kill -TERM $EDGE; wait $EDGE; kill $READER

A host whose metrics address is in use serves requests nevertheless:

  $ sed "s/^metrics_address = .*/metrics_address = $STORE/" edge.ini >taken.ini
  $ tamarackgw-edge --settings taken.ini >taken.log & EDGE=$!
  $ wait_for is_ready
  $ grep -c event=no_metrics taken.log
  1
  $ request r5 /safe/ok
  200
  $ kill -TERM $EDGE; wait $EDGE

After a planned stop the process ends by itself and its allotments are returned:

  $ edge_start; wait_for is_ready
  $ request r4 /safe/ok
  200
  $ kill -TERM $EDGE; wait $EDGE; echo $?
  0
  $ grep -o 'event=stopped .*' edge.log | tail -1
  event=stopped open_requests=0 budgets_given_back=1
