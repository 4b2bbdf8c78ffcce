#!/usr/bin/env bash
# Measures the cost of control traffic for idle daemons: CPU time, memory and
# bytes.
# Usage: bench/control_cost.sh [DAEMONS_PER_DATA_CENTRE [DATA_CENTRES [SECONDS [WORKERS [TEAMS]]]]]
# WORKERS is the number of workers in each data centre.
# The byte count covers all traffic of the loopback interface, so no other
# process may use it meanwhile.
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
per_data_centre=${1:-8}
data_centres=${2:-2}
seconds=${3:-15}
workers=${4:-16}
team_count=${5:-1}

specs=()
for d in $(seq "$data_centres"); do specs+=("dc-$d:$workers"); done
store_port=26000
worker_port=26100
start store "$build/packages/fakes/fake_store" --port $store_port
write_document "$run_dir/document.toml" "${specs[@]}"
wait_until 5 sequoiapath apply --store 127.0.0.1:$store_port "$run_dir/document.toml" >/dev/null 2>&1

first_port=30000
ports=()
names=()
for d in $(seq "$data_centres"); do
  for v in $(seq "$per_data_centre"); do
    port=$((first_port + ((d - 1) * per_data_centre + v) * 4))
    start_daemon "vm-$d-$v" "dc-$d" $port $store_port $((first_port + 5))
    ports+=($port)
    names+=("vm-$d-$v")
  done
done
wait_ready "${ports[@]}"
sleep 8 # Wait until membership, rosters and shares are stable.

# loopback_bytes: prints the bytes sent on the loopback interface so far.
loopback_bytes() { awk '/lo:/ {print $10}' /proc/net/dev; }
# cpu_ticks: prints the CPU time of all daemons in clock ticks.
cpu_ticks() {
  for name in "${names[@]}"; do awk '{print $14 + $15}' "/proc/$(pid_of "$name")/stat"; done | awk '{sum += $1} END {print sum}'
}
bytes_before=$(loopback_bytes)
ticks_before=$(cpu_ticks)
sleep "$seconds"
bytes=$(($(loopback_bytes) - bytes_before))
used=$(($(cpu_ticks) - ticks_before))
daemons=$((per_data_centre * data_centres))
rss=$(for name in "${names[@]}"; do awk '/VmRSS/ {print $2}' "/proc/$(pid_of "$name")/status"; done | sort -n | tail -n 1)
# Each byte on the loopback interface is sent by one process and received by
# another, so it counts twice.
echo "daemons=$daemons data_centres=$data_centres workers=$((workers * data_centres)) teams=$team_count" \
  "bytes_sent_and_received_per_daemon_s=$((2 * bytes / seconds / daemons))" \
  "cpu_percent_per_daemon=$(awk -v used="$used" -v hz="$(getconf CLK_TCK)" -v s="$seconds" -v n="$daemons" 'BEGIN {printf "%.3f", 100 * used / hz / s / n}')" \
  "largest_rss_kb=$rss"
