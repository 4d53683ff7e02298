A request crashes each engine that runs it, and its caller keeps retrying. It is
refused after the second crash, so that it crashes no further engine.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 100000
  $ engine_port_a=$(fleet_port engine-a); engine_port_b=$(fleet_port engine-b)
  $ restart_engines() { fleet_gone engine-a && fleet_standin engine-a engine --port $engine_port_a; fleet_gone engine-b && fleet_standin engine-b engine --port $engine_port_b; true; }
  $ crash() { stream $1 $2 "poison CRASH-ENGINE" >$2 2>/dev/null; }
  $ crashes() { cat $FLEET/engine-?.log | grep -c 'crash on request'; }
  $ for i in 1 2 3; do crash host-a1 try-$i; restart_engines; done
  $ crashes
  2
  $ jq -c '[.type, .not_run]' try-3
  ["urn:tamarackgw:quarantined",true]

The other host of the failure domain refuses it as well.

  $ refused_at() { crash $1 elsewhere; jq -e '.type == "urn:tamarackgw:quarantined"' elsewhere; }
  $ fleet_wait 10 refused_at host-a2
  $ crashes
  2

Other requests are served.

  $ stream host-a1 fine "fine ANSWER-TOKENS=5" --retry 20 --retry-delay 1 --retry-all-errors -f >fine 2>/dev/null
  $ is_whole fine "fine ANSWER-TOKENS=5"
