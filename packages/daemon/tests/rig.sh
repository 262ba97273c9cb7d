# Helpers of the end-to-end tests: start the platform stand-in and daemons, and wait for conditions.
# usage: source rig.sh BUILD_DIR
build="$1/packages"
work="$(mktemp -d)"
pids=()
cli="$build/cli/quetzalrock"
peer_key=k1:0123456789abcdef0123

cleanup() {
    for it in "${pids[@]}"; do kill -CONT "$it" 2>/dev/null; kill "$it" 2>/dev/null; done
    wait 2>/dev/null
    rm -rf "$work"
}
trap cleanup EXIT

fail() {
    echo "FAILED: $*"
    tail -n 20 "$work"/*.log
    exit 1
}

# Retries a command every 0.1 s until it succeeds; fails the test after 300 attempts.
eventually() {
    for _ in $(seq 300); do
        "$@" >/dev/null 2>&1 && return 0
        sleep 0.1
    done
    fail "timed out waiting for: $*"
}

expect() { # expect WHAT EXPECTED ACTUAL
    [ "$2" = "$3" ] || fail "$1: expected '$2', got '$3'"
}

start_standin() { # start_standin OPTIONS...: sets standin (pid) and platform (address)
    "$build"/standin/quetzalrock-standin --listen 127.0.0.1:0 "$@" >"$work/standin.log" 2>&1 &
    standin=$!
    pids+=("$standin")
    eventually grep -q 'serving on port' "$work/standin.log"
    platform=127.0.0.1:$(sed -n 's/serving on port //p' "$work/standin.log")
}

set_fault() { # set_fault JSON
    curl -s -X POST -d "$1" "http://$platform/faults" >/dev/null
}

counter() { # counter NAME: prints a counter of the stand-in
    curl -s "http://$platform/counters" | sed -E "s/.*\"$1\":([0-9]+).*/\1/"
}

make_token() { # sets QUETZALROCK_TOKEN and token_hash
    local token
    token=$("$cli" token --json)
    token_hash=$(sed -E 's/.*"hash":"([^"]*)".*/\1/' <<<"$token")
    QUETZALROCK_TOKEN=$(sed -E 's/.*"token":"([^"]*)".*/\1/' <<<"$token")
    export QUETZALROCK_TOKEN
}

free_port() {
    local port
    while true; do
        port=$((20000 + RANDOM % 10000))
        (exec 3<>"/dev/tcp/127.0.0.1/$port") 2>/dev/null || break
    done
    echo "$port"
}

write_settings() { # write_settings NAME DOMAIN [SHARD]: writes the INI file of one entry VM
    cat >"$work/$1.ini" <<INI
[process]
name = $1
failure_domain = $2
drain_notice_ms = 200
[listen]
requests = 127.0.0.1:0
admin = 127.0.0.1:0
[peers]
listen = 127.0.0.1:$(free_port)
keys = $peer_key
settle_ms = ${settle_ms:-1000}
[platform]
kind = http
address = $platform
[scheduler]
shard = ${3:-1}
[account.operator]
role = operate
token_hashes = $token_hash
[class.lookup]
tenant = coop
path_prefix = /slots
methods = GET
idempotent = true
deadline_ms = 5000
[class.booking]
tenant = coop
path_prefix = /bookings
methods = POST
deadline_ms = 8000
INI
}

start_daemon() { # start_daemon NAME: sets daemon (pid), requests and admin (URLs)
    # The log of a former process of this name is emptied here: the background command opens its log later than the
    # loop below first reads it, now and then.
    : >"$work/$1.log"
    "$build"/daemon/quetzalrockd --config "$work/$1.ini" >>"$work/$1.log" 2>&1 &
    daemon=$!
    pids+=("$daemon")
    eventually grep -q 'serves callers' "$work/$1.log"
    requests=http://127.0.0.1:$(sed -nE 's/.*callers on port ([0-9]+).*/\1/p' "$work/$1.log")
    admin=http://127.0.0.1:$(sed -nE 's/.*administration on port ([0-9]+).*/\1/p' "$work/$1.log")
}
