#!/usr/bin/env bash
# Guards G7: a planned stop answers the jobs in flight and refuses new ones as
# not run; the process ends with exit code 0. A second signal, or the bound of the
# stop, ends it at once, but every waiting request gets its real verdict first.
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

# started_more_than N: says whether the workers have started more than N tasks.
started_more_than() { [ "$(worker_stat starts)" -gt "$1" ]; }

# stop_during_job NAME: submits a job of 3 s in a new process of vm-1 and sends a
# signal while it runs. A restarted process starts tasks only after the hold-down,
# so the signal waits for the first start.
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
expect_match "the bound answers the job in flight" "$run_dir/bound.json" '"reason":"stopping".*"verdict":"may_have_run"'
wait "$(pid_of vm-1)"
expect "exit code after the bound" $? = 0
finish
