The operators' tool without a store or a host.

  $ CTL=$BUILD/tamarackgwctl
  $ unset TGW_STORE TGW_HOSTS TGW_OPERATOR

Help names each command and the exit codes.

  $ $CTL --help | head -3
  Usage: tamarackgwctl [OPTIONS] COMMAND [WORDS]
  
  Publishes templates, teams and servers, and shows the state of the fleet.
  $ $CTL --help | grep -c 'config publish FILE'
  1
  $ $CTL server --help | grep -c 'config publish FILE'
  0
  [1]
  $ $CTL --help | tail -3
  Exit codes: 0 done, 1 failed, 2 wrong use, 3 another operator's change
  came first, 4 the change may have been stored or not, 5 the store or a host does
  not answer.

Wrong use and failure have different exit codes.

  $ $CTL
  Give a command; see 'tamarackgwctl --help'.
  [2]
  $ $CTL config publsh x
  There is no command 'config publsh'; see 'tamarackgwctl --help'.
  [2]
  $ $CTL server drain
  Usage: tamarackgwctl [OPTIONS] server drain NAME
  [2]
  $ $CTL --store
  tamarackgwctl: option "--store" requires an argument
  Try 'tamarackgwctl --help'.
  [2]
  $ $CTL team list
  tamarackgwctl: no store is named; give --store URL or set TGW_STORE
  [1]
  $ $CTL status
  tamarackgwctl: no host is named; give --host URL or set TGW_HOSTS
  Usage: tamarackgwctl [OPTIONS] status 
  [2]
  $ $CTL --store http://127.0.0.1:1 audit --since yesterday
  tamarackgwctl: --since takes a date such as 2026-12-03, or a span such as 6h or 2d
  Usage: tamarackgwctl [OPTIONS] audit [--who NAME] [--object NAME] [--action ACTION] [--since WHEN]
  [2]

The store or a host does not answer.

  $ $CTL --store http://127.0.0.1:1 team list 2>/dev/null
  [5]
  $ $CTL --host http://127.0.0.1:1 status 2>/dev/null
  [5]

A key file that others may read is refused, and its content is not shown.

  $ echo opensesame >key; chmod 644 key
  $ $CTL --key-file key status
  tamarackgwctl: key may be used by others (mode 644); run 'chmod 600 key'
  [2]

The sample files are valid.

  $ $CTL config check $SOURCE/docs/examples/dvigalka.ini | sed 's:.*/::'
  dvigalka.ini: ok, 10 objects
  $ $CTL config check $SOURCE/docs/examples/boilercert.ini | sed 's:.*/::'
  boilercert.ini: ok, 11 objects

All errors of a file are reported at once, with file, line and remedy.

  $ cat >bad.ini <<END
  > stray = 1
  > [template staff]
  > models = m
  > work.answer = soon, 100
  > work.summary = normal, 60000
  > max_output_tokens = many
  > max_open_requests = 5
  > [team a b]
  > [tim x]
  > [server s1]
  > failure_domain = d1
  > url = ftp://x
  > kind = model
  > models = m
  > slots = 4
  > [team a]
  > budget = b
  > key_hash = 1234
  > [team a]
  > template = staff
  > budget = b
  > [team a]
  > template = staff
  > budget = b
  > budget = c
  > END
  $ $CTL config check bad.ini
  bad.ini:1: 'stray' stands before any section; write a section such as [team NAME] above it
  bad.ini:4: work.answer: 'soon' is no urgency; use immediate, high, normal or batch
  bad.ini:6: max_output_tokens = 'many' is not a whole number; write digits only
  bad.ini:2: [template staff] lacks 'max_output_tokens'; add a line 'max_output_tokens = NUMBER'
  bad.ini:8: [team a b] has no valid name; use letters, digits, '.', '_' and '-'
  bad.ini:9: [tim x] is of no known kind; write [template NAME], [team NAME], [server NAME] or [service NAME]
  bad.ini:10: [server s1] url 'ftp://x' is not an HTTP base; write it as http://ADDRESS:PORT
  bad.ini:18: key_hash is not 64 hex digits; leave it out and run 'tamarackgwctl team add-key'
  bad.ini:16: [team a] lacks 'template'; add a line 'template = NAME'
  bad.ini:25: budget stands twice; keep one
  bad.ini:22: [team a] stands in line 19 already; keep one
  [1]
  $ : >empty.ini; $CTL config check empty.ini
  empty.ini:1: the file has no section; add one, such as [team NAME]
  [1]
  $ $CTL config check missing.ini
  tamarackgwctl: missing.ini: No such file or directory
  [1]
  $ mkdir folder; $CTL config check folder
  tamarackgwctl: folder: Is a directory
  [1]

A new operator's key is shown once, with the line for the hosts' file.

  $ $CTL operator new-key ana boss
  Usage: tamarackgwctl [OPTIONS] operator new-key NAME viewer|operator|admin
  [2]
  $ $CTL --json operator new-key ana viewer | jq -r .line | sed -E 's/[0-9a-f]{64}/HASH/'
  ana:viewer:HASH
