Contract of the stand-ins: what docs/design/interfaces.md says of the platform,
the model engines and the plain services.

  $ FLEET=$PWD/fleet
  $ . "$SOURCE/tools/lib-fleet.sh"
  $ trap fleet_kill_all EXIT
  $ fleet_standin platform platform --list-lag-ms 50
  $ P=$(fleet_url platform)
  $ b64() { printf %s "$1" | base64 -w0; }
  $ post() { curl -sS -m 10 "$1" -d "$2"; }
  $ swap() { post $P/v3/kv/txn '{"compare":[{"key":"'$(b64 $1)'","target":"MOD","mod_revision":"'$2'","result":"EQUAL"}],"success":[{"request_put":{"key":"'$(b64 $1)'","value":"'$(b64 $3)'"}}],"failure":[{"request_range":{"key":"'$(b64 $1)'"}}]}' | jq -c '[.succeeded//false, .header.revision, .responses[0].response_range.kvs[0].mod_revision, (.responses[0].response_range.kvs[0].value // "" | @base64d)]'; }
  $ range() { post $P/v3/kv/range '{"key":"'$(b64 $1)'","range_end":"'$(b64 $2)'"}' | jq -c '[.kvs[]? | [(.key|@base64d), (.value|@base64d), .mod_revision]]'; }

A compare-and-swap takes effect when the version is the expected one, and else
returns the current value.

  $ swap a/1 0 one
  [true,"2",null,""]
  $ swap a/1 0 other
  [false,"2","2","one"]
  $ swap a/1 2 two
  [true,"3",null,""]
  $ swap a/2 0 three
  [true,"4",null,""]
  $ swap b/1 0 four
  [true,"5",null,""]
  $ range a/ a0
  [["a/1","two","3"],["a/2","three","4"]]
  $ post $P/v3/kv/txn '{"compare":[]}'; echo
  {"error":"malformed request"}

A watch reports past changes from its start revision on, then new ones,
including deletions.

  $ curl -sN -m 10 $P/v3/watch -d '{"create_request":{"key":"'$(b64 a/)'","range_end":"'$(b64 a0)'","start_revision":"3"}}' >watch & curl_pid=$!
  $ fleet_wait 5 sh -c '[ $(wc -l <watch) = 2 ]'
  $ post $P/v3/kv/deleterange '{"key":"'$(b64 a/2)'"}' | jq -c .deleted
  "1"
  $ fleet_wait 5 sh -c '[ $(wc -l <watch) = 3 ]'
  $ jq -c '.result | [.created, (.events//[] | map([.type, (.kv.key|@base64d), .kv.mod_revision]))]' watch
  [true,[]]
  [null,[[null,"a/1","3"],[null,"a/2","4"]]]
  [null,[["DELETE","a/2","6"]]]
  $ curl -sS $P/admin/calls | jq -c '[.watch, .watches_waiting, .txn]'
  [1,1,6]

With lose_answers, the response is lost after the write took effect.

  $ post $P/admin/fault '{"lose_answers":1}'; echo
  {}
  $ swap b/1 5 five 2>&1 | grep -o 'Empty reply'
  Empty reply
  $ range b/ b0
  [["b/1","five","7"]]

During an outage watches end and no request is answered; the data stays.

  $ post $P/admin/fault '{"outage":true}'; echo
  {}
  $ wait $curl_pid
  [18]
  $ swap b/1 7 six 2>&1 | grep -o 'Empty reply'
  Empty reply
  $ post $P/admin/fault '{"outage":false}'; echo
  {}
  $ range b/ b0
  [["b/1","five","7"]]
  $ curl -sS $P/admin/calls | jq -c .watches_waiting
  0

When a lease expires, its keys are deleted.

  $ lease=$(post $P/v3/lease/grant '{"TTL":"100"}' | jq -r .ID)
  $ post $P/v3/kv/put '{"key":"'$(b64 l)'","value":"","lease":"'$lease'"}' | jq -c 'has("header")'
  true
  $ post $P/v3/lease/keepalive '{"ID":"'$lease'"}' | jq -c .result.TTL
  "100"
  $ post $P/admin/fault '{"lapse_leases":true}'; echo
  {}
  $ range l m
  []
  $ post $P/v3/lease/keepalive '{"ID":"'$lease'"}' | jq -c .result.TTL
  null

The list of hosts shows changes with a delay.

  $ post $P/admin/hosts '{"register":{"hosts":[{"name":"h1","failure_domain":"d1"}],"servers":[{"name":"s1"}]}}'; echo
  {}
  $ listed() { curl -sS $P/hosts | jq -ce "$1"; }
  $ fleet_wait 5 listed '.hosts[0].name == "h1"'
  $ post $P/admin/hosts '{"register":{"servers":[{"name":"s1","leaving":true}]},"unregister":{"hosts":["h1"]}}'; echo
  {}
  $ fleet_wait 5 listed '.hosts == []'
  $ listed .
  {"hosts":[],"servers":[{"name":"s1","leaving":true}]}
  $ fleet_standin tardy platform --list-lag-ms 600000
  $ post $(fleet_url tardy)/admin/hosts '{"register":{"hosts":[{"name":"h1"}]}}'; echo
  {}
  $ curl -sS $(fleet_url tardy)/hosts; echo
  {"hosts":[],"servers":[]}

