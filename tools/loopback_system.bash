# To be sourced. Starts a stand-in platform, three stand-in groups and $daemons daemons (default: 3) on loopback, and
# stops them when the shell exits. $1 is the build folder.
bin=${1:-build}
# All ports are offsets from one base, so that several checkouts can run at the same time.
base=${CITRONFALL_PORT_BASE:-17000}
work=$(mktemp -d)
pids=()
stop() {
    for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
    wait 2>/dev/null || true
    rm -rf "$work"
}
trap stop EXIT

start() { "$@" >"$work/$(basename "$1")-${#pids[@]}.log" 2>&1 & pids+=($!); }

platform=127.0.0.1:$base
entry() { echo "127.0.0.1:$((base + 80 + $1))"; }
peer() { echo "127.0.0.1:$((base + 90 + $1))"; }
member() { echo "127.0.0.1:$((base + 100 + $1))"; }

start "$bin/standin_platform" --address "$platform" --admin "127.0.0.1:$((base + 1))"
for g in 1 2 3; do
    start "$bin/standin_group" --admin "$(member $((20 * (g - 1))))" --member "ledger-$g-a=$(member $((3 * g - 2)))" \
        --member "ledger-$g-b=$(member $((3 * g - 1)))" --member "ledger-$g-c=$(member $((3 * g)))"
done
sleep 0.3
sed "s/127.0.0.1:710\([1-9]\)/127.0.0.1:$((base / 10 + 10))\1/" examples/kapot.json >"$work/document.json"
"$bin/citronfallctl" --platform "$platform" apply "$work/document.json"
for n in $(seq "${daemons:-3}"); do
    cat >"$work/entry-$n.json" <<SETTINGS
{ "daemon": { "name": "entry-$n", "region": "guj-west", "data_center": "ahmedabad" },
  "listen": { "address": "$(entry $n)" }, "platform": { "address": "$platform" },
  "peer": { "address": "$(peer $n)", "seeds": [ "$(peer 1)", "$(peer 2)", "$(peer 3)" ] } }
SETTINGS
    start "$bin/citronfalld" "$work/entry-$n.json"
done
for n in $(seq "${daemons:-3}"); do
    for _ in $(seq 50); do
        "$bin/citronfallctl" --daemon "$(entry $n)" health >/dev/null 2>&1 && break
        sleep 0.1
    done
done
sleep 0.5
