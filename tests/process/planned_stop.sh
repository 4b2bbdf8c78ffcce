#!/usr/bin/env bash
# Guards against requests that a planned stop cuts off (guarantee G7 in
# docs/design.md): the daemon must answer the jobs in flight, refuse new ones as
# not_run and exit with code 0. A second signal or the timeout of the stop ends
# the process immediately, after each waiting request got its correct verdict.
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
expect_match "a new job is refused as not run" "$run_dir/refused.json" '"reason":"stopping".*"verdict":"not_run"'
wait "$submission"
expect "exit code of the submission" $? = 0
expect_match "the job in flight is answered" "$run_dir/answer.json" '"outcome":"complete"'
wait "$(pid_of vm-1)"
expect "exit code of the daemon" $? = 0
expect "starts" "$(worker_stat starts)" = 16

# started_more_than N: succeeds if the workers have started more than N tasks.
started_more_than() { [ "$(worker_stat starts)" -gt "$1" ]; }

# stop_during_job NAME: submits a job of 3 s to a restarted vm-1 and sends a
# signal while the job runs. The answer is written to $run_dir/NAME.json. A
# restarted process starts tasks only after the
# hold-down time, so the signal is sent after the first start.
stop_during_job() {
  local starts
  wait_ready 21210
  starts=$(worker_stat starts)
  session=$(sequoiapath session --endpoint 127.0.0.1:21210 --team clerks)
  sequoiapath submit --endpoint 127.0.0.1:21210 --session "$session" "$run_dir/long.json" >"$run_dir/$1.json" &
  submission=$!
  wait_until 15 started_more_than "$starts"
  kill -TERM "$(pid_of vm-1)"
}
write_job "$run_dir/long.json" post 4 3000
start_daemon vm-1 heredia 21210 "$store_port"
stop_during_job second
sleep 0.3
kill -TERM "$(pid_of vm-1)"
wait "$submission"
expect_match "the second signal answers the job in flight" "$run_dir/second.json" '"reason":"stopping".*"verdict":"may_have_run"'
wait "$(pid_of vm-1)"
expect "exit code after the second signal" $? = 0

write_settings vm-1 heredia 21210 "$store_port"
echo 'stop_timeout_ms = 1000' >>"$run_dir/vm-1.toml"
start vm-1 "$build/packages/daemon/sequoiapathd" --settings "$run_dir/vm-1.toml"
stop_during_job bound
wait "$submission"
expect_match "the stop timeout answers the job in flight" "$run_dir/bound.json" '"reason":"stopping".*"verdict":"may_have_run"'
wait "$(pid_of vm-1)"
expect "exit code after the stop timeout" $? = 0
finish
