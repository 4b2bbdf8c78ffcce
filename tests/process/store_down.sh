#!/usr/bin/env bash
# Guards against failures while the roster cannot change: the store is down for
# 10 s and one daemon is killed meanwhile. The other daemons must continue to run
# jobs within the workers' slots, and must remove the lost VM from their roster
# once the store is back.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

# The hash of the names assigns two of the four workers to vm-4 and one to each
# of the others.
start_platform 24600 heredia:4
restart_workers_with_record 4
set_vm_states live vm-2 vm-3 vm-4
start_daemon vm-2 heredia 24610 "$store_port" 24621 24631
start_daemon vm-3 heredia 24620 "$store_port" 24611 24631
start_daemon vm-4 heredia 24630 "$store_port" 24611 24621
wait_ready 24610 24620 24630
wait_members 3 vm-2 vm-3 vm-4 || failures=1

run_overload 14 24610 24620 >"$run_dir/load.txt" &
load=$!
sleep 2
store_control '{"down": true}'
sleep 2
kill -9 "$(pid_of vm-4)"
sleep 4
before=$(worker_stat starts)
sleep 4
expect "task starts within 4 s of the outage" "$(($(worker_stat starts) - before))" -ge 100
store_control '{"down": false}'
set_vm_states absent vm-4
wait "$load"
expect_match "jobs complete" "$run_dir/load.txt" 'complete [1-9]'
wait_members 2 vm-2 vm-3 || failures=1
expect_slot_limits
finish
