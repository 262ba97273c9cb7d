#!/usr/bin/env bash
# Three entry VMs of one failure domain: the same booking through each, then failover after the shard's owner is killed,
# paused and stopped gracefully.
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

owner_of() { # owner_of SHARD: the owner as reported by the first live member that answers
    local it
    for it in "${!pid[@]}"; do
        "$cli" members --server "${admin_of[$it]}" 2>/dev/null | awk -v s="$1" '$0 ~ s && $2 == "yes" { print $1 }' && return
    done
}
has_owner() { [ -n "$(owner_of shard-1)" ]; }
members_except() { # members_except NAME: the live members except NAME
    for it in "${!pid[@]}"; do [ "$it" = "$1" ] || echo "$it"; done
}

# Each booking is sent through every member: it must run once, and all answers must be equal.
eventually has_owner
# A member that does not know the owner of the key's shard yet answers not_run. Nothing was sent: retry as callers do.
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

# A member that is not the owner forwards operators' requests.
owner=$(owner_of shard-1)
other=$(members_except "$owner" | head -n 1)
export QUETZALROCK_SERVER=${admin_of[$other]}
"$cli" service create coop/slots --command serve --tasks 3 || fail "the request was not forwarded to the owner"
running() { [ "$("$cli" service show coop/slots --json | grep -o '"phase":"running"' | wc -l)" -eq 3 ]; }
eventually running

# The owner is killed: another member takes over, running tasks continue, and no task is started twice.
kill -KILL "${pid[$owner]}"
unset "pid[$owner]"
taken_over() { [ "$("$cli" status --json | sed -E 's/.*"epoch":([0-9]+).*/\1/')" -ge 2 ]; }
eventually taken_over
eventually running
"$cli" job create coop/after --command "run 1" --tasks 2 || fail "cannot create a job after the takeover"
finished() { "$cli" job show coop/after --json | grep -q '"phase":"succeeded"'; }
eventually finished

# The new owner is paused until another member has taken over, then resumed: it must detect that it is fenced and
# release the shard.
paused=$(owner_of shard-1)
third=$(members_except "$paused" | head -n 1)
export QUETZALROCK_SERVER=${admin_of[$third]}
kill -STOP "${pid[$paused]}"
taken_over_again() { [ "$("$cli" status --json | sed -E 's/.*"epoch":([0-9]+).*/\1/')" -ge 3 ]; }
eventually taken_over_again
kill -CONT "${pid[$paused]}"
released() { grep -q 'shard-1 released' "$work/$paused.log"; }
eventually released
eventually running
"$cli" service cancel coop/slots || fail "cannot cancel after two takeovers"

# A member stops gracefully: its shards are handed over, and the last member serves all requests.
kill -TERM "${pid[$third]}"
wait "${pid[$third]}"
expect "exit code of the stopped member" 0 $?
unset "pid[$third]"
export QUETZALROCK_SERVER=${admin_of[$paused]}
eventually "$cli" status
answers_booking() { [ "$(book k1 "$paused")" = "k1 /bookings urea" ]; }
eventually answers_booking

expect "highest number of concurrent runs of a task" 1 "$(counter highest_concurrency)"
expect "highest start count of an attempt" 1 "$(counter highest_start_count)"
kill -TERM "${pid[$paused]}"
wait "${pid[$paused]}"
kill -TERM "$standin"
wait "$standin"
grep -q 'bookings 8, highest count of one 1' "$work/standin.log" || fail "a booking was lost or ran twice"
echo "failover: ok"
