The operators' tool against the stand-in for the platform's store.

  $ CTL=$BUILD/tamarackgwctl
  $ unset TGW_HOSTS
  $ $BUILD/tests/standin_platform --port=0 --port-file=port >/dev/null 2>&1 &
  $ PLATFORM=$!
  $ for i in $(seq 100); do [ -s port ] && break; sleep 0.1; done
  $ export TGW_STORE=http://127.0.0.1:$(cat port) TGW_OPERATOR=ana
  $ fault() { curl -s -d "$1" $TGW_STORE/admin/fault >/dev/null; }

A change needs a reason; a dry run shows it and changes nothing.

  $ $CTL config publish $SOURCE/docs/examples/dvigalka.ini
  tamarackgwctl: each change needs a reason and a name; give --reason TEXT and --as NAME
  Usage: tamarackgwctl [OPTIONS] config publish FILE
  [2]
  $ $CTL --dry-run config publish $SOURCE/docs/examples/dvigalka.ini | grep -c ^add
  10
  $ $CTL --json config show | jq .generation
  0
  $ $CTL --reason start config publish $SOURCE/docs/examples/dvigalka.ini
  Generation 1 is accepted.
  $ $CTL --reason again config publish $SOURCE/docs/examples/dvigalka.ini
  Nothing changes; generation 1 stays.

The output of config show can be published again.

  $ $CTL config show >shown.ini; $CTL --dry-run config publish shown.ini
  Nothing changes; generation 1 stays.

The whole configuration is checked; an error in a file is reported with file and
line.

  $ printf '[team lost]\ntemplate = none\nbudget = b\n' >lost.ini
  $ $CTL --reason x config publish lost.ini
  lost.ini:1: team lost: there is no template none; publish it first, or in the same file
  [1]
  $ $CTL --reason x template remove dispatcher
  tamarackgwctl: team dispatch-office: there is no template dispatcher; publish it first, or in the same file
  [1]
  $ printf '[team wide]\ntemplate = technician\nbudget = b\nmodels = other\n' >wide.ini
  $ $CTL --reason x config publish wide.ini
  wide.ini:1: team wide: models has 'other', which template technician does not permit; add it there or leave it out here
  [1]

Of a team's key, only the hash is stored; a team has at most two keys, and no
two teams share one.

  $ echo a-key-of-the-dispatchers >key; chmod 600 key
  $ $CTL --reason rotate team add-key dispatch-office key
  Generation 2 is accepted.
  $ $CTL --reason x team add-key technicians-maribor key 2>&1 | sed -E 's/teams .* and .* have/teams have/'
  tamarackgwctl: teams have a key in common; give each team keys of its own
  $ $CTL --reason rotate team add-key dispatch-office >shown
  $ sed -E 's/[A-Za-z0-9_-]{32}$/KEY/' shown
  Generation 3 is accepted.
  Key of team dispatch-office, shown this once: KEY
  $ $CTL --reason x team add-key dispatch-office
  tamarackgwctl: team dispatch-office has 2 keys already; drop the old one with 'team drop-key'
  [1]
  $ OLD=$($CTL --json team show dispatch-office | jq -r '.key_hashes[0]')
  $ $CTL --reason done team drop-key dispatch-office $OLD
  Generation 4 is accepted.
  $ $CTL --reason x team drop-key dispatch-office 00
  tamarackgwctl: '00' is the start of 0 key hashes of team dispatch-office; see 'team show', and give more digits
  [1]
  $ curl -s -d '{"key":"dGd3Lw==","range_end":"dGd4"}' $TGW_STORE/v3/kv/range | jq -r '.kvs[].value' | while read -r v; do echo "$v" | base64 -d; done | grep -ac -e a-key-of -e "$(sed -n 's/.*once: //p' shown)"
  0
  [1]

Publishing a file without keys and drains leaves these as they are.

  $ $CTL --reason stop server drain lm-lj-1
  Generation 5 is accepted.
  $ $CTL --reason again config publish $SOURCE/docs/examples/dvigalka.ini
  Nothing changes; generation 5 stays.

