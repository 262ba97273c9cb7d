#!/usr/bin/env bash
# End-to-end test with real processes: the platform stand-in, one daemon, the operators' command line, curl as caller.
# usage: e2e.sh BUILD_DIR
set -u
. "$(dirname "$0")/rig.sh" "$1"
settle_ms=0

start_standin --domain muuga --workers 4 --service-ms 400
make_token
write_settings entry muuga
"$build"/daemon/quetzalrockd --config "$work/entry.ini" --check || fail "valid settings were rejected"
printf '[process]\nname =\ncolour = red\n[listen]\nadmin = here\n' >"$work/bad.ini"
faults=$("$build"/daemon/quetzalrockd --config "$work/bad.ini" 2>&1)
expect "exit code of bad settings" 2 $?
expect "number of errors reported at once" 3 "$(wc -l <<<"$faults")"

start_daemon entry
export QUETZALROCK_SERVER=$admin

# Requests: a lookup, a booking, a repeat of the booking, a path without a request class.
eventually curl -sf "$requests/slots/7"
lookup=$(curl -s "$requests/slots/7")
grep -q '/slots/7' <<<"$lookup" || fail "lookup answered '$lookup'"
book() { curl -s -X POST -H 'Idempotency-Key: k1' -H 'Booking-Id: b1' -d 'urea 20 t' "$requests/bookings"; }
booked() { book | grep -q b1; }
eventually booked
first=$(book)
expect "repeated booking" "$first" "$(book)"
expect "different body with the same key" 422 \
    "$(curl -s -o /dev/null -w '%{http_code}' -X POST -H 'Idempotency-Key: k1' -d other "$requests/bookings")"
expect "path without a request class" 404 "$(curl -s -o /dev/null -w '%{http_code}' "$requests/none")"

# Work: a service, a batch job and a standing watch; their placement is shown; cancellation.
eventually "$cli" status
"$cli" service create coop/slots --command serve --tasks 2 || fail "service was not created"
"$cli" job create coop/manifest --command "run 1" --tasks 3 || fail "job was not created"
"$cli" job create coop/manifest --command "run 1" --tasks 3 || fail "creating the same job again was not idempotent"
"$cli" job create coop/manifest --command "run 2" --tasks 3 2>/dev/null
expect "exit code of a different job with the same name" 5 $?
"$cli" watch create coop/tide --command watch || fail "watch was not created"
running() { "$cli" "$1" show "$2" --json | grep -q '"phase":"running"'; }
eventually running service coop/slots
eventually running watch coop/tide
succeeded() { "$cli" job show coop/manifest --json | grep -q '"phase":"succeeded"'; }
eventually succeeded
"$cli" job show coop/manifest | grep -Eq 'done +muuga-w[0-9]+ .*Z +finished' || fail "a finished job does not show its tasks' last attempts"
"$cli" job show coop/manifest --json | grep -q '"last_end":{.*"worker":"muuga-w' || fail "a finished job's JSON lacks its tasks' last attempts"
"$cli" service show coop/slots | grep -q 'muuga-w' || fail "the service's status does not show its workers"
"$cli" workers | grep -q 'muuga-w1' || fail "workers are not shown"
"$cli" service cancel coop/slots || fail "cancel failed"
cancelled() { "$cli" service show coop/slots --json | grep -q '"phase":"cancelled"'; }
eventually cancelled
"$cli" export | grep -q manifest || fail "the exported history does not contain the job"

# Invalid input is rejected.
post() { curl -s -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $1" -X POST -d "$2" "$admin/v1/jobs"; }
expect "malformed JSON" 400 "$(post "$QUETZALROCK_TOKEN" '{')"
expect "unknown field" 400 "$(post "$QUETZALROCK_TOKEN" '{"name":"x","tenant":"t","command":"c","colour":1}')"
expect "wrong token" 401 "$(post wrong '{"name":"x","tenant":"t","command":"c"}')"
head -c 2000000 /dev/zero | tr '\0' x >"$work/large"
expect "oversized body" 413 "$(post "$QUETZALROCK_TOKEN" "@$work/large")"
curl -s "$admin/metrics" | grep -q 'qr_requests_total' || fail "/metrics does not contain qr_requests_total"

# While the key-value service is down, submissions are rejected as not run and lookups are still answered.
set_fault '{"down":true}'
rejected() {
    "$cli" job create coop/late --command "run 1" 2>/dev/null
    [ $? -eq 3 ]
}
eventually rejected
curl -sf "$requests/slots/8" >/dev/null || fail "lookup failed while the key-value service was down"
set_fault '{"down":false}'
eventually "$cli" job create coop/later --command "run 1"
"$cli" job show coop/late 2>/dev/null
expect "exit code of showing the rejected job" 5 $?

# A graceful stop completes the requests in flight.
curl -s -o "$work/answer" -w '%{http_code}' -X POST -H 'Idempotency-Key: k2' -H 'Booking-Id: b2' -d x \
    "$requests/bookings" >"$work/status" &
curl_pid=$!
in_progress() { curl -s "$admin/metrics" | grep -Eq 'qr_front_in_work [1-9]'; }
eventually in_progress
kill -TERM "$daemon"
wait "$curl_pid"
expect "request in flight at the stop" 200 "$(cat "$work/status")"
wait "$daemon"
expect "exit code of the stopped daemon" 0 $?
kill -TERM "$standin"
wait "$standin"
grep -q 'bookings 2, highest count of one 1' "$work/standin.log" || fail "a booking was lost or ran twice"
echo "end to end: ok"
