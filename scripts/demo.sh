#!/usr/bin/env bash
# Starts a complete deployment as processes on loopback, configures it with the operator
# commands, sends a mixed load, kills a node and the platform under load, and stops
# everything.
#   DEMO=tallapoosa|exchange  SEED=n
. "$(dirname "$0")/lib.sh"
deployment=${DEMO:-tallapoosa}
seed=${SEED:-1}
trap stop_all EXIT

write_fleet "$deployment" 1 21000
say "$deployment: starting the stand-in platform, the nodes and their upstreams"
start_all "$dir/platform.cmd"
start_all "$dir/nodes.cmd"
start_all "$dir/upstreams.cmd"
say "applying the configuration: plan, then confirm"
configure || exit 1
await_ready || exit 1
cat "$dir/status.txt"

say "mixed load at 0.6 of capacity for 8 s, call chains 3 deep through egress (seed $seed)"
"$bin/standin" load --dir "$dir" --scenario mixed --seconds 8 --seed "$seed" --out "$dir/mixed.json" || exit 1

say "latency added by a node, alternating direct calls and calls through the node"
"$bin/standin" load --dir "$dir" --scenario latency --rounds 400 --out "$dir/latency.json" || exit 1

say "the same load for 10 s; a node is killed after 2 s, the platform after 4 s"
"$bin/standin" load --dir "$dir" --scenario mixed --seconds 10 --seed "$seed" --records "$dir/records" >"$dir/faults.txt" &
load=$!
sleep 2
victim=$(pid_of 'node --config.*-1.toml')
kill -KILL "$victim"
sleep 2
kill -KILL "$(pid_of 'standin platform')"
wait $load
cat "$dir/faults.txt"

say "comparing the responses to reservation callers with the upstreams' logs"
"$bin/standin" check --dir "$dir" --records "$dir/records" || exit 1
echo "no upstream received a customer's key"
say "stopping all processes"
