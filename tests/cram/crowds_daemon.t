Clients that exceed their limits, at tamarackgwd as a process. This guards
against running out of memory or descriptors, and against a host that serves
nobody afterwards. The host has 128 MB for everything, and the system allows it
256 descriptors, of which a sixteenth has to stay free. These are the bounds. 300
clients connect: more than it has descriptors for, and their bodies of up to
1 MiB exceed its memory.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ . "$SOURCE/tests/cram/lib/crowds.sh"
  $ FLEET_HOSTS=host-a1
  $ FLEET_SETTINGS="$FLEET_SETTINGS
  > [limits] max_body_bytes = 1048576
  > caller_idle_ms = 3000"

A host that can be told its memory is told.

  $ if "$BUILD/tamarackgwd" --print-settings | grep -q '^memory_mb ='; then FLEET_SETTINGS="$FLEET_SETTINGS
  > [host] memory_mb = 128"; fi
  $ ulimit -S -n 256
  $ small_fleet_up 1000000000
  $ ulimit -S -n 1024
  $ find_host() { CROWD_PID=$(fleet_pid host-a1) CROWD_ADDRESS=127.0.0.1:$(fleet_port host-a1); }
  $ find_host
  $ restart() { ulimit -S -n 256; fleet_host host-a1 a; ulimit -S -n 1024; find_host; fleet_wait 20 fleet_ready host-a1; }
  $ CROWD_CLIENTS=300 CROWD_BODY=1048576
  $ CROWD_PATH=/services/visits/bookings CROWD_READ_PATH=/metrics
  $ CROWD_FIELDS=("Host: a.example" "Authorization: Bearer $KEY" "Idempotency-Key: crowd-%")
  $ CROWD_MEMORY_KB=$((128 * 1024)) CROWD_DESCRIPTORS=240
  $ answers() { book host-a1 "after-$RANDOM" -m 5 | jq -e .run; }

  $ crowd large-chunks
  large-chunks
  $ crowd byte-chunks
  byte-chunks
  $ crowd short-of-end
  short-of-end
  $ crowd extensions
  extensions
  $ crowd endless-extension
  endless-extension
  $ crowd trailers
  trailers
  $ crowd endless-trailers
  endless-trailers
  $ crowd announced-over
  announced-over
  $ crowd sent-over
  sent-over
  $ crowd keep-alive-over
  keep-alive-over
  $ crowd early-response
  early-response
  $ crowd slow-heads
  slow-heads
  $ crowd unread
  unread
  $ crowd unread-pipelined
  unread-pipelined
  $ crowd all
  all
