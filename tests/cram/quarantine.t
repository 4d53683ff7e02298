The operators' commands for requests that crash servers, against the stand-in
for the platform's store.

  $ CTL=$BUILD/tamarackgwctl
  $ unset TGW_HOSTS
  $ $BUILD/tests/standin_platform --port=0 --port-file=port >/dev/null 2>&1 &
  $ PLATFORM=$!
  $ for i in $(seq 100); do [ -s port ] && break; sleep 0.1; done
  $ export TGW_STORE=http://127.0.0.1:$(cat port) TGW_OPERATOR=ana
  $ $CTL quarantine list
  No request is suspected or refused.
  $ $CTL --json quarantine list
  []
  $ $CTL quarantine lift 0707070707
  tamarackgwctl: each change needs a reason and a name; give --reason TEXT and --as NAME
  Usage: tamarackgwctl [OPTIONS] quarantine lift FINGERPRINT
  [2]
  $ $CTL --reason fixed quarantine lift 0707070707
  tamarackgwctl: no quarantined request starts with 0707070707; see 'quarantine list' and give 6 digits or more
  [1]

A refused request is listed; lifting it adds one audit entry.

  $ VALUE=$(printf '\x93\x01\x91\x94\xc4\x10\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\7\xa5koper\x00\x92\x92\x01\x64\x92\x02\xce\x00\xff\xff\xff\x90' | base64 -w0)
  $ curl -s -o /dev/null $TGW_STORE/v3/kv/put -d "{\"key\":\"$(printf tgw/quarantine/requests | base64 -w0)\",\"value\":\"$VALUE\"}"
  $ $CTL quarantine list
  07070707070707070707070707070707  refused    2 crashes  koper
  $ $CTL --dry-run quarantine lift 070707
  Would lift 070707.
  $ $CTL --reason fixed quarantine lift 070707
  Lifted 070707; hosts follow within seconds.
  $ $CTL quarantine list
  No request is suspected or refused.
  $ $CTL audit | grep -c quarantine.lift
  1
  $ kill $PLATFORM
