#!/usr/bin/env bash
# Guards against tasks that start twice (guarantees G1 and G5 in docs/design.md)
# when the owner of a session is killed during a job: the other daemon and the
# restarted owner must answer the job as may_have_run and must not start it
# again.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 23200 heredia:2 limon:2
start_daemon vm-1 heredia 23210 "$store_port" 23221
start_daemon vm-2 limon 23220 "$store_port" 23211
wait_ready 23210 23220
session=$(sequoiapath session --endpoint 127.0.0.1:23210 --team clerks)
write_job "$run_dir/job.json" post 8 1500 '"deadline_ms": 4000'
sequoiapath submit --endpoint 127.0.0.1:23220 --session "$session" "$run_dir/job.json" >"$run_dir/first.json" &
submission=$!
wait_until 5 eval '[ "$(worker_stat starts)" = 8 ]'
kill -9 "$(pid_of vm-1)"
wait "$submission"
expect_match "the submission in flight" "$run_dir/first.json" '"reason":"owner_unreachable".*"retry":"same_sequence".*"verdict":"may_have_run"'
sequoiapath submit --endpoint 127.0.0.1:23220 --session "$session" "$run_dir/job.json" >"$run_dir/second.json"
expect_match "the submission while the owner is down" "$run_dir/second.json" '"reason":"owner_unreachable".*"retry":"same_sequence".*"verdict":"may_have_run"'
start_daemon vm-1 heredia 23210 "$store_port" 23221
wait_ready 23210
for port in 23220 23210; do
  sequoiapath submit --endpoint 127.0.0.1:$port --session "$session" "$run_dir/job.json" >"$run_dir/third.json"
  expect_match "the submission after the restart through port $port" "$run_dir/third.json" '"reason":"owner_lost".*"retry":"new_session".*"verdict":"may_have_run"'
done
expect "starts" "$(worker_stat starts)" = 8
expect "duplicate starts" "$(worker_stat duplicate_starts)" = 0
finish
