#!/usr/bin/env bash
# Measures resident memory, CPU time and open sockets of leaf and entry processes in one data centre on loopback.
#
# usage: scripts/measure-processes.sh LEAVES ENTRIES SHARDS RATE [SECONDS] [EXTRA_SEARCHERS]
#
# Serves one service of SHARDS shards with one searcher each. The first entry receives RATE searches per second, each of
# all shards. EXTRA_SEARCHERS are listed in the document but not started, so their loopback addresses refuse
# connections. They are in another data centre without a leaf, so the leaves take them over, as after the loss of a data
# centre.
#
# Requires `cargo build --release -p pimentoflow -p pimento-standin -p local-deployment --bins --examples`. Uses ports
# from PORT (default 20000) upwards. Ends only the processes that it started, by process id.
set -euo pipefail

leaves=$1 entries=$2 shards=$3 rate=$4 seconds=${5:-10} extra=${6:-0}
port=${PORT:-20000}
bin=${BIN:-target/release}
dir=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  rm -rf "$dir"
}
trap finish EXIT

mkdir -p "$dir/doc/parts" "$dir/values"
python3 - "$dir" "$leaves" "$entries" "$shards" "$port" "$extra" <<'PY'
import json, sys
dir, (leaves, entries, shards, port, extra) = sys.argv[1], map(int, sys.argv[2:])
policy = """policy:
  deadline: 2s
  max_deadline: 5s
  min_coverage: 50%
  hedge_budget: 2%
  retry_budget: 3%
  routine_share: 10%
  submissions: false
  objectives: {latency: 300ms, latency_ratio: 99%, coverage_ratio: 99.9%, extra_load: 5%}
"""
space = 1 << 32
searchers = []
def part(name, count, centre, first):
    text = [f"index: {name}\n{policy}services:\n  - name: {name}\n    shards:\n"]
    for n in range(count):
        start, end = space * n // count, space * (n + 1) // count
        if centre == "dc-a":
            address = f"127.0.0.1:{first + n}"
            searchers.append((f"{name}-{n}", address, f"{name}-s{n}", start, end))
        else:
            at = first + n
            address = f"127.{100 + (at >> 16)}.{(at >> 8) & 255}.{at & 255}:7000"
        text.append(f"      - name: {name}-s{n}\n        range: {{start: {start}, end: {end}}}\n        replicas:\n"
                    f"          - {{searcher: {name}-{n}, address: '{address}', data_centre: {centre}, slots: 3, "
                    "connections: 30, connect_cost: 6ms}\n")
    open(f"{dir}/doc/parts/{name}.yaml", "w").write("".join(text))
