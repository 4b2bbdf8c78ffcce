#!/usr/bin/env bash
# Guards loans and ownership against a daemon that is paused for 5 s under load and
# wakes with tasks waiting: it starts nothing on lapsed loans.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 24400 heredia:4
record_starts 4
start_daemon vm-1 heredia 24410 "$store_port" 24421 24431
start_daemon vm-2 heredia 24420 "$store_port" 24411 24431
start_daemon vm-3 heredia 24430 "$store_port" 24411 24421
wait_ready 24410 24420 24430
wait_members 3 vm-1 vm-2 vm-3 || failures=1

# The daemon borrows from the others before it is paused.
heavy_load 14 24410 >"$run_dir/one.txt" &
loads=($!)
sleep 2
kill -STOP "$(pid_of vm-1)"
heavy_load 10 24420 24430 >"$run_dir/others.txt" &
loads+=($!)
sleep 5
kill -CONT "$(pid_of vm-1)"
wait "${loads[@]}"
expect "starts by the paused daemon" "$(grep -c ' vm-1-' "$run_dir/starts")" -gt 0
expect_answer "jobs of the others complete" "$run_dir/others.txt" 'complete [1-9]'
expect_limits
finish
