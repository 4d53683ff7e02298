The documentation matches the programs.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ PATH=$BUILD:$PATH
  $ cd "$SOURCE"

The reference pages of settings equal what the programs print.

  $ tools/settings-page.sh "$BUILD" | diff docs/operations/settings.md -
  $ tools/settings-page.sh "$BUILD" tamarackgw-edge | diff docs/operations/edge-settings.md -

The sample settings of both users are valid.

  $ for file in docs/examples/*-host.ini; do tamarackgwd --check $file >/dev/null || echo "$file"; done

Links between pages point to existing files.

  $ for page in README.md DEVELOPERS.md CHANGELOG.md $(find docs -name '*.md'); do grep -oE '\]\([^)#]+' $page | cut -c3- | grep -v '^http' | while read link; do [ -e "$(dirname $page)/$link" ] || echo "$page: $link"; done; done

Each name of code on the operators' pages, such as a setting's, stands in the source.

  $ grep -ohE '`[a-z0-9]+(_[a-z0-9]+)+`' $(find docs/operations -name '*.md') | tr -d '`' | grep -v '^tamarackgw_' | sort -u | while read name; do grep -rqw "$name" src platform || echo "$name"; done

Each block of commands that is marked as tested runs against a small fleet.

  $ cd "$CRAMTMP"
  $ FLEET_HOSTS="host-a1 host-b1"
  $ small_fleet_up 0
  $ export TGW_STORE=$(fleet_url platform) TGW_OPERATOR=ana
  $ export TGW_HOSTS="$(fleet_url host-a1) $(fleet_url host-b1)"
  $ mkdir -m 700 work && cd work
  $ cp $FLEET/operator.key operator.key && cp $FLEET/fleet.ini .
  $ blocks() { awk -v page="$1" '/^ *```sh$/{getline; if ($0 ~ /# tested/) {on=1; n++; next}} /^ *```$/{on=0} on{print n "\t" $0}' "$1"; }
  $ run_page() { local n; for n in $(blocks $1 | cut -f1 | sort -un); do { echo 'set -e; tamarackgwctl() { command tamarackgwctl --key-file "$FLEET/operator.key" "$@"; }'; blocks $1 | awk -F'\t' -v n=$n '$1 == n' | cut -f2-; } >block.sh; FLEET=$FLEET bash block.sh >block.out 2>&1 </dev/null || { echo "$1, block $n:"; cat block.out; }; done; }
  $ count=0; for page in $SOURCE/README.md $(find $SOURCE/docs -name '*.md'); do run_page $page; count=$((count + $(blocks $page | cut -f1 | sort -un | wc -l))); done
  $ [ $count -ge 5 ] || echo "only $count blocks"

Each counter that the page on alarms names is one of the hosts' metrics.

  $ fleet_get $(fleet_url host-a1)/metrics >metrics
  $ grep -oE 'tamarackgw_[a-z_]+' $SOURCE/docs/operations/alarms.md | sort -u | while read name; do grep -q "^$name[ {]" metrics || echo "$name"; done
