#!/usr/bin/env bash
# Guards against workers of a lost VM that stay unused or get more tasks than
# they have slots: a daemon is killed and its VM removed from the platform's VM
# list; then the other daemons must use all workers again within 13.5 s.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

# The hash of the names assigns two of the four workers to vm-4 and one to each
# of the others.
start_platform 24200 heredia:4
restart_workers_with_record 4
set_vm_states live vm-2 vm-3 vm-4
start_daemon vm-2 heredia 24210 "$store_port" 24221 24231
start_daemon vm-3 heredia 24220 "$store_port" 24211 24231
start_daemon vm-4 heredia 24230 "$store_port" 24211 24221
wait_ready 24210 24220 24230
wait_members 3 vm-2 vm-3 vm-4 || failures=1

run_overload 24 24210 24220 >"$run_dir/load.txt" &
load=$!
sleep 2
kill -9 "$(pid_of vm-4)"
set_vm_states absent vm-4
removed=$(date +%s%3N)
# The limit of 13.5 s includes 2 s to read the VM list, 2 s loan, 5.5 s longest
# task lease, 2 s to read the list again, and 1 s for the roster and heartbeats.
wait_members 2 vm-2 vm-3 || failures=1
# used_worker_count: prints the number of workers on which the last 100 tasks
# were started.
used_worker_count() { tail -n 100 "$run_dir/starts" | awk '{print $1}' | sort -u | wc -l; }
# all_workers_used: succeeds if these tasks were started on all four workers.
all_workers_used() { [ "$(used_worker_count)" = 4 ]; }
sleep 1
wait_until 15 all_workers_used || failures=1
elapsed=$(($(date +%s%3N) - removed))
expect "ms until all workers are used again" "$elapsed" -le 13500
expect "mean running tasks of the two remaining daemons" "$(mean_running_tasks 2)" -ge 24
wait "$load"

# A restarted process does not know which units its predecessor's tasks still
# use, so it runs tasks on borrowed units until the predecessor's tasks must have
# ended.
run_overload 6 24210 24220 >"$run_dir/load.txt" &
load=$!
sleep 1
kill_and_wait vm-3
start_daemon vm-3 heredia 24220 "$store_port" 24211 24231
wait_ready 24220
run_overload 3 24220 >"$run_dir/restarted.txt"
expect_match "the restarted process detects the restart" "$run_dir/vm-3.log" 'shares_begin restarted=true'
expect_match "jobs of the restarted process complete" "$run_dir/restarted.txt" 'complete [1-9]'
wait "$load"
expect_slot_limits
finish