An engine streams the tokens of a prompt, with the request's id and attempt.

  $ fleet_standin engine engine --speed 10 --cache-event-lag-ms 0 --cache-blocks 8 --cache-gap-every 0 --load-lag-ms 0
  $ E=$(fleet_url engine)
  $ chat() { curl -sSN -m 10 $E/v1/chat/completions -H "X-Request-Id: $1" -H "X-Attempt: $2" -d "$3"; }
  $ events() { sed -n 's/^data: //p' | grep -v DONE | jq -c '[.id, .attempt, .index, .choices[0].delta.content, .choices[0].finish_reason, .usage.completion_tokens]'; }
  $ prompt='"model":"m","messages":[{"role":"user","content":"valve ANSWER-TOKENS=3"}]'
  $ chat r1 1 '{"stream":true,'"$prompt"'}' | tee answer | events
  ["r1",1,0,"w33589 ",null,null]
  ["r1",1,1,"w970db ",null,null]
  ["r1",1,2,"w8f002 ",null,null]
  ["r1",1,null,null,"stop",3]
  $ tail -n 2 answer
  data: [DONE]
  
  $ chat r2 1 '{"max_tokens":2,'"$prompt"'}' | jq -c '[.id, .choices[0].message.content, .choices[0].finish_reason, .usage]'
  ["r2","w33589 w970db ","length",{"prompt_tokens":7,"completion_tokens":2,"total_tokens":9}]

A newer attempt may resume a run; an older one is refused.

  $ curl -sS -X POST -H 'X-Attempt: 3' "$E/v1/requests/r1/resume?from=2" | events
  ["r1",3,2,"w8f002 ",null,null]
  ["r1",3,null,null,"stop",3]
  $ curl -sS -X POST -H 'X-Attempt: 2' "$E/v1/requests/r1/resume?from=0"; echo
  {"error":"a newer attempt is known"}
  $ curl -sS $E/v1/requests/r1 | jq -c '[.state, .attempt, .usage.completion_tokens]'
  ["done",3,3]
  $ curl -sS $E/v1/requests/none | jq -c .state
  "unknown"

The stream of a cancelled run ends with the run's usage.

  $ chat r3 1 '{"stream":true,"model":"m","messages":[{"role":"user","content":"ANSWER-TOKENS=1000000"}]}' >long & curl_pid=$!
  $ fleet_wait 5 grep -q '"index":5,' long
  $ curl -sS $E/load | jq -c '[.running, .waiting]'
  [1,0]
  $ curl -sS -X POST -H 'X-Attempt: 0' $E/v1/requests/r3/cancel; echo
  {"error":"a newer attempt is known"}
  $ curl -sS -X POST -H 'X-Attempt: 1' $E/v1/requests/r3/cancel | jq -c '[.state, .usage.completion_tokens > 5]'
  ["cancelled",true]
  $ wait $curl_pid
  $ events <long | tail -n 1 | jq -c '[.[4], .[5] > 5]'
  ["cancelled",true]

The prefix cache reports each stored and evicted block under a sequence number.

  $ text=$(head -c 2560 /dev/zero | tr '\0' x)
  $ chat r4 1 '{"model":"m","messages":[{"role":"user","content":"ANSWER-TOKENS=1 '$text'"}]}' >one
  $ curl -sS "$E/cache/events?since=0" | jq -c '[(.events | map(.kind) | group_by(.) | map([.[0], length])), .next]'
  [[["evicted",2],["stored",10]],12]
  $ curl -sS "$E/cache/events?since=12" | jq -c .
  {"events":[],"next":12}

The engine's cache is limited to the capacity that was set, and CRASH-ENGINE in
a prompt ends the engine.

  $ curl -sS $E/load | jq -c .cache_used_ratio
  1
  $ curl -sS $E/admin/totals; echo
  {"submitted":4}
  $ chat r5 1 '{"model":"m","messages":[{"role":"user","content":"CRASH-ENGINE"}]}' 2>&1 | grep -o 'Empty reply'
  Empty reply
  $ fleet_wait 5 fleet_gone engine

With --ignore-fencing the engine accepts commands of older attempts.

  $ fleet_standin lax engine --ignore-fencing --speed 10
  $ E=$(fleet_url lax)
  $ chat r1 5 '{'"$prompt"'}' | jq -c .attempt
  5
  $ curl -sS -X POST -H 'X-Attempt: 2' "$E/v1/requests/r1/resume?from=2" | events
  ["r1",2,2,"w8f002 ",null,null]
  ["r1",2,null,null,"stop",3]

Waiting runs start in order of priority.

  $ fleet_standin narrow engine --slots 1 --first-token-ms 1 --inter-token-ms 10 --load-lag-ms 0
  $ E=$(fleet_url narrow)
  $ submit() { chat $1 1 '{"stream":true,"priority":'$2',"model":"m","messages":[{"role":"user","content":"ANSWER-TOKENS='$3'"}]}' >$1.out; echo $1 >>order; }
  $ waiting() { curl -sS $E/load | jq -e ".running + .waiting == $1"; }
  $ submit first 0 300 & line_1=$!
  $ fleet_wait 5 waiting 1
  $ submit late 3 100 & line_2=$!
  $ fleet_wait 5 waiting 2
  $ submit soon 1 100 & line_3=$!
  $ fleet_wait 5 waiting 3
  $ wait $line_1 $line_2 $line_3
  $ cat order
  first
  soon
  late

A plain service counts each run by its key.

  $ fleet_standin service service
  $ S=$(fleet_url service)
  $ curl -sS $S/visits/7 -X PUT -H 'Idempotency-Key: k1' -H 'X-Request-Id: q' -d 'body'; echo
  {"service":"service","method":"PUT","path":"/visits/7","key":"k1","request_id":"q","run":1,"body":"body"}
  $ curl -sS $S/visits/7 -H 'Idempotency-Key: k1' -d '' | jq -c .run
  2
  $ curl -sS $S/visits/7 | jq -c .run
  1
  $ curl -sS $S/admin/runs; echo
  {"runs":{"k1":2},"unkeyed":1}
  $ curl -sS $S/load; echo
  {"running":0,"waiting":0}
