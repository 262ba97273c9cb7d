#!/usr/bin/env bash
# Measures the cost of the control plane in the process of one entry VM that owns a failure domain of 50 workers: first
# idle, then with 1,141 running tasks.
# usage: bench/node.sh BUILD_DIR [SECONDS]
# Prints processor time and memory from the metrics of the process, and calls and bytes from the counters of the
# platform stand-in.
set -eu
. "$(dirname "$0")/../packages/daemon/tests/rig.sh" "$1"
seconds="${2:-20}"
settle_ms=0
start_standin --domain muuga --workers 50 --upstreams 2
make_token
write_settings entry muuga
start_daemon entry
export QUETZALROCK_SERVER=$admin
eventually "$cli" status

metric() { curl -s "$admin/metrics" | awk -v m="$1" '$1 == m { print $2 }'; }
sample() { # prints processor seconds, reads, writes, bytes written, worker calls, worker bytes
    echo "$(metric qr_process_cpu_seconds) $(counter reads) $(counter writes) $(counter bytes_written)" \
        "$(counter worker_calls) $(counter worker_bytes)"
}
measure() { # measure LABEL: prints the mean rates over the next $seconds
    local before after
    before=$(sample)
    sleep "$seconds"
    after=$(sample)
    awk -v l="$1" -v s="$seconds" -v m="$(metric qr_process_resident_bytes)" -v before="$before" -v after="$after" 'BEGIN {
        split(before, b); split(after, a)
        printf "%s: %.2f%% of a core, %.1f MB resident\n", l, 100 * (a[1] - b[1]) / s, m / 1e6
        printf "  key-value service: %.2f reads/s, %.2f writes/s, %.0f bytes/s written\n",
               (a[2] - b[2]) / s, (a[3] - b[3]) / s, (a[4] - b[4]) / s
        printf "  workers: %.1f calls/s, %.1f KB/s without headers\n", (a[5] - b[5]) / s, (a[6] - b[6]) / s / 1000 }'
}
measure "idle, 0 tasks"
"$cli" service create coop/slots --command serve --tasks 305 --cpu-millis 100 --memory-mib 64 >/dev/null
for it in 1 2 3 4; do
    "$cli" job create "coop/build-$it" --command "run 100000" --tasks 209 --cpu-millis 100 --memory-mib 64 >/dev/null
done
all_tasks_placed() { [ "$("$cli" status --json | sed -E 's/.*"held_tasks":([0-9]+).*/\1/')" -eq 1141 ]; }
eventually all_tasks_placed
measure "busy, 1,141 tasks running"
