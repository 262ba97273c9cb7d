#!/usr/bin/env bash
# Two failure domains share one settings tree: propagation of a change, conflicting changes, a platform outage, and a
# restart during the outage.
# usage: domains.sh BUILD_DIR
set -u
. "$(dirname "$0")/rig.sh" "$1"
settle_ms=0

start_standin --domain muuga --domain paldiski --workers 2
make_token
write_settings m1 muuga 1
start_daemon m1
muuga=$daemon muuga_admin=$admin
write_settings p1 paldiski 2
start_daemon p1
paldiski=$daemon paldiski_admin=$admin
export QUETZALROCK_SERVER=$muuga_admin

# A change made in one failure domain takes effect in both.
eventually "$cli" settings set root note first
in_force_twice() { [ "$("$cli" settings in-force --json | grep -o '"state":"in_force"' | wc -l)" -eq 2 ]; }
eventually in_force_twice
note_of() { "$cli" settings explain "domain local/paldiski" --server "$1" | awk '$1 == "note" { print $2, $3 }'; }
expect "note in the other failure domain" "first root" "$(note_of "$paldiski_admin")"

# Of two concurrent changes the second is rejected with a conflict that lists the first; the first is kept.
"$cli" settings set "domain local/paldiski" note mine --base 1 --server "$paldiski_admin" >/dev/null || fail "the first of two concurrent changes was rejected"
conflict=$("$cli" settings set root note yours --base 1 2>&1)
expect "exit code of the second operator" 5 $?
grep -q 'mine' <<<"$conflict" || fail "the conflict does not say what changed: $conflict"
has_mine() { [ "$(note_of "$muuga_admin")" = "mine domain" ]; }
eventually has_mine

# While the key-value service is down, a change is rejected as not run and the current settings stay in effect.
set_fault '{"down":true}'
"$cli" settings set root note never 2>/dev/null
expect "exit code of a change during an outage" 3 $?
expect "note during the outage" "mine domain" "$(note_of "$paldiski_admin")"

# The only member of a failure domain is killed and restarted during the outage. It cannot load any settings, so it must
# not report ready.
kill -KILL "$paldiski"
wait "$paldiski" 2>/dev/null
start_daemon p1
paldiski=$daemon paldiski_admin=$admin
expect "ready without settings" 503 "$(curl -s -o /dev/null -w '%{http_code}' "$admin/readyz")"
set_fault '{"down":false}'
eventually curl -sf "$paldiski_admin/readyz"
expect "note after the restart" "mine domain" "$(note_of "$paldiski_admin")"
eventually in_force_twice

# Each failure domain schedules work on its own workers only.
works() { "$cli" job create coop/here --command "run 1" --tasks 4 --server "$1"; }
eventually works "$muuga_admin"
eventually works "$paldiski_admin"
for it in "$muuga_admin" "$paldiski_admin"; do
    finished() { "$cli" job show coop/here --json --server "$it" | grep -q '"phase":"succeeded"'; }
    eventually finished
done
"$cli" workers --server "$paldiski_admin" | grep -q muuga && fail "a failure domain sees another's workers"
kill -TERM "$muuga" "$paldiski"
wait "$muuga" "$paldiski"
expect "highest start count of an attempt" 1 "$(counter highest_start_count)"
echo "domains: ok"
