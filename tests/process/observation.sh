#!/usr/bin/env bash
# Guards against requests that are missing from the metrics or from the log of
# late requests, and against a status that omits the other daemons or their
# generations.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"
source "$(dirname "$0")/../../scripts/config_lib.sh"

start_platform 25800 heredia:2
start_daemon vm-1 heredia 25810 25800 25815
start_daemon vm-2 heredia 25814 25800 25811
wait_ready 25810 25814
session=$(sequoiapath session --endpoint 127.0.0.1:25810 --team clerks)
write_job "$run_dir/job.json" check 4 20
sequoiapath submit --endpoint 127.0.0.1:25810 --session "$session" "$run_dir/job.json" >/dev/null
write_job "$run_dir/slow.json" check 1 2000 '"deadline_ms": 300'
sequoiapath submit --endpoint 127.0.0.1:25810 --session "$session" --sequence 2 "$run_dir/slow.json" >"$run_dir/slow.answer"
sleep 1

operator_get 25812 /metrics >"$run_dir/metrics.txt"
expect_match "tasks are counted" "$run_dir/metrics.txt" '^sequoiapath_tasks_total [5-9]'
expect_match "messages to workers are counted" "$run_dir/metrics.txt" '^sequoiapath_worker_messages_total [5-9]'
expect_match "messages to peers are counted" "$run_dir/metrics.txt" '^sequoiapath_peer_messages_total [1-9]'
expect_match "control bytes are counted" "$run_dir/metrics.txt" '^sequoiapath_control_sent_bytes_total [1-9]'
expect_match "response times are counted" "$run_dir/metrics.txt" '^sequoiapath_response_seconds_count 2'
operator_get 25812 /v1/late >"$run_dir/late.json"
expect_match "the late request is listed with its team" "$run_dir/late.json" '"team":"clerks"'
expect_match "the late request is listed with its verdict" "$run_dir/late.json" '"verdict":"may_have_run"'
operator_get 25812 /v1/status >"$run_dir/status.json"
expect_match "the other daemon is listed with its generation" "$run_dir/status.json" '"members":.*"generation":1.*"vm":"vm-2"'
finish
