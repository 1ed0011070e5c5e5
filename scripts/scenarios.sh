#!/usr/bin/env bash
# Runs overload scenarios of a deployment: naive clients straight at the upstreams,
# then the same load through the nodes, with the same seed.
#   scripts/scenarios.sh [SCENARIO...]   DEMO=tallapoosa|exchange  SEED=n  OUT=folder
. "$(dirname "$0")/lib.sh"
deployment=${DEMO:-tallapoosa}
seed=${SEED:-1}
out=${OUT:-$root/out}
mkdir -p "$out"
trap stop_all EXIT
[ $# -gt 0 ] || set -- surge slow greedy skew fail internal

for scenario in "$@"; do
  # Overload needs contracts beyond the capacity; fairness needs them inside it.
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
