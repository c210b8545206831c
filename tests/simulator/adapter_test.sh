#!/bin/sh
# Runs the adapter as a process: checks its replies to a valid transcript, and its errors for malformed lines.
host=$1
transcripts=$2
out=$("$host" <"$transcripts/plain.in") || { echo "valid input: exit $?"; exit 1; }
ends=$(printf '%s\n' "$out" | grep -c '"event_type":"End"')
[ "$ends" = 2 ] || { echo "expected 2 replies, got $ends"; exit 1; }
printf '%s\n' "$out" | grep -q '"Backend":"one","Corr":7,"I":0' || { echo "request 7 was not sent"; exit 1; }

expect_error() {
  out=$(printf '%s\n' "$1" | "$host" 2>&1 >/dev/null) && { echo "no error for: $1"; exit 1; }
  [ "$out" = "postspread_simulator_adapter: $2" ] || { echo "got: $out"; exit 1; }
}
expect_error '{"event_type":' 'line 1: not valid JSON'
expect_error '{"event_type":"EofBatch"}' 'line 1: a line outside a batch'
expect_error '{"event_type":"Batch","Ts":1}
{"event_type":"Nonsense","I":0}' 'line 2: unknown event_type "Nonsense"'
expect_error '{"event_type":"Batch","Ts":1}
{"event_type":"Wakeup","I":4,"Cookie":"1"}' 'line 2: an event for an instance that was not started'
out=$(printf '{"event_type":"Batch","Ts":1}\n{"event_type":' | "$host" 2>/dev/null)
[ -z "$out" ] || { echo "partial output: $out"; exit 1; }
exit 0
