#!/usr/bin/env bash
# Proves the whole path with processes that share nothing but sockets: the
# stand-ins, four nodes, callers with curl, operators with the command line.
# Ends only the processes that it started. Fails with the first thing that is
# not as it should be.
set -euo pipefail
cd "$(dirname "$0")/.."

base=${BASE_PORT:-31000}
program=bin/hazelslip
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap cleanup EXIT

say() { echo "whole path: $*"; }
fail() { say "FAILED: $*"; exit 1; }
# until_true runs a command until it succeeds, for at most a minute.
until_true() {
  for _ in $(seq 300); do
    if "$@" >/dev/null 2>&1; then return 0; fi
    sleep 0.2
  done
  fail "$* did not come true"
}

$program standin --base-port "$base" --write-settings "$work" >"$work/standin.out" 2>&1 &
pids+=($!)
until_true test -s "$work/lakes-b-entry-2.toml"
for name in lakes-a-entry-1 lakes-a-entry-2 lakes-b-entry-1 lakes-b-entry-2; do
  $program check-settings "$work/$name.toml" >/dev/null
  $program node --settings "$work/$name.toml" >"$work/$name.out" 2>&1 &
  pids+=($!)
done
caller_a="http://127.0.0.1:$((base + 10))"
caller_b="http://127.0.0.1:$((base + 16))"
export HAZELSLIP_NODE="http://127.0.0.1:$((base + 11))"
operator_b="http://127.0.0.1:$((base + 17))"
until_true curl -fsS "$caller_a/readyz"
until_true curl -fsS "$caller_b/readyz"

say "an operator states a class; it is in force at the other data centre"
$program class set urgent --model drafting --first-token-ms 800 --between-tokens-ms 50 --in-target-share 0.99 --guaranteed-share 0.3
until_true $program class show urgent --node "$operator_b"
if $program class set urgent --priority 3 --base-revision 0 >/dev/null 2>&1; then fail "a stale change was accepted"; fi

say "groups form and a draft streams through each data centre"
serving() { $program groups --node "$1" | awk '$5 == "true"' | grep -q drafting; }
until_true serving "$HAZELSLIP_NODE"
until_true serving "$operator_b"
draft='{"messages":[{"role":"user","content":"Draft the visit report."}],"stream":true,"max_tokens":30}'
for caller in "$caller_a" "$caller_b"; do
  curl -fsSN "$caller/v1/chat/completions" -H 'Hazelslip-Class: urgent' -d "$draft" >"$work/draft"
  test "$(grep -c '"content"' "$work/draft")" = 30 || fail "a draft has not 30 tokens"
  tail -n 2 "$work/draft" | grep -q '\[DONE\]' || fail "a draft has no end"
done

say "a booking runs once, wherever it is sent again"
for caller in "$caller_a" "$caller_b" "$caller_a"; do
  curl -fsS -X POST "$caller/services/scheduling/slots" -H 'Idempotency-Key: visit-1' -d 'Tuesday' >>"$work/booked"
done
test "$(sort -u "$work/booked" | wc -l)" = 1 || fail "a booking had different answers"
# Output is read whole before it is searched: grep -q leaves at the first match, and its writer then fails.
booked=$($program booking show scheduling visit-1)
grep -q '"Outcome": "Run"' <<<"$booked" || fail "the key is not known"

say "a node is told to stop while a draft runs through it; nothing is cut off"
long='{"messages":[{"role":"user","content":"A long report."}],"stream":true,"max_tokens":600}'
curl -fsSN "$caller_a/v1/chat/completions" -H 'Hazelslip-Class: urgent' -d "$long" >"$work/long" &
curl_pid=$!
sleep 0.5
kill -TERM "${pids[1]}"
wait "$curl_pid" || fail "the draft was cut off"
test "$(grep -c '"content"' "$work/long")" = 600 || fail "the draft lost tokens"
wait "${pids[1]}" || fail "the node did not stop cleanly"
models=$(curl -fsS "$caller_b/v1/models")
grep -q drafting <<<"$models" || fail "the others do not serve"

say "passed"