names = ["ix"]
part("ix", shards, "dc-a", port + 1000)
for n in range((extra + 3999) // 4000):
    names.append(f"far{n:02}")
    part(names[-1], min(4000, extra - 4000 * n), "dc-z", 4000 * n)
root = "schema: 1\nrevision: 1\nclaims:\n  tolerated_views: 4\n  remote_reserve: 4\nparts:\n"
open(f"{dir}/doc/root.yaml", "w").write(root + "".join(f"  - name: {n}\n    sha256: {'0' * 64}\n" for n in sorted(names)))
open(f"{dir}/searchers", "w").writelines(f"{n} {a} {s} {b}-{e} 3 30 6\n" for n, a, s, b, e in searchers)
listed, nth = [], 0
for role, count in (("leaf", leaves), ("entry", entries)):
    for n in range(count):
        peers, admin, callers = (port + 10 + 3 * nth + k for k in range(3))
        nth += 1
        name = f"{role}-{n}"
        listen = f"  peers: 127.0.0.1:{peers}\n  admin: 127.0.0.1:{admin}\n"
        if role == "entry":
            listen += f"  callers: 127.0.0.1:{callers}\n"
        open(f"{dir}/{name}.yaml", "w").write(
            f"role: {role}\ninstance: {name}\ndata_centre: dc-a\nlisten:\n{listen}platform: 127.0.0.1:{port}\n"
            + (f"seeds:\n  - instance: leaf-0\n    address: 127.0.0.1:{port + 10}\n" if nth > 1 else ""))
        listed.append(dict(id=name, role=role, data_centre="dc-a", address=f"127.0.0.1:{peers}", state="live"))
for n, a, *_ in searchers:
    listed.append(dict(id=n, role="searcher", data_centre="dc-a", address=a, state="live"))
json.dump({"instances": listed}, open(f"{dir}/instances.json", "w"))
PY
"$bin/pimento-check" seal "$dir/doc" >"$dir/seal.log" 2>&1 || { cat "$dir/seal.log"; exit 1; }
cp "$dir/doc/root.yaml" "$dir/values/root"
for part in "$dir"/doc/parts/*.yaml; do
  cp "$part" "$dir/values/part-$(sha256sum "$part" | cut -d' ' -f1)"
done

start() {
  "$@" >"$dir/$((${#pids[@]})).log" 2>&1 &
  pids+=($!)
}
start "$bin/pimento-standin" platform --listen "127.0.0.1:$port" --values "$dir/values" --instances "$dir/instances.json"
start "$bin/pimento-standin" searchers --list "$dir/searchers" --service-ms 1
for ((n = 0; n < leaves; n++)); do start "$bin/pimento-leaf" --settings "$dir/leaf-$n.yaml"; done
for ((n = 0; n < entries; n++)); do start "$bin/pimento-entry" --settings "$dir/entry-$n.yaml"; done
first_entry=$((port + 10 + 3 * leaves))
for ((n = 0; n < 300; n++)); do
  code=$(curl -s -o /dev/null -w '%{http_code}' "http://127.0.0.1:$((first_entry + 1))/ready" || true)
  [ "$code" = 200 ] && break
  sleep 0.1
done
[ "$code" = 200 ] || { echo "entry-0 is not ready"; tail -n 3 "$dir"/*.log; exit 1; }
sleep "${SETTLE:-8}"
for ((n = 0; n < ${#pids[@]}; n++)); do
  kill -0 "${pids[n]}" 2>/dev/null || { echo "process $n ended:"; tail -n 3 "$dir/$n.log"; exit 1; }
done

for at in "leaf-0 $((port + 11))" "entry-0 $((first_entry + 1))"; do
  echo "${at% *}: metrics of $(curl -s "http://127.0.0.1:${at#* }/metrics" | wc -c) bytes"
done
python3 - "$rate" "$seconds" "$first_entry" "$bin" "$leaves" "$entries" "$shards" "$extra" "${pids[@]}" <<'PY'
import os, subprocess, sys, time
rate, seconds, entry = map(int, sys.argv[1:4])
bin, (leaves, entries, shards, extra), pids = sys.argv[4], map(int, sys.argv[5:9]), sys.argv[9:]
groups = {"leaf": pids[2:2 + leaves], "entry-0": pids[2 + leaves:3 + leaves], "entry-other": pids[3 + leaves:]}
tick = os.sysconf("SC_CLK_TCK")
def sample(pid):
    fields = open(f"/proc/{pid}/stat").read().rsplit(")", 1)[1].split()
    status = dict(line.split(":", 1) for line in open(f"/proc/{pid}/status"))
    fds = [os.readlink(f"/proc/{pid}/fd/{fd}") for fd in os.listdir(f"/proc/{pid}/fd")]
    return (int(fields[11]) + int(fields[12])) / tick, int(status["VmRSS"].split()[0]), sum("socket" in f for f in fds)
def measure(phase, action):
    before, began = {pid: sample(pid) for pid in pids}, time.time()
    action()
    took = time.time() - began
    for name, members in groups.items():
        if not members:
            continue
        after = [sample(pid) for pid in members]
        cpu = sum(a[0] - before[p][0] for a, p in zip(after, members)) / took / len(members)
        rss = sum(a[1] for a in after) / len(after) / 1024
        sockets = sum(a[2] for a in after) / len(after)
        print(f"leaves={leaves} entries={entries} shards={shards} extra={extra} {phase} {name}: "
              f"cpu={100 * cpu:.2f}% rss={rss:.1f}MiB sockets={sockets:.0f}", flush=True)
measure("idle", lambda: time.sleep(seconds))
def load():
    # This script starts the load generator; no program of the project does.
    print(subprocess.run([f"{bin}/examples/fixed-load", f"127.0.0.1:{entry + 2}", "ix", str(rate), str(seconds)],
                         capture_output=True, text=True).stdout.strip(), flush=True)
if rate:
    measure(f"rate={rate}", load)
PY
