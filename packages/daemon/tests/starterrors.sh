#!/usr/bin/env bash
# A daemon that cannot start says why in one line, which names the address or file, its setting and the system's error,
# and exits with 1; one whose settings are invalid exits with 2. No thread is left behind: the process would not end.
# usage: starterrors.sh BUILD_DIR
set -u
. "$(dirname "$0")/rig.sh" "$1"
settle_ms=0

start_standin --domain muuga --workers 1
taken=$platform # the stand-in listens here
make_token

# Sets KEY of SECTION in a copy of the settings of entry VM m1.
change_setting() { # change_setting SECTION KEY VALUE
    awk -v section="[$1]" -v key="$2" -v value="$3" '
        /^\[/ { inside = $0 == section }
        inside && $1 == key { next }
        { print }
        $0 == section { print key " = " value }' "$work/failing.ini" >"$work/changed.ini"
    mv "$work/changed.ini" "$work/failing.ini"
}

expect_failure() { # expect_failure WHAT EXIT_CODE PATTERN: matches all that the daemon prints, apart from its log
    local printed
    timeout 30 "$build"/daemon/quetzalrockd --config "$work/failing.ini" >"$work/failing.out" 2>&1
    expect "exit code with $1" "$2" $?
    printed=$(grep -vE '^[IWE][0-9]{8} ' "$work/failing.out")
    # shellcheck disable=SC2053
    [[ $printed == $3 && $printed != *$'\n'* ]] || fail "line printed with $1: expected '$3', got '$printed'"
}

write_settings m1 muuga
for it in "listen requests" "listen admin" "peers listen"; do
    cp "$work/m1.ini" "$work/failing.ini"
    read -r section key <<<"$it"
    change_setting "$section" "$key" "$taken"
    expect_failure "a taken port of [$section] $key" 1 "quetzalrockd: \[$section\] $key = $taken: Address already in use"
    change_setting "$section" "$key" 203.0.113.7:8080
    expect_failure "an address of another host as [$section] $key" 1 \
        "quetzalrockd: \[$section\] $key = 203.0.113.7:8080: Cannot assign requested address"
done

cp "$work/m1.ini" "$work/failing.ini"
change_setting listen certificate "$work/missing.pem"
change_setting listen key "$work/missing.key"
expect_failure "a missing certificate" 1 \
    "quetzalrockd: \[listen\] certificate = $work/missing.pem, key = $work/missing.key: cannot open $work/missing.pem: No such file or directory"
change_setting listen certificate "$work/failing.ini"
change_setting listen key "$work/failing.ini"
expect_failure "a certificate that is none" 1 \
    "quetzalrockd: \[listen\] certificate = $work/failing.ini, key = $work/failing.ini: *cannot load SSL certificate: *"
openssl req -x509 -newkey rsa:2048 -nodes -subj /CN=m1 -keyout "$work/m1.key" -out "$work/m1.pem" 2>/dev/null
openssl genrsa -out "$work/other.key" 2048 2>/dev/null
change_setting listen certificate "$work/m1.pem"
change_setting listen key "$work/other.key"
expect_failure "the key of another certificate" 1 \
    "quetzalrockd: \[listen\] certificate = $work/m1.pem, key = $work/other.key: *key values mismatch*"

cp "$work/m1.ini" "$work/failing.ini"
change_setting platform address nowhere
expect_failure "an invalid address of the platform" 2 "$work/failing.ini:$(grep -n "^address = nowhere" "$work/failing.ini" | cut -d: -f1): \[platform\] address = nowhere: allowed: ip:port, such as 127.0.0.1:8080"

# With the platform in the same process, as in examples/local.ini.
cp "$work/m1.ini" "$work/failing.ini"
change_setting platform kind embedded
change_setting listen requests "$taken"
expect_failure "a taken port and the embedded platform" 1 \
    "quetzalrockd: \[listen\] requests = $taken: Address already in use"

# The other kind of settings file, for the users' platform.
cat >"$work/fleet.ini" <<INI
[process]
name = n1
[listen]
requests = 127.0.0.1:0
ready = 127.0.0.1:0
[platform]
kind = fleet
store = $platform
INI
for it in requests ready; do
    cp "$work/fleet.ini" "$work/failing.ini"
    change_setting listen "$it" "$taken"
    expect_failure "a taken port of [listen] $it of a fleet's node" 1 \
        "quetzalrockd: \[listen\] $it = $taken: Address already in use"
done
echo "starterrors: ok"
