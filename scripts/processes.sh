#!/usr/bin/env bash
# Tests a deployment of separate processes on loopback: platform, backend servers, four leaves and two entries.
# Searches, submits, kills one leaf between searches, stops another one as planned, changes the configuration, and then
# stops all entries and leaves as planned. The system assigns the ports. Exits 0 if no answer was lost and every planned
# stop ended cleanly.
#
# BIN        folder of the programs (default target/debug)
# OTHER_BIN  folder of another build that runs half of the leaves and entries (default BIN)
# KEEP       folder that keeps the logs and the metrics pages of the leaves and entries
# LOG_LEVEL  log level of the leaves and entries (default info)
set -euo pipefail
cd "$(dirname "$0")/.."

BIN=${BIN:-target/debug}
OTHER_BIN=${OTHER_BIN:-$BIN}
KEEP=${KEEP:-}
LOG_LEVEL=${LOG_LEVEL:-info}
SEARCHES=${SEARCHES:-120}
# Number of polls, 0.1 s apart, until a condition must hold. The limit only ends a run that hangs.
ROUNDS=1200

work=$(mktemp -d)
declare -A pids=()

cleanup() {
    for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null || true; done
    if [ -n "$KEEP" ]; then cp "$work"/leaf-*.log "$work"/entry-*.log "$work"/*.metrics "$KEEP" || true; fi
    rm -rf "$work"
}
trap cleanup EXIT

fail() {
    echo "processes: $*" >&2
    for log in "$work"/*.log; do echo "--- $log"; tail -n 5 "$log"; done >&2
    exit 1
}

# Waits until the command in $2 and the following arguments succeeds. $1 names the condition for the error message.
until_true() {
    local what=$1
    shift
    for ((round = 0; round < ROUNDS; round++)); do
        if "$@"; then return 0; fi
        sleep 0.1
    done
    fail "$what did not come true"
}

# Prints the value of the field $2 from the first line of log $1 that has the field.
field() { sed -n "s/.*[ ]$2=\"\{0,1\}\([0-9.:]*\)\"\{0,1\}.*/\1/p" "$work/$1.log" | head -n 1; }
has_field() { [ -n "$(field "$1" "$2")" ]; }

start() {
    local name=$1
    shift
    "$@" >"$work/$name.log" 2>&1 &
    pids[$name]=$!
}

# Backend servers, as listed in the demo document.
part=samples/demo/parts/gala.yaml
awk '
    /- name: .*-s[0-9]/ { shard = $3 }
    /range:/ { gsub(/[{},]/, ""); range = $3 "-" $5 }
    /- searcher:/ { name = $3 }
    /connect_cost:/ { sub(/ms/, "", $2); print name, "127.0.0.1:0", shard, range, 3, 30, $2 }
' "$part" >"$work/searchers.txt"
start searchers "$BIN/pimento-standin" searchers --list "$work/searchers.txt"
count=$(wc -l <"$work/searchers.txt")
listening() { [ "$(grep -c address= "$work/searchers.log")" -eq "$count" ]; }
until_true "backend servers" listening

# Document with the addresses that the system assigned.
mkdir -p "$work/document/parts" "$work/values"
cp samples/demo/root.yaml "$work/document/"
awk -v log_file="$work/searchers.log" '
    BEGIN {
        while ((getline line < log_file) > 0) {
            name = line; sub(/.*name=/, "", name); sub(/ .*/, "", name)
            address = line; sub(/.*address=/, "", address); sub(/ .*/, "", address)
            found[name] = address
        }
    }
    /- searcher:/ { name = $3 }
    /address:/ { sub(/address: .*/, "address: " found[name]) }
    { print }
' "$part" >"$work/document/parts/gala.yaml"
"$BIN/pimento-check" seal "$work/document" >/dev/null
"$BIN/pimento-check" validate "$work/document" >/dev/null
digest=$(sha256sum "$work/document/parts/gala.yaml" | cut -d' ' -f1)
cp "$work/document/parts/gala.yaml" "$work/values/part-$digest"
cp "$work/document/root.yaml" "$work/values/root"

echo '{"instances": []}' >"$work/instances.json"
start platform "$BIN/pimento-standin" platform --listen 127.0.0.1:0 --values "$work/values" --instances "$work/instances.json"
until_true "platform" has_field platform address
platform=$(field platform address)

# Leaves and entries.
program() {
    local role=$1 name=$2 centre=$3
    {
        echo "role: $role"
        echo "instance: $name"
        echo "data_centre: $centre"
        echo "listen:"
        if [ "$role" = entry ]; then echo "  callers: 127.0.0.1:0"; fi
        echo "  peers: 127.0.0.1:0"
        echo "  admin: 127.0.0.1:0"
        echo "platform: $platform"
        echo "log_level: $LOG_LEVEL"
    } >"$work/$name.yaml"
    local bin=$BIN
    case $name in leaf-a2 | leaf-c1 | entry-b1) bin=$OTHER_BIN ;; esac
    "$bin/pimento-check" settings "$work/$name.yaml" >/dev/null
    start "$name" "$bin/pimento-$role" --settings "$work/$name.yaml"
    until_true "$name" has_field "$name" peers
}
program leaf leaf-a1 dc-a
program leaf leaf-a2 dc-a
program leaf leaf-b1 dc-b
program leaf leaf-c1 dc-c
program entry entry-a1 dc-a
program entry entry-b1 dc-b

