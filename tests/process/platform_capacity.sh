#!/usr/bin/env bash
# Guards against starts beyond a capacity that has shrunk while the store is
# unavailable, so that only the workers' reports show it, also after another
# daemon has taken over with outdated records. Once the workers have grown again,
# all jobs must complete, still without the store.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib.sh
source scripts/platform_lib.sh

workers=9
start_fake_platform 26700 $workers
ports=(26800 26810 26820)
names=(heredia-1 cartago-1 sanjose-1)
endpoints=()
for i in "${!names[@]}"; do
  write_entry_settings "${names[$i]}" "${names[$i]%-*}" "${ports[$i]}" "${ports[@]}"
  start_entry "${names[$i]}"
  endpoints+=("127.0.0.1:${ports[$i]}")
done
wait_entries_ready "${ports[@]}" || exit 1

# set_capacities MILLI_CORES: shrinks or grows all workers.
set_capacities() {
  local worker
  for ((worker = 0; worker < workers; worker++)); do
    platform_control "{\"worker\":$worker,\"milli_cores\":$1}" >/dev/null
  done
}

platform_control '{"store":"silent"}' >/dev/null
set_capacities 9000
# A smaller capacity counts 4.5 s after the change.
sleep 4.6
platform_load --rate 12 --duration 6 "${endpoints[@]}" >"$run_dir/load.txt" &
load=$!
pids+=($load)
sleep 3
scheduler=$(scheduler_name "${names[@]}")
expect "schedulers found" "$(wc -w <<<"$scheduler")" = 1
kill -9 "$(pid_of "$scheduler")"
wait $load
line=$(cat "$run_dir/load.txt")
echo "$line"
expect "jobs completed on shrunk workers" "$(load_count "$line" completed)" -ge 20
expect_no_violations

start_entry "$scheduler"
set_capacities 16000
wait_entries_ready "${ports[@]}"
line=$(platform_load --rate 10 --duration 3 --seed 2 "${endpoints[@]}")
echo "$line"
expect "jobs completed on grown workers" "$(load_count "$line" completed)" = "$(load_count "$line" sent)"
expect_no_violations
finish
