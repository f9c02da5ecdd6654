#!/usr/bin/env bash
# Proves the platform's face with the demo that the README names: a stream and a
# booking through real sockets, the metrics, an unknown key, a clean stop. Ends
# only the process that it started. Fails with the first thing that is not as it
# should be.
set -euo pipefail
cd "$(dirname "$0")/.."

# Below the ports that the system gives to outgoing connections: one of those
# may hold any port above, and the demo then can't listen.
base=${BASE_PORT:-29000}
program=bin/hazelslip
work=$(mktemp -d)
$program demo --platform --base-port "$base" >"$work/out" 2>"$work/err" &
demo=$!
cleanup() {
  kill "$demo" 2>/dev/null || true
  wait "$demo" 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

say() { echo "platform path: $*"; }
fail() {
  say "FAILED: $*"
  say "the demo said:"
  tail -n 20 "$work/err"
  exit 1
}

caller="http://127.0.0.1:$((base + 10))"
second="http://127.0.0.1:$((base + 11))"
operator="http://127.0.0.1:$((base + 30))"
ask() { curl -sS -H 'Host: demo.example' -H 'Api-Key: demo-key' "$@"; }
draft() {
  ask -N "$1/draft/1" -H "X-Hazelslip-Attempt-Id: $2" -H 'X-Hazelslip-Model-Id: small' \
    -H 'X-Hazelslip-Token-Usage: 900,100' -d 'Draft the visit report.'
}

say "groups form and a stream comes whole through each node"
for node in "$caller" "$second"; do
  for try in $(seq 150); do
    if [ "$(draft "$node" "a-$try" 2>/dev/null | grep -c '^data: piece')" = 20 ]; then break; fi
    kill -0 "$demo" 2>/dev/null || fail "the demo ended"
    [ "$try" != 150 ] || fail "no whole stream through $node"
    sleep 0.2
  done
done

say "a booking is answered with its server's signature"
ask -i "$caller/book/1" -H 'X-Hazelslip-Attempt-Id: b1' -d 'Tuesday 9:00' >"$work/booked"
grep -q '200 OK' "$work/booked" || fail "the booking was not answered"
grep -qi 'X-Hazelslip-Upstream-Signature: signed' "$work/booked" || fail "the booking has no signature"

say "an unknown key is refused"
status=$(curl -sS -o /dev/null -w '%{http_code}' -H 'Host: demo.example' -H 'Api-Key: guess' -H 'X-Hazelslip-Attempt-Id: c1' "$caller/book/1" -d 'x')
[ "$status" = 401 ] || fail "an unknown key got $status"

say "a request that ends each server is refused, at every node, and can be lifted"
harm() {
  ask -o /dev/null -w '%{http_code}' "$1/draft/1" -H "X-Hazelslip-Attempt-Id: $2" -H 'X-Hazelslip-Model-Id: small' \
    -H 'X-Hazelslip-Token-Usage: 900,100' -d 'ends-server' 2>/dev/null || true
}
suspect() { curl -fsS "$operator/state" | tr -d ' \n' | grep -o '"Fingerprint":"[0-9a-f]*","Refused":true' | cut -d'"' -f4; }
for try in $(seq 60); do
  harm "$caller" "h-$try" >/dev/null
  [ -z "$(suspect)" ] || break
  [ "$try" != 60 ] || fail "a request that ends servers is not refused"
  sleep 0.2
done
sleep 0.5
status=$(harm "$second" h-second)
[ "$status" = 503 ] || fail "the other node answered $status to a request that ends servers"
curl -fsS -X DELETE "$operator/quarantine/$(suspect)" || fail "the suspicion can't be lifted"
[ -z "$(suspect)" ] || fail "the suspicion was not lifted"

say "metrics and state tell of them"
# The answer is read whole before it is searched: grep -q leaves at the first match, and curl then fails to write the rest.
vars=$(curl -fsS "$operator/debug/vars")
grep -q '"Answered"' <<<"$vars" || fail "the metrics know no answered request"
state=$(curl -fsS "$operator/state")
grep -Eq '"Group": ?"g' <<<"$state" || fail "the state has no groups"

say "the demo stops when it is told to"
kill -TERM "$demo"
wait "$demo" || fail "the demo did not stop cleanly"
say "passed"
