A valid file passes:

  $ PATH="$BUILD:$PATH"
  $ base() { printf '[host]\nname=h1\nfailure_domain=d1\ncaller_address=127.0.0.1:8080\npeer_address=127.0.0.1:8081\n[platform]\nstore_url=http://127.0.0.1:2379\nlist_url=http://127.0.0.1:2380\n'; }
  $ base >ok.ini
  $ tamarackgwd --check ok.ini
  ok.ini: ok

Each error names the file, the line, the key and the remedy:

  $ try() { { base; cat; } >bad.ini; tamarackgwd --check bad.ini; echo "exit $?"; }
  $ printf '[limits]\nmax_connections=0\n' | try
  tamarackgwd: bad.ini:10: [limits] max_connections: '0' is not a number from 1 to 100000; correct it or leave the key out for 4096
  exit 2
  $ printf '[limits]\nmax_body_bytes=4k\n' | try
  tamarackgwd: bad.ini:10: [limits] max_body_bytes: '4k' is not a number from 1024 to 67108864; correct it or leave the key out for 4194304
  exit 2
  $ printf '[limits]\ntypo=1\n' | try
  tamarackgwd: bad.ini:10: [limits] typo: no such setting; see tamarackgwd --print-settings
  exit 2
  $ printf '[host]\nname=again\n' | try
  tamarackgwd: bad.ini:10: [host] name: given twice; remove one
  exit 2
  $ printf 'nonsense\n' | try
  tamarackgwd: bad.ini:9: not of the form key = value
  exit 2
  $ printf '[membership]\nheartbeat_ms=2000\nsilent_after_ms=3000\n' | try
  tamarackgwd: bad.ini: [membership] silent_after_ms must be at least twice heartbeat_ms
  exit 2
  $ printf '[log]\nlevel=loud\n' | try
  tamarackgwd: bad.ini: [log] level: 'loud' is not one of error, warning, info, debug
  exit 2
  $ printf '[host]\nname=h1\n' >short.ini
  $ tamarackgwd --check short.ini
  tamarackgwd: short.ini: [host] failure_domain is missing; give this host's failure domain
  [2]
  $ tamarackgwd --check missing.ini
  tamarackgwd: missing.ini: can't be read; check the path and its mode
  [2]
  $ tamarackgwd
  tamarackgwd: give --settings FILE; see --help
  [2]

The printed settings pass once the names and addresses are filled in:

  $ tamarackgwd --print-settings | sed -e 's/^name =$/name = h1/' -e 's/^failure_domain =$/failure_domain = d1/' -e 's/^\(caller\|peer\)_address =$/\1_address = 127.0.0.1:0/' -e 's#^\(store\|list\)_url =$#\1_url = http://127.0.0.1:1#' >printed.ini
  $ tamarackgwd --check printed.ini
  printed.ini: ok
