Clients that exceed their limits, at the edge as a process. This guards against
running out of memory or descriptors, and against a host that serves nobody
afterwards. The host has 64 MB for everything and 256 descriptors, which are the
bounds. 160 clients connect: more than may at once, and their bodies of up to
1 MiB exceed its memory.

  $ LIMITS="4096 1048576 3000 15000"
  $ . "$SOURCE/tests/cram/lib/edge-site.sh"
  $ . "$SOURCE/tests/cram/lib/crowds.sh"
  $ EXTRA_HOST="memory_mb = 64
  > max_descriptors = 256"
  $ site_up
  $ CROWD_PID=$EDGE CROWD_ADDRESS=$FRONT CROWD_CLIENTS=160 CROWD_BODY=1048576
  $ CROWD_PATH=/unsafe/ok CROWD_READ_PATH=/safe/large
  $ CROWD_FIELDS=("Host: a.example" "Authorization: Token key-1" "Tamarackgw-Request-Id: crowd-%" "Tamarackgw-Deadline-Ms: 1500")
  $ CROWD_MEMORY_KB=$((64 * 1024)) CROWD_DESCRIPTORS=256
  $ restart() { edge_start; CROWD_PID=$EDGE; wait_for is_ready; }
  $ answers() { [ "$(request "after-$RANDOM" /unsafe/ok -m 5 -d body)" = 200 ]; }

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
