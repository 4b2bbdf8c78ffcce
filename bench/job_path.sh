#!/usr/bin/env bash
# Compares the complete job path of one daemon with an HTTP handler of the same
# process that runs no job, and prints the daemon's CPU time per request. Usage:
# bench/job_path.sh [SECONDS]
set -euo pipefail
source "$(dirname "$0")/../scripts/lib.sh"
seconds=${1:-5}
start_platform 22000 heredia:50 >/dev/null
start_daemon vm-1 heredia 22010 "$store_port"
wait_ready 22010
ticks_per_second=$(getconf CLK_TCK)

# cpu_ticks: prints the daemon's CPU time so far in clock ticks.
cpu_ticks() { awk '{print $14 + $15}' "/proc/$(pid_of vm-1)/stat"; }

# measure LABEL ARGUMENT...: runs closed_loop_load and prints its result and the
# daemon's CPU time per request.
measure() {
  local label=$1 before after result answered
  shift
  before=$(cpu_ticks)
  result=$("$build/bench/closed_loop_load" --port 22010 --seconds "$seconds" "$@")
  after=$(cpu_ticks)
  answered=$(echo "$result" | grep -o 'answered=[0-9]*' | cut -d= -f2)
  echo "$label: $result cpu_us_per_request=$(((after - before) * 1000000 / ticks_per_second / answered))"
}

measure "bare handler" --get /v1/ready --connections 32
measure "jobs of 1 task" --tasks 1 --connections 32
measure "jobs of 40 tasks" --tasks 40 --connections 8
measure "jobs of 480 tasks" --tasks 480 --connections 2
