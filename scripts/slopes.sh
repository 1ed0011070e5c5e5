#!/usr/bin/env bash
# Measures what control costs idle nodes and their leader, by the number of nodes in one
# failure domain: processor, memory, and platform calls. No upstreams, no load.
#   scripts/slopes.sh [NODES...]
. "$(dirname "$0")/lib.sh"
trap stop_all EXIT
[ $# -gt 0 ] || set -- 10 30 60
length=15

node_settings() {
  local base=$((26010 + $1 * 5))
  cat <<TOML
[node]
name = "n-$1"
domain = "d"
service = "service-$(($1 % 7))"
[listen]
public = "127.0.0.1:$base"
egress = "127.0.0.1:$((base + 1))"
peer = "127.0.0.1:$((base + 2))"
ops = "127.0.0.1:$((base + 3))"
[upstream]
address = "127.0.0.1:$((base + 4))"
[platform]
url = "$WAGTAILYOKE_PLATFORM"
[fleet]
secret = "$WAGTAILYOKE_SECRET"
TOML
}

look() { # the processor time in ticks and the resident KB of each node
  for i in $(seq "$nodes"); do
    p=$(pid_of "n-$i.toml")
    echo "n-$i $(awk '{print $14+$15}' "/proc/$p/stat") $(awk '/VmRSS/{print $2}' "/proc/$p/status")"
  done | sort
}

for nodes in "$@"; do
  write_fleet tallapoosa 1 26000
  start_all "$dir/platform.cmd"
  for i in $(seq "$nodes"); do
    node_settings "$i" >"$dir/n-$i.toml"
    echo "$bin/wagtailyoke node --config $dir/n-$i.toml"
  done >"$dir/many.cmd"
  start_all "$dir/many.cmd"
  sed -i 's/^domains = .*/domains = ["d"]/' "$dir/fleet.toml"
  configure >/dev/null
  sleep 5
  leader=$("$bin/wagtailyoke" status | sed -n 's/.*leader //p')
  before=$(curl -s "$WAGTAILYOKE_PLATFORM/calls")
  look >"$dir/a"
  sleep $length
  look >"$dir/b"
  echo "$nodes nodes, leader $leader; platform calls in $length s: $before -> $(curl -s "$WAGTAILYOKE_PLATFORM/calls")"
  join "$dir/a" "$dir/b" | awk -v l="$leader" -v s=$length '
    $1 == l {printf "  leader: %.2f %% of a core, %.1f MB\n", ($4-$2)/s, $5/1024}
    $1 != l {c += ($4-$2)/s; m += $5/1024; k++}
    END {printf "  other nodes: %.2f %% of a core, %.1f MB on average\n", c/k, m/k}'
  stop_all
done
