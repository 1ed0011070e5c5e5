#!/usr/bin/env bash
# Runs overload scenarios against a deployment: first naive clients calling the upstreams
# directly, then the same load with the same seed through the nodes.
#   scripts/scenarios.sh [SCENARIO...]   DEMO=tallapoosa|exchange  SEED=n  OUT=folder
. "$(dirname "$0")/lib.sh"
deployment=${DEMO:-tallapoosa}
seed=${SEED:-1}
out=${OUT:-$root/out}
mkdir -p "$out"
trap stop_all EXIT
[ $# -gt 0 ] || set -- surge slow greedy skew fail internal

for scenario in "$@"; do
  # Overload scenarios need contracted rates above the capacity, fairness scenarios below it.
  case $scenario in greedy | skew) contracts=0.9 ;; *) contracts=4 ;; esac
  write_fleet "$deployment" $contracts 23000
  name=$out/$deployment-$scenario
  if [ -z "${SKIP_DIRECT:-}" ]; then
    start_all "$dir/direct.cmd"
    sleep 1
    "$bin/standin" load --dir "$dir" --mode direct --scenario "$scenario" --seed "$seed" --out "$name-direct.json" || exit 1
    stop_all
  fi
  start_all "$dir/platform.cmd"
  start_all "$dir/nodes.cmd"
  start_all "$dir/upstreams.cmd"
  configure >/dev/null || exit 1
  await_ready || exit 1
  "$bin/standin" load --dir "$dir" --mode nodes --scenario "$scenario" --seed "$seed" --out "$name-nodes.json" || exit 1
  grep '"event":9' "$dir/log.txt"
  stop_all
  "$bin/standin" plot --out "$name.png" $(ls "$name-direct.json" "$name-nodes.json" 2>/dev/null) || exit 1
done
