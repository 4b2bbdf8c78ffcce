#!/usr/bin/env bash
# Guards against three daemons under overload that together start more tasks on a
# worker than it has slots, and against a daemon with all of the load that does
# not get the idle units of the others.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

# The hash of the names assigns two of the four workers to vm-4 and one to each
# of the others.
start_platform 24000 heredia:4
restart_workers_with_record 4
start_daemon vm-2 heredia 24010 "$store_port" 24021 24031
start_daemon vm-3 heredia 24020 "$store_port" 24011 24031
start_daemon vm-4 heredia 24030 "$store_port" 24011 24021
wait_ready 24010 24020 24030
wait_members 3 vm-2 vm-3 vm-4 || failures=1

run_overload 5 24010 24020 24030 >"$run_dir/even.txt"
expect_match "jobs complete under even load" "$run_dir/even.txt" 'complete [1-9][0-9]* failed 0 '
expect_slot_limits
for port in 24010 24020 24030; do
  run_overload 5 "$port" >"$run_dir/skewed.txt" &
  load=$!
  sleep 2
  # The workers have 32 slots; without borrowing a daemon would use about a third
  # of them, 10.7.
  expect "mean of running tasks with all load on port $port" "$(mean_running_tasks 2)" -ge 24
  wait "$load"
  expect_match "jobs complete under skewed load" "$run_dir/skewed.txt" 'complete [1-9][0-9]* failed 0 '
done
expect_slot_limits

# A planned stop transfers the daemon's workers to the other daemons.
run_overload 6 24010 24020 >"$run_dir/stop.txt" &
load=$!
sleep 1
kill -TERM "$(pid_of vm-4)"
stopped=$(date +%s%3N)
wait "$(pid_of vm-4)"
expect "exit code of the stopped daemon" $? = 0
expect "time until the daemon had stopped (ms)" "$(($(date +%s%3N) - stopped))" -le 4000
sleep 1
expect "mean of running tasks after the stop" "$(mean_running_tasks 2)" -ge 24
wait "$load"
expect_match "jobs complete during the stop" "$run_dir/stop.txt" 'complete [1-9][0-9]* failed 0 '
expect_slot_limits
finish