When the store's response is lost, the tool reads the manifest back to learn
whether the change was applied, and applies it only once.

  $ fault '{"lose_answers": 1}'
  $ $CTL --reason go server undrain lm-lj-1
  Generation 6 is accepted (the store's response was lost, but the change was stored).
  $ $CTL --json audit --action server.undrain | jq length
  1

During an outage nothing is changed, and the exit code says so.

  $ fault '{"outage": true}'
  $ $CTL --reason x server drain lm-lj-1 2>/dev/null
  [5]
  $ fault '{"outage": false}'
  $ $CTL --json config show | jq .generation
  6

Three operators race: there is one generation for each accepted change, and the
other changes fail with a conflict.

  $ fault '{"slow_ms": 100}'
  $ race() { for n in 1 2 3 4; do $CTL --as $1 --reason "race $n" team create $1-$n technician b-$1-$n >>out.$1 2>&1; echo $? >>codes; done; }
  $ race ana & A=$!; race bor & B=$!; race cene & C=$!; wait $A $B $C
  $ fault '{"slow_ms": 0}'
  $ sort codes | uniq | tr '\n' ' '
  0 3  (no-eol)
  $ echo $(($(grep -c 0 codes) + 6 - $($CTL --json config show | jq .generation)))
  0
  $ grep -h "another operator's change came first" out.* | sort -u
  tamarackgwctl: nothing was changed: another operator's change came first.
  $ grep -hoE "team.create +(ana|bor|cene)-[0-9]: race [0-9]" out.* | head -1 | cut -c1-11
  team.create
  $ $CTL --json team list | jq length | (read n; echo $((n - 3 - $(grep -c 0 codes))))
  0

A rollback makes a new generation out of old objects, also when the history
spans several segments.

  $ for i in $(seq 25); do $CTL --reason "d$i" server drain lm-lj-1 >/dev/null; $CTL --reason "u$i" server undrain lm-lj-1 >/dev/null; done
  $ NOW=$($CTL --json config show | jq .generation)
  $ $CTL --reason back config rollback 5 | sed "s/$((NOW + 1))/NEXT/"
  Generation NEXT is accepted.
  $ $CTL --json server show lm-lj-1 | jq .draining
  true
  $ $CTL --json team list | jq length
  3
  $ $CTL config rollback 100000
  tamarackgwctl: the history does not reach back to generation 100000; see 'tamarackgwctl config history'
  [1]

The audit trail is complete, and shows who made a change, when and why, and the
values before and after it.

  $ $CTL audit verify | sed "s/$((NOW + 1)) entries/ALL entries/"
  ALL entries, 0 bad
  $ $CTL --json audit --object dispatch-office --who ana | jq -c '.[0] | {sequence, who, action, reason, before, after}'
  {"sequence":2,"who":"ana","action":"team.add-key","reason":"rotate","before":"","after":"key_hash = 1e213a89"}

Once the store has a list of operators, changes need a key with a sufficient
role, and the audit trail records the name that the key belongs to.

  $ mkkey() { $CTL --json operator new-key $1 $2 >made; jq -r .key made >$1.key; chmod 600 $1.key; jq -r .line made >>operators; }
  $ mkkey root admin; mkkey dora operator; mkkey vida viewer
  $ $CTL --key-file dora.key --reason x operator publish operators
  tamarackgwctl: your key does not belong to an admin in operators; add its line there, and give the key with --key-file
  [1]
  $ $CTL --key-file root.key --reason "first list" operator publish operators
  The list of operators is accepted.
  $ $CTL operator list | tr -s ' '
  root admin
  dora operator
  vida viewer
  $ $CTL --reason x server drain lm-mb-1
  tamarackgwctl: this needs the key of an operator with role operator; give it with --key-file
  [1]
  $ $CTL --key-file vida.key --reason x server drain lm-mb-1
  tamarackgwctl: this needs the key of an operator with role operator; give it with --key-file
  [1]
  $ $CTL --key-file dora.key --as somebody --reason heat server drain lm-mb-1 | cut -d' ' -f3-
  is accepted.
  $ $CTL --json audit --object lm-mb-1 | jq -r '.[-1] | .who, .reason'
  dora
  heat
  $ sed -i 's/^dora:operator/dora:admin/' operators
  $ $CTL --key-file dora.key --reason x operator publish operators
  tamarackgwctl: this needs the key of an operator with role admin; give it with --key-file
  [1]
  $ $CTL --json audit --action operator | jq -r '.[].who'
  ana
  $ $CTL audit verify | cut -d' ' -f2-
  entries, 0 bad

An altered entry and a removed segment are detected.

  $ segments() { curl -s -d '{"key":"dGd3L2F1ZGl0L2NvbmZpZy8=","range_end":"dGd3L2F1ZGl0L2NvbmZpZzA="}' $TGW_STORE/v3/kv/range; }
  $ KEY=$(segments | jq -r '.kvs[1].key'); VALUE=$(segments | jq -r '.kvs[1].value')
  $ BAD=$(echo $VALUE | base64 -d | sed 's/lm-lj-1/lm-lj-2/' | base64 -w0)
  $ curl -s -d "{\"key\":\"$KEY\",\"value\":\"$BAD\"}" $TGW_STORE/v3/kv/put >/dev/null
  $ $CTL audit verify 2>&1 | grep -c "it was altered"
  [1-9][0-9]* (re)
  $ curl -s -d "{\"key\":\"$KEY\"}" $TGW_STORE/v3/kv/deleterange >/dev/null
  $ $CTL audit verify 2>&1 | grep -c "the entry before it is missing"
  1
  $ $CTL audit verify >/dev/null 2>&1
  [1]

  $ kill $PLATFORM
