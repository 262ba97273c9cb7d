#!/usr/bin/env bash
# Rolling replacement of every entry VM of a failure domain under load: no request is aborted, no booking is lost or
# run twice.
# usage: rolling.sh BUILD_DIR
set -u
. "$(dirname "$0")/rig.sh" "$1"

start_standin --domain muuga --workers 4 --service-ms 20
make_token
declare -A pid
mkdir "$work/ready" "$work/answers"

# Simulates the load balancer: callers use only ready members; $work/ready holds one file with the URL of each.
admit() { # admit NAME: starts a member and offers it to callers once it is ready
    write_settings "$1" muuga
    start_daemon "$1"
    pid[$1]=$daemon
    local url=$requests
    eventually curl -sf "$url/readyz"
    echo "$url" >"$work/ready/$1"
}
remove_member() { # remove_member NAME: withdraws the member from callers before it drains, then stops it
    rm "$work/ready/$1"
    kill -TERM "${pid[$1]}"
    wait "${pid[$1]}"
    expect "exit code of $1" 0 $?
    unset "pid[$1]"
}

# One caller: sends bookings until $work/stop exists. Retries each booking through any ready member while the answer is
# not_run.
caller() { # caller NUMBER
    local n=0 key file url answer status
    while [ ! -e "$work/stop" ]; do
        n=$((n + 1))
        key="b$1-$n"
        for _ in $(seq 200); do
            file=$(find "$work/ready" -type f | shuf -n 1)
            url=$(cat "$file" 2>/dev/null) || continue # the member was withdrawn after it was listed; nothing was sent
            answer=$(curl -s -w ' %{http_code}' -X POST -H "Idempotency-Key: $key" -H "Booking-Id: $key" -d urea \
                "$url/bookings" 2>/dev/null)
            status=$?
            grep -q '"error":"not_run"' <<<"$answer" || break
            sleep 0.05
        done
        echo "$status $answer" >"$work/answers/$key"
    done
}

for it in a1 a2 a3; do admit "$it"; done
callers=()
for it in 1 2 3 4; do
    caller "$it" &
    callers+=($!)
done
for it in 1 2 3; do
    admit "b$it"
    remove_member "a$it"
done
touch "$work/stop"
for it in "${callers[@]}"; do wait "$it"; done

count=$(find "$work/answers" -type f | wc -l)
for it in "$work"/answers/*; do
    key=$(basename "$it")
    expect "answer of $key" "0 $key /bookings urea 200" "$(cat "$it")"
done
for it in b1 b2 b3; do
    kill -TERM "${pid[$it]}"
    wait "${pid[$it]}"
done
kill -TERM "$standin"
wait "$standin"
grep -q "bookings $count, highest count of one 1" "$work/standin.log" || fail "a booking was lost or ran twice"
echo "rolling: ok ($count bookings)"
