#!/usr/bin/env bash
# Three entry VMs of one failure domain: one booking through all of them, the owner killed, frozen and replaced.
# usage: failover.sh BUILD_DIR
set -u
. "$(dirname "$0")/rig.sh" "$1"

start_standin --domain muuga --workers 4
make_token
declare -A pid requests_of admin_of
for it in entry-1 entry-2 entry-3; do
    write_settings "$it" muuga
    start_daemon "$it"
    pid[$it]=$daemon
    requests_of[$it]=$requests
    admin_of[$it]=$admin
done

owner_of() { # owner_of SHARD: as the first living member tells
    local it
    for it in "${!pid[@]}"; do
        "$cli" members --server "${admin_of[$it]}" 2>/dev/null | awk -v s="$1" '$0 ~ s && $2 == "yes" { print $1 }' && return
    done
}
has_owner() { [ -n "$(owner_of shard-1)" ]; }
others_than() { # others_than NAME: the living members but that one
    for it in "${!pid[@]}"; do [ "$it" = "$1" ] || echo "$it"; done
}

# One booking through every member: one run, one answer.
eventually has_owner
# A member that has not heard yet who owns the key's shard answers not_run: nothing was sent, so come back, as callers do.
book() { # book KEY MEMBER
    local answer
    for _ in $(seq 100); do
        answer=$(curl -s -X POST -H "Idempotency-Key: $1" -H "Booking-Id: $1" -d "urea" "${requests_of[$2]}/bookings")
        grep -q '"error":"not_run"' <<<"$answer" || break
        sleep 0.1
    done
    echo "$answer"
}
for key in k1 k2 k3 k4 k5 k6 k7 k8; do
    expect "booking $key" "$key /bookings urea" "$(book "$key" entry-1)"
    for it in entry-2 entry-3; do
        expect "booking $key again through $it" "$(book "$key" entry-1)" "$(book "$key" "$it")"
    done
done

# An operator's request through a member that is not the owner.
owner=$(owner_of shard-1)
other=$(others_than "$owner" | head -n 1)
export QUETZALROCK_SERVER=${admin_of[$other]}
"$cli" service create coop/slots --command serve --tasks 3 || fail "not passed on to the owner"
running() { [ "$("$cli" service show coop/slots --json | grep -o '"phase":"running"' | wc -l)" -eq 3 ]; }
eventually running

# The owner is killed: another takes over, what runs goes on, nothing runs twice.
kill -KILL "${pid[$owner]}"
unset "pid[$owner]"
taken_over() { [ "$("$cli" status --json | sed -E 's/.*"epoch":([0-9]+).*/\1/')" -ge 2 ]; }
eventually taken_over
eventually running
"$cli" job create coop/after --command "run 1" --tasks 2 || fail "no work after the takeover"
finished() { "$cli" job show coop/after --json | grep -q '"phase":"succeeded"'; }
eventually finished

# The new owner is frozen for longer than any lease, then wakes: it finds itself fenced and stands down.
frozen=$(owner_of shard-1)
third=$(others_than "$frozen" | head -n 1)
export QUETZALROCK_SERVER=${admin_of[$third]}
kill -STOP "${pid[$frozen]}"
taken_again() { [ "$("$cli" status --json | sed -E 's/.*"epoch":([0-9]+).*/\1/')" -ge 3 ]; }
eventually taken_again
kill -CONT "${pid[$frozen]}"
stood_down() { grep -q 'shard-1 given up' "$work/$frozen.log"; }
eventually stood_down
eventually running
"$cli" service cancel coop/slots || fail "cancel after two takeovers"

# A graceful stop hands everything over; the last one standing serves all.
kill -TERM "${pid[$third]}"
wait "${pid[$third]}"
expect "exit code of the stopped member" 0 $?
unset "pid[$third]"
export QUETZALROCK_SERVER=${admin_of[$frozen]}
eventually "$cli" status
again() { [ "$(book k1 "$frozen")" = "k1 /bookings urea" ]; }
eventually again

expect "tasks that ran in two places at once" 1 "$(counter highest_concurrency)"
expect "attempts that started twice" 1 "$(counter highest_start_count)"
kill -TERM "${pid[$frozen]}"
wait "${pid[$frozen]}"
kill -TERM "$standin"
wait "$standin"
grep -q 'bookings 8, highest count of one 1' "$work/standin.log" || fail "a booking was lost or ran twice"
echo "failover: ok"
