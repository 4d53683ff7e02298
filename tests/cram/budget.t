The operators' budget commands, against the stand-in for the platform's store.

  $ CTL=$BUILD/tamarackgwctl
  $ unset TGW_HOSTS
  $ $BUILD/tests/standin_platform --port=0 --port-file=port >/dev/null 2>&1 &
  $ PLATFORM=$!
  $ for i in $(seq 100); do [ -s port ] && break; sleep 0.1; done
  $ export TGW_STORE=http://127.0.0.1:$(cat port) TGW_OPERATOR=ana

A payment needs a reason, and is applied once for each id.

  $ $CTL budget top-up acme 5000 --id pay-1
  tamarackgwctl: each change needs a reason and a name; give --reason TEXT and --as NAME
  Usage: tamarackgwctl [OPTIONS] budget top-up BUDGET TOKENS [--id ID]
  [2]
  $ $CTL --dry-run budget top-up acme 5000 --id pay-1
  Would add 5000 tokens to acme by top-up pay-1.
  $ $CTL budget show acme
  tamarackgwctl: there is no budget acme; top it up to create it
  [1]
  $ $CTL --reason invoice budget top-up acme 5000 --id pay-1
  Added 5000 tokens to acme by top-up pay-1.
  $ $CTL --reason invoice budget top-up acme 5000 --id pay-1
  Top-up pay-1 was applied before; nothing changes.
  $ $CTL --reason invoice budget top-up acme 6000 --id pay-1
  tamarackgwctl: top-up id 'pay-1' was used for 5000 tokens; choose another id
  [1]

Invalid amounts are refused.

  $ $CTL --reason x budget top-up acme 0 --id pay-2
  tamarackgwctl: a top-up is 1 to 1000000000000000 tokens
  [1]
  $ $CTL --reason x budget top-up acme 99999999999999999999 --id pay-2 2>/dev/null
  [2]
  $ $CTL --reason x budget top-up acme 1000000000000000 --id pay-2
  tamarackgwctl: the budget would pass 1000000000000000 tokens; top up less
  [1]

The tool shows where the tokens are and who paid them in.

  $ $CTL budget show acme
  acme: paid in 5000, charged 0, held by hosts 0, free 5000
    charged by lines that were returned: 0
    top-up pay-1: 5000
  $ $CTL --json budget list | jq -c '.[]'
  {"budget":"acme","paid_in_tokens":5000,"charged_tokens":0,"held_tokens":0,"free_tokens":5000}
  $ $CTL budget write-offs
  $ for i in 2 3 4 5 6 7 8 9 10; do $CTL --reason more budget top-up acme 10 --id pay-$i >/dev/null; done
  $ $CTL --json audit --action budget.top-up | jq length
  10
  $ kill $PLATFORM