list() {
    local comma=""
    echo '{"instances": ['
    for name in "${!pids[@]}"; do
        case $name in leaf-* | entry-*) ;; *) continue ;; esac
        local centre=${name#*-}
        echo "$comma{\"id\": \"$name\", \"role\": \"${name%%-*}\", \"data_centre\": \"dc-${centre%%[0-9]*}\","
        echo "\"address\": \"$(field "$name" peers)\", \"state\": \"live\"}"
        comma=,
    done
    echo ']}'
}
list >"$work/next.json"
mv "$work/next.json" "$work/instances.json"

callers=$(field entry-a1 callers)
query='{"index": "gala", "query": "gym", "min_coverage": 0.0, "deadline_ms": 5000}'
search() { curl -s -o "$work/answer.json" -w '%{http_code}' "http://$1/v1/search" -d "$query"; }
complete() { [ "$(search "$callers")" = 200 ]; }
until_true "a complete answer" complete
echo "processes: complete answer: $(cut -c1-160 "$work/answer.json")"

# Submission: the first request returns a ticket, the second one uses it.
entry='{"service": "gala", "key": 7, "body": "entry 7", "deadline_ms": 5000}'
submit() { curl -s -o "$work/submission.json" -w '%{http_code}' "http://$(field "$1" callers)/v1/submit" -d "$2"; }
# A leaf that is still starting answers not_run, so the request is repeated.
has_ticket() { [ "$(submit entry-a1 "$entry")" = 428 ]; }
until_true "a ticket" has_ticket
ticket=$(sed 's/.*"ticket":"\([^"]*\)".*/\1/' "$work/submission.json")
# An entry without a session to the leaf of the ticket answers outcome_unknown, so the request with the ticket is
# repeated.
executed() { [ "$(submit entry-b1 "${entry%\}}, \"ticket\": \"$ticket\"}")" = 200 ]; }
until_true "the submission" executed
grep -q '"outcome":"executed"' "$work/submission.json" || fail "submission: $(cat "$work/submission.json")"

# Stops a process as planned. It must exit with 0.
stop() {
    curl -s "http://$(field "$1" admin)/metrics" >"$work/$1.metrics"
    kill -TERM "${pids[$1]}"
    local code=0
    wait "${pids[$1]}" || code=$?
    unset "pids[$1]"
    [ "$code" -eq 0 ] || fail "$1 exited with $code after SIGTERM"
}

# Kills a leaf after a third of the searches, and stops another one as planned after two thirds.
statuses=""
for ((ix = 0; ix < SEARCHES; ix++)); do
    if [ "$ix" -eq $((SEARCHES / 3)) ]; then
        kill -KILL "${pids[leaf-a1]}"
        wait "${pids[leaf-a1]}" 2>/dev/null || true
        unset 'pids[leaf-a1]'
    fi
    if [ "$ix" -eq $((SEARCHES * 2 / 3)) ]; then stop leaf-b1; fi
    status=$(search "$callers") || fail "search $ix was cut"
    statuses="$statuses $status"
    case $status in 200 | 206) ;; *) fail "search $ix: status $status, $(cat "$work/answer.json")" ;; esac
done
echo "processes: $SEARCHES searches with a killed and a stopped leaf:" \
    "$(tr ' ' '\n' <<<"$statuses" | sort | uniq -c | tr -s ' \n' ' ')"
until_true "a complete answer after the loss" complete

# A change of the configuration takes effect in both entries.
"$OTHER_BIN/pimento-check" seal "$work/document" --revision 2 >/dev/null
cp "$work/document/root.yaml" "$work/next-root"
mv "$work/next-root" "$work/values/root"
for name in entry-a1 entry-b1; do
    in_effect() { curl -s "http://$(field "$name" callers)/v1/config" | grep -q '"revision":2,'; }
    until_true "revision 2 in $name" in_effect
done
until_true "a complete answer of revision 2" complete
grep -q '"revision":2,' "$work/answer.json" || fail "an answer of an old revision: $(cat "$work/answer.json")"

# Planned stops.
for name in entry-a1 entry-b1 leaf-a2 leaf-c1; do stop "$name"; done
echo "processes: all planned stops exited 0"
echo "processes: 1 passed, 0 failed"
