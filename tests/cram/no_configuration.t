A host that has not read its first configuration refuses requests with a key, as
not run. This guards against looking a key up where there are no teams.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ fleet_standin platform platform
  $ fleet_host host-a1 a
  $ call host-a1 /v1/chat/completions -d '{}' | jq -c '[.status, .not_run]'
  [503,true]
  $ fleet_alive host-a1
