# Functions that start and stop a deployment on loopback, to be sourced by a script.
# They stop only processes that they started, by process ID.
set -u
root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
bin=$root/bin
pids=()

say() { printf '== %s\n' "$*"; }

# start_all FILE: starts each line of FILE as a background process.
start_all() {
  while read -r line; do
    # shellcheck disable=SC2086
    $line >>"$dir/log.txt" 2>&1 &
    pids+=($!)
  done <"$1"
}

# pid_of PATTERN: prints the ID of the first process started here whose command line
# matches PATTERN.
pid_of() {
  for p in "${pids[@]}"; do
    [ -r "/proc/$p/cmdline" ] || continue
    if tr '\0' ' ' <"/proc/$p/cmdline" 2>/dev/null | grep -q -e "$1"; then echo "$p"; return; fi
  done
}

stop_all() {
  for p in "${pids[@]}"; do kill -TERM "$p" 2>/dev/null; done
  for _ in $(seq 40); do
    alive=0
    for p in "${pids[@]}"; do kill -0 "$p" 2>/dev/null && alive=1; done
    [ $alive = 0 ] && break
    sleep 0.1
  done
  for p in "${pids[@]}"; do kill -KILL "$p" 2>/dev/null; done
  wait 2>/dev/null
  pids=()
}

# write_fleet DEPLOYMENT CONTRACTS BASE: writes the deployment's settings to a temporary
# folder. CONTRACTS is the sum of contracted rates in units of the capacity, BASE the
# first port.
write_fleet() {
  dir=$(mktemp -d)
  "$bin/standin" fleet --deployment "$1" --dir "$dir" --contracts "$2" --base "$3" --bin "$bin" || exit 1
  WAGTAILYOKE_PLATFORM=http://127.0.0.1:$3
  WAGTAILYOKE_SECRET=demo-secret-of-the-fleet
  export WAGTAILYOKE_PLATFORM WAGTAILYOKE_SECRET
}

# configure: plans and confirms the configuration in the deployment's folder.
configure() {
  for _ in $(seq 50); do "$bin/wagtailyoke" status >/dev/null 2>&1 && break; sleep 0.1; done
  "$bin/wagtailyoke" --json apply "$dir/fleet.toml" >"$dir/plan.json" || return 1
  plan=$(sed -n 's/^  "id": "\(.*\)",$/\1/p' "$dir/plan.json")
  "$bin/wagtailyoke" confirm "$plan"
}

# await_ready: waits until all nodes are ready and each domain has a leader.
await_ready() {
  want=$(wc -l <"$dir/nodes.cmd")
  for _ in $(seq 100); do
    "$bin/wagtailyoke" status >"$dir/status.txt" 2>&1
    awk -v want="$want" '/nodes ready/ { ready += $2; if ($NF == "none") bad = 1 }
      END { exit bad || ready != want }' "$dir/status.txt" && return 0
    sleep 0.2
  done
  cat "$dir/status.txt"
  return 1
}
