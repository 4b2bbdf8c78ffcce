#!/usr/bin/env bash
# Guards against tasks that start twice (guarantee G1 in docs/design.md) when a
# session is opened at one daemon and its job is submitted through two daemons
# in different data centres. All submissions must get the same answer.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 23000 heredia:2 limon:2
start_daemon vm-1 heredia 23010 "$store_port" 23021
start_daemon vm-2 limon 23020 "$store_port" 23011
wait_ready 23010 23020
session=$(sequoiapath session --endpoint 127.0.0.1:23010 --team clerks)
write_job "$run_dir/job.json" post 10 500
for i in 1 2 3 4; do
  sequoiapath submit --endpoint "127.0.0.1:230$((1 + i % 2))0" --session "$session" "$run_dir/job.json" >"$run_dir/answer-$i.json" &
  submissions+=($!)
done
wait "${submissions[@]}"
sequoiapath submit --endpoint 127.0.0.1:23020 --session "$session" "$run_dir/job.json" >"$run_dir/answer-5.json"
expect "starts" "$(worker_stat starts)" = 10
expect "duplicate starts" "$(worker_stat duplicate_starts)" = 0
expect_match "the answer is complete" "$run_dir/answer-1.json" '"outcome":"complete"'
for i in 2 3 4 5; do
  expect "answer $i equals answer 1" "$(md5sum <"$run_dir/answer-$i.json")" = "$(md5sum <"$run_dir/answer-1.json")"
done
write_job "$run_dir/short.json" post 1 3000 '"deadline_ms": 700'
begin=$(date +%s%3N)
sequoiapath submit --endpoint 127.0.0.1:23020 --session "$session" --sequence 2 "$run_dir/short.json" >"$run_dir/late.json"
expect "time until the answer with a deadline of 700 ms (ms)" $(($(date +%s%3N) - begin)) -lt 1500
# At the deadline the timers of the task and of the job may fire in either order,
# so both reasons are allowed.
expect_match "the owner ends the job at the caller's deadline" "$run_dir/late.json" '"reason":"(deadline_exceeded|worker_silent)".*"request_id":"vm-1-.*"verdict":"may_have_run"'
finish
