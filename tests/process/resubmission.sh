#!/usr/bin/env bash
# Guards against tasks that start twice (guarantee G1 in docs/design.md) when a
# job is submitted three times concurrently and once more after its end. All
# submissions must get the same answer.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 21000 heredia:2
start_daemon vm-1 heredia 21010 "$store_port"
wait_ready 21010
session=$(sequoiapath session --endpoint 127.0.0.1:21010 --team clerks)
write_job "$run_dir/job.json" post 10 500
for i in 1 2 3; do
  sequoiapath submit --endpoint 127.0.0.1:21010 --session "$session" "$run_dir/job.json" >"$run_dir/answer-$i.json" &
  submissions+=($!)
done
wait "${submissions[@]}"
sequoiapath submit --endpoint 127.0.0.1:21010 --session "$session" "$run_dir/job.json" >"$run_dir/answer-4.json"

expect "starts" "$(worker_stat starts)" = 10
expect "duplicate starts" "$(worker_stat duplicate_starts)" = 0
expect_match "the answer is complete" "$run_dir/answer-1.json" '"outcome":"complete"'
for i in 2 3 4; do
  expect "answer $i equals answer 1" "$(md5sum <"$run_dir/answer-$i.json")" = "$(md5sum <"$run_dir/answer-1.json")"
done
finish
