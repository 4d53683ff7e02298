The cause of a failed request is found by its id, as docs/OPERATIONS.md says.

  $ . "$SOURCE/tests/cram/lib/edge-site.sh"
  $ PREPAID=100 site_up

A request that was refused because its budget is exhausted:

  $ request budget-1 /stream/stream -d x -H 'Tamarackgw-Token-Count: 90,40'
  402
  $ wait_for logged refused
  $ tamarackgwctl explain budget-1 edge.log | grep -E 'cause|not_reserved' | sed -E 's/^ *ts=[0-9.]+ //; s/read_ms_ago=[0-9]+/read_ms_ago=N/; s/(limit_here|free|taken_by_all)=[0-9]+/\1=N/g'
  part=budget event=not_reserved request=budget-1 team=acme tokens=130 outcome=exhausted paid_in=100 limit_here=N settled_here=0 reserved_here=0 free=N taken_by_all=N settled_by_all=0 read_ms_ago=N given_here=0 relay=-
  cause: the team is out of tokens: top its budget up

A stream that broke:

  $ site_say config 2 1000000
  $ in_force() { grep -q 'version=2' edge.log; }
  $ wait_for in_force
  $ request stream-1 /stream/stream-cut -d x -H 'Tamarackgw-Token-Count: 90,40'
  200
  [18]
  $ tamarackgwctl explain stream-1 edge.log | grep -E 'cause|attempt_failed|event=refused' | sed -E 's/^ *ts=[0-9.]+ //; s/worker-[01]/worker-N/; s/_ms=[0-9]+/_ms=N/g; s/ server_load.*//'
  part=call event=attempt_failed request=stream-1 server=worker-N reason="the server broke the connection off" sent=1 events=3 attempt=1 age_ms=N silent_ms=N
  part=call event=refused request=stream-1 team=acme route=stream status=502 reason="the server broke the connection off" attempts=1 may_have_run=1 events=3 retry_after_ms=N age_ms=N not_repeated=kind caller=aborted
  cause: the server crashed, or its answer was lost; it may have run the request

A call whose outcome is unknown:

  $ request unsafe-1 /unsafe/hold -d x
  504
  $ tamarackgwctl explain unsafe-1 edge.log | grep -E 'cause|event=refused' | sed -E 's/^ *ts=[0-9.]+ //; s/_ms=[0-9]+/_ms=N/g'
  part=call event=refused request=unsafe-1 team=acme route=unsafe status=504 reason="the time of the request is up" attempts=1 may_have_run=1 events=0 retry_after_ms=N age_ms=N not_repeated=- caller=done
  cause: the deadline or the route's timeout passed; see the attempts for where the time went

Earlier state changes of the host are shown:

  $ tamarackgwctl explain stream-1 edge.log | grep -c 'part=config event=in_force'
  2

A request that is in no file, and damaged files:

  $ tamarackgwctl explain nobody edge.log
  tamarackgwctl: no line of request nobody; its host is not among these files, or the line was dropped (see event=dropped)
  [1]
  $ { head -c 40 edge.log; echo; printf 'ts=zz part=call event=refused request=budget-1 x\n'; cat edge.log; head -c 70 edge.log; } >damaged.log
  $ tamarackgwctl explain budget-1 damaged.log | tail -2
  cause: the team is out of tokens: top its budget up
  damaged.log: 2 lines are cut off or damaged and were passed over
  $ tamarackgwctl explain budget-1 nowhere.log
  tamarackgwctl: nowhere.log can't be read; check the path
  tamarackgwctl: no line of request budget-1; its host is not among these files, or the line was dropped (see event=dropped)
  [1]
