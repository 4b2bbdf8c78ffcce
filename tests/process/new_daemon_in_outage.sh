#!/usr/bin/env bash
# Guards against a daemon that cannot run jobs because it was started during an
# outage of the store: it owns no units and must run jobs on borrowed ones.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 24800 heredia:4
restart_workers_with_record 4
start_daemon vm-1 heredia 24810 "$store_port" 24821 24831
start_daemon vm-2 heredia 24820 "$store_port" 24811 24831
wait_ready 24810 24820
wait_members 2 vm-1 vm-2 || failures=1

run_overload 12 24810 24820 >"$run_dir/load.txt" &
load=$!
sleep 1
store_control '{"down": true}'
start_daemon vm-3 heredia 24830 "$store_port" 24811 24821
wait_ready 24830 || failures=1
run_overload 3 24830 >"$run_dir/new.txt"
expect_match "jobs of the new daemon complete" "$run_dir/new.txt" 'complete [1-9]'
expect "starts by the new daemon" "$(grep -c ' vm-3-' "$run_dir/starts")" -gt 0
wait "$load"
expect_slot_limits
finish
