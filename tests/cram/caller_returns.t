A caller's connection breaks in the middle of an answer. The call continues for
some seconds without its caller. If the caller sends its request again in that
time, with the same key, it gets the whole answer and is billed for it once.

  $ . "$SOURCE/tests/cram/lib/small-fleet.sh"
  $ small_fleet_up 100000 --inter-token-ms 20
  $ stream host-a1 key "visit ANSWER-TOKENS=100" -m 0.7 >cut 2>/dev/null
  [28]
  $ went_away() { grep -q 'caller went away' $FLEET/host-a1.log; }
  $ fleet_wait 10 went_away
  $ part_settled() { [ $(budget_field charged_tokens) -gt 0 ]; }
  $ fleet_wait 20 part_settled
  $ again() { stream host-a1 key "visit ANSWER-TOKENS=100" >again; is_whole again "visit ANSWER-TOKENS=100"; }
  $ fleet_wait 5 again || head -c 300 again
  $ settled() { [ $(budget_field charged_tokens) = $(tokens_of again) ]; }
  $ fleet_wait 5 settled
