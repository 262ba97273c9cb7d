#!/usr/bin/env bash
# Test of rig.sh: start_daemon reads the ports of the process that it has started, never those of the former one in the
# same log. Each of the restarts gives the race another chance.
# usage: rigtest.sh BUILD_DIR
set -u
. "$(dirname "$0")/rig.sh" "$1"
restarts=300

# Stands for the daemon: its ports are its process id.
build="$work/build"
mkdir -p "$build/daemon"
cat >"$build/daemon/quetzalrockd" <<'DAEMON'
#!/usr/bin/env bash
echo "it serves callers on port $$ and administration on port $$"
DAEMON
chmod +x "$build/daemon/quetzalrockd"

stale=0
for _ in $(seq "$restarts"); do
    start_daemon m1
    [ "$requests $admin" = "http://127.0.0.1:$daemon http://127.0.0.1:$daemon" ] || stale=$((stale + 1))
    wait "$daemon"
    pids=()
done
expect "restarts whose port was the former process's" 0 "$stale"
echo "rigtest: ok"
