#!/usr/bin/env bash
# Checks that two builds understand each other, for changes that must not alter any interface: documents and settings,
# entries and leaves in one deployment, gateways in one deployment, log lines and metrics pages.
#
# usage: scripts/mixed-builds.sh OLD_BIN NEW_BIN
#   OLD_BIN, NEW_BIN  folders with all programs of a build, as `cargo build --workspace --bins` makes them
# SEEDS (default "1 203 621") are the seeds of the soak, SECONDS_EACH (default 8) its seconds with faults.
set -euo pipefail
old=$(realpath "$1")
new=$(realpath "$2")
cd "$(dirname "$0")/.."
seeds=${SEEDS:-1 203 621}
seconds=${SECONDS_EACH:-8}
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
fail() {
    echo "mixed-builds: $*" >&2
    exit 1
}

# A document that one build seals is byte for byte the one that the other build seals, and is valid for it. The settings
# are valid for both.
for sample in samples/demo samples/fraser samples/abay; do
    name=$(basename "$sample")
    for build in old new; do
        cp -r "$sample" "$work/$name-$build"
        "${!build}/pimento-check" seal "$work/$name-$build" --revision 7 >/dev/null
    done
    diff -r "$work/$name-old" "$work/$name-new" >/dev/null || fail "$name: the builds seal different documents"
    for pair in "old new" "new old"; do
        read -r writer reader <<<"$pair"
        "${!reader}/pimento-check" validate "$work/$name-$writer" >/dev/null || fail "$name: $writer by $reader"
        "${!reader}/pimento-check" diff "$sample" "$work/$name-$writer" >"$work/$name-$reader.diff" || true
    done
    cmp "$work/$name-old.diff" "$work/$name-new.diff" || fail "$name: the builds show different changes"
done
for settings in samples/settings/*.yaml; do
    for build in old new; do "${!build}/pimento-check" settings "$settings" >/dev/null || fail "$settings: $build"; done
done
echo "mixed-builds: documents and settings: same for both builds"

# Entries and leaves: each build alone, then half of the processes of each.
for pair in "old old" "new new" "old new" "new old"; do
    read -r first second <<<"$pair"
    mkdir -p "$work/processes-$first-$second"
    BIN=${!first} OTHER_BIN=${!second} KEEP=$work/processes-$first-$second LOG_LEVEL=debug bash scripts/processes.sh \
        >"$work/out" 2>&1 || fail "processes of $first and $second: $(tail -n 20 "$work/out")"
    echo "mixed-builds: processes, $first and $second: $(grep searches "$work/out" | cut -d: -f2-)"
done

# Gateways: the same. The soak starts a program without its path, so a script chooses the build by the settings file.
gateway() {
    cat >"$work/gateway-$1-$2" <<EOF
#!/usr/bin/env bash
case "\$*" in *[13579].json*) bin=${!1} ;; *) bin=${!2} ;; esac
settings=\$(grep -o '[^ ]*\.json' <<<"\$*" | head -n 1)
exec "\$bin/pimento-gateway" "\$@" >>"$work/gateways-$1-$2/\$(basename "\$settings" .json).log" 2>&1
EOF
    chmod +x "$work/gateway-$1-$2"
}
# Keeps the metrics pages of the gateways while a soak runs.
poll_metrics() {
    while true; do
        for settings in "$work"/soak/*/*.json; do
            address=$(sed -n 's/.*"Readiness": *"\([^"]*\)".*/\1/p' "$settings" 2>/dev/null | head -n 1) || true
            if [ -n "$address" ]; then
                curl -s --max-time 1 "http://$address/metrics" >>"$1/$(basename "$settings" .json).metrics" || true
            fi
        done
        sleep 1
    done
}
for pair in "old old" "new new" "old new"; do
    read -r first second <<<"$pair"
    kept=$work/gateways-$first-$second
    mkdir -p "$kept"
    gateway "$first" "$second"
    poll_metrics "$kept" 2>/dev/null &
    poller=$!
    for seed in $seeds; do
        "$new/gateway-soak" --program "$work/gateway-$first-$second" --logs "$work/soak" --gateways 4 --seed "$seed" \
            --seconds "$seconds" >"$work/out" 2>&1 || { kill "$poller"; fail "soak of $first and $second: $(cat "$work/out")"; }
        echo "mixed-builds: gateways, $first and $second: $(cat "$work/out")"
    done
    kill "$poller"
    wait "$poller" 2>/dev/null || true
done

# Names of the log lines with their keys, and of the metrics with their types and labels. A line or a label that comes up
# rarely may be missing from one run, so a name that one build alone showed must be looked for in the source.
python3 - "$work" <<'PY'
import glob, os, re, sys
work = sys.argv[1]
# Labels whose values are names of the code and not of the deployment.
CLOSED = {"class", "outcome", "reason", "cause", "ending", "notice"}
def names(kind, build):
    out = set()
    for path in glob.glob(f"{work}/{kind}-{build}-{build}/*"):
        role = re.sub(r"-.*", "", os.path.basename(path))
        for line in open(path, errors="replace"):
            if path.endswith(".log"):
                event = re.search(r"\bevent=(\S+)", line)
                if not event: continue
                keys = re.findall(r'(?:^|\s)([a-z_]+)=(?:"(?:[^"\\]|\\.)*"|\S*)', line)
                out.update(f"log {role} {event[1]} {key}" for key in keys)
            elif line.startswith("#"):
                out.add(f"metric {role} {' '.join(line.split()[1:3])} {line.split()[3] if line.startswith('# TYPE') else ''}")
            else:
                found = re.match(r"(\w+)(?:\{(.*)\})?", line)
                if not found: continue
                labels = re.findall(r'(\w+)="([^"]*)"', found[2] or "")
                out.add(f"metric {role} {found[1]} {','.join(label for label, _ in labels)}")
                out.update(f"label {role} {found[1]} {label}={value}" for label, value in labels if label in CLOSED)
    return out
for kind in ("processes", "gateways"):
    old, new = names(kind, "old"), names(kind, "new")
    print(f"mixed-builds: {kind}: {len(old & new)} names in both builds, {len(old - new)} in the old one alone, {len(new - old)} in the new one alone")
    for name in sorted(old - new): print(f"  old alone: {name}")
    for name in sorted(new - old): print(f"  new alone: {name}")
PY
echo "mixed-builds: done"
