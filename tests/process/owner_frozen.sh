#!/usr/bin/env bash
# Guards against tasks that start twice (guarantee G1 in docs/design.md) when the
# owner of a session is paused during a job: a submission through another daemon
# must be answered as may_have_run, and no task may start again after the pause.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 23600 heredia:2 limon:2
start_daemon vm-1 heredia 23610 "$store_port" 23621
start_daemon vm-2 limon 23620 "$store_port" 23611
wait_ready 23610 23620
session=$(sequoiapath session --endpoint 127.0.0.1:23610 --team clerks)
write_job "$run_dir/job.json" post 8 500 '"deadline_ms": 1500'
sequoiapath submit --endpoint 127.0.0.1:23610 --session "$session" "$run_dir/job.json" >"$run_dir/first.json" &
submission=$!
wait_until 5 eval '[ "$(worker_stat starts)" = 8 ]'
kill -STOP "$(pid_of vm-1)"
sequoiapath submit --endpoint 127.0.0.1:23620 --session "$session" "$run_dir/job.json" >"$run_dir/frozen.json"
expect_match "the submission while the owner is paused" "$run_dir/frozen.json" '"reason":"owner_unreachable".*"verdict":"may_have_run"'
kill -CONT "$(pid_of vm-1)"
wait "$submission"
expect_match "the first submission is complete or may_have_run" "$run_dir/first.json" '"outcome":"complete"|"verdict":"(may_have_run|ran)"'
sequoiapath submit --endpoint 127.0.0.1:23620 --session "$session" "$run_dir/job.json" >"$run_dir/after.json"
expect "the answer after the pause equals the first" "$(md5sum <"$run_dir/after.json")" = "$(md5sum <"$run_dir/first.json")"
expect "starts" "$(worker_stat starts)" = 8
expect "duplicate starts" "$(worker_stat duplicate_starts)" = 0
finish
