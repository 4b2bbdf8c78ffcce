#!/usr/bin/env bash
# Measures the distribution of configuration changes. Usage:
# bench/config_spread.sh [DAEMONS], by default 8, half in each of two data
# centres. Prints for five changes the time from apply until the change is in
# force at the last daemon, the control bytes per second that one daemon sends
# and receives while idle, and the store's calls per minute while idle.
set -uo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
source "$(dirname "$0")/../scripts/config_lib.sh"

daemons=${1:-8}
idle_seconds=10
base=25600

start_platform "$base" heredia:1 sibiu:1
ports=()
for i in $(seq 0 $((daemons - 1))); do
  data_centre=heredia
  [ $((i % 2)) = 1 ] && data_centre=sibiu
  port=$((base + 110 + i * 3))
  start_daemon "vm-$i" "$data_centre" "$port" "$store_port" $((base + 111)) $((base + 114))
  ports+=("$port")
done
wait_ready "${ports[@]}"
sleep 4
for change in 1 2 3 4 5; do
  apply_quota $((900 + change))
  wait_generation $((change + 1)) "${ports[@]}"
  echo "change $change: in force at $daemons daemons after $distribution_ms ms"
done

# metric NAME: prints the value of a metric of the first daemon.
metric() { operator_get $((ports[0] + 2)) /metrics | grep "^$1 " | cut -d' ' -f2 | tr -d '\r'; }

# store_calls: prints the total number of calls to the fake store.
store_calls() {
  local kind sum=0
  for kind in range put txn watch lease_grant lease_keepalive; do
    sum=$((sum + $(store_stat "$kind" || echo 0) + 0))
  done
  echo "$sum"
}

sent=$(metric sequoiapath_control_sent_bytes_total)
received=$(metric sequoiapath_control_received_bytes_total)
calls=$(store_calls)
sleep "$idle_seconds"
echo "control bytes per second of one daemon: $((($(metric sequoiapath_control_sent_bytes_total) - sent) / idle_seconds)) sent, $((($(metric sequoiapath_control_received_bytes_total) - received) / idle_seconds)) received"
echo "store calls per minute: $((($(store_calls) - calls) * 60 / idle_seconds)), open watches: $(open_watches)"
