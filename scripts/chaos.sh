#!/usr/bin/env bash
# Runs a deployment as real processes while nodes are killed, frozen and stopped and the
# platform is unavailable, then compares the upstreams' logs with the responses that the
# callers of reservations received.
#   DEMO=tallapoosa|exchange  SEED=n  SECONDS_OF_LOAD=n
. "$(dirname "$0")/lib.sh"
deployment=${DEMO:-tallapoosa}
seed=${SEED:-1}
length=${SECONDS_OF_LOAD:-90}
RANDOM=$seed
trap stop_all EXIT

write_fleet "$deployment" 1 22000
start_all "$dir/platform.cmd"
start_all "$dir/nodes.cmd"
start_all "$dir/upstreams.cmd"
configure || exit 1
await_ready || exit 1
mapfile -t nodes <"$dir/nodes.cmd"

say "$deployment, seed $seed: load for $length s; about every 4 s a node is killed and restarted, frozen, or stopped gracefully; the platform is down from 15 s to 75 s"
"$bin/standin" load --dir "$dir" --scenario mixed --rate 0.4 --seconds "$length" --seed "$seed" --records "$dir/records" &
load=$!
began=$SECONDS
down=0
while kill -0 $load 2>/dev/null; do
  passed=$((SECONDS - began))
  if [ $down = 0 ] && [ $passed -ge 15 ]; then down=1; curl -s -X POST "$WAGTAILYOKE_PLATFORM/fault?mode=down"; say "platform down"; fi
  if [ $down = 1 ] && [ $passed -ge 75 ]; then down=2; curl -s -X POST "$WAGTAILYOKE_PLATFORM/fault?mode=ok"; say "platform up"; fi
  [ $passed -ge $((length - 6)) ] && { wait $load; break; }
  line=${nodes[$((RANDOM % ${#nodes[@]}))]}
  victim=$(pid_of "${line##*/}")
  [ -n "$victim" ] || { sleep 1; continue; }
  case $((RANDOM % 3)) in
    0) say "kill ${line##*/}"; kill -KILL "$victim" ;;
    1) say "freeze ${line##*/}"; kill -STOP "$victim"; sleep $((1 + RANDOM % 5)); kill -CONT "$victim" ;;
    2) say "stop ${line##*/}"; kill -TERM "$victim"; sleep 2 ;;
  esac
  sleep 2
  if ! kill -0 "$victim" 2>/dev/null; then
    # shellcheck disable=SC2086
    $line >>"$dir/log.txt" 2>&1 &
    pids+=($!)
  fi
  sleep 2
done
say "comparing the callers' records with the upstreams' logs"
"$bin/standin" check --dir "$dir" --records "$dir/records" || exit 1
violations=$(grep -c '"event":9' "$dir/log.txt")
echo "invariants broken: $violations"
[ "$violations" = 0 ]
