#!/usr/bin/env bash
# Guards against tasks that a daemon starts on expired loans: a daemon is paused
# under load for 5 s and for 9 s and resumes with tasks waiting. Such starts
# would exceed a worker's slots.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

# The hash of the names assigns two of the four workers to vm-4 and one to each
# of the others.
start_platform 24400 heredia:4
restart_workers_with_record 4
start_daemon vm-2 heredia 24410 "$store_port" 24421 24431
start_daemon vm-3 heredia 24420 "$store_port" 24411 24431
start_daemon vm-4 heredia 24430 "$store_port" 24411 24421
wait_ready 24410 24420 24430
wait_members 3 vm-2 vm-3 vm-4 || failures=1

# The daemon borrows units from the others before it is paused. The lenders
# reclaim the units 7.5 s after the last renewal (2 s loan plus 5.5 s longest task
# lease), so a pause of 9 s ends when the others already use the units, and a
# pause of 5 s ends before the lenders reclaim them.
for pause in 5 9; do
  run_overload $((pause + 4)) 24410 >"$run_dir/one.txt" &
  loads=($!)
  sleep 2
  expect "starts by the daemon before a pause of $pause s" "$(tail -n 200 "$run_dir/starts" | grep -c ' vm-2-')" -ge 100
  kill -STOP "$(pid_of vm-2)"
  run_overload $((pause + 2)) 24420 24430 >"$run_dir/others.txt" &
  loads+=($!)
  sleep "$pause"
  [ "$pause" = 5 ] ||
    expect "starts by the others at the end of the pause" "$(tail -n 50 "$run_dir/starts" | grep -cv ' vm-2-')" = 50
  kill -CONT "$(pid_of vm-2)"
  wait "${loads[@]}"
  expect_match "jobs of the others complete" "$run_dir/others.txt" 'complete [1-9]'
  expect_slot_limits
done
finish
