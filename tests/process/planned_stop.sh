#!/usr/bin/env bash
# Guards G7: a planned stop answers the jobs in flight and refuses new ones as
# not run; the process ends with exit code 0.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 21200 heredia:2
start_daemon vm-1 heredia 21210 "$store_port"
wait_ready 21210
session=$(sequoiapath session --endpoint 127.0.0.1:21210 --team clerks)
write_job "$run_dir/job.json" post 16 1000
sequoiapath submit --endpoint 127.0.0.1:21210 --session "$session" "$run_dir/job.json" >"$run_dir/answer.json" &
submission=$!
sleep 0.3
kill -TERM "$(pid_of vm-1)"
sleep 0.2
expect "readiness while stopping" "$(http_status 21210 /v1/ready)" = 503
sequoiapath submit --endpoint 127.0.0.1:21210 --session "$session" --sequence 2 "$run_dir/job.json" >"$run_dir/refused.json"
expect_answer "a new job is refused as not run" "$run_dir/refused.json" '"reason":"stopping".*"verdict":"not_run"'
wait "$submission"
expect "exit code of the submission" $? = 0
expect_answer "the job in flight is answered" "$run_dir/answer.json" '"outcome":"complete"'
wait "$(pid_of vm-1)"
expect "exit code of the daemon" $? = 0
expect "starts" "$(worker_stat starts)" = 16
finish
