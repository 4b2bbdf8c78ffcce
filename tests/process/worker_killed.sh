#!/usr/bin/env bash
# Guards against violations of the guarantees G1, G2 and G5 in docs/design.md when
# workers are killed: a job with tasks in flight on a killed worker must fail as
# may_have_run and must not be started again, and later jobs must run on the
# remaining workers.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 21400 heredia:4
kill_and_wait workers
start workers-a "$build/packages/fakes/fake_worker" --first-port "$worker_port" --count 2 --record "$run_dir/starts-a"
start workers-b "$build/packages/fakes/fake_worker" --first-port $((worker_port + 2)) --count 2 --record "$run_dir/starts-b"
start_daemon vm-1 heredia 21410 "$store_port"
wait_ready 21410
session=$(sequoiapath session --endpoint 127.0.0.1:21410 --team clerks)
write_job "$run_dir/job.json" post 32 2000
sequoiapath submit --endpoint 127.0.0.1:21410 --session "$session" "$run_dir/job.json" >"$run_dir/answer.json" &
submission=$!
sleep 0.7
kill -9 "$(pid_of workers-b)"
wait "$submission"
expect_match "the job fails as may_have_run" "$run_dir/answer.json" '"verdict":"may_have_run"'
expect "results in the failed answer" "$(grep -c results "$run_dir/answer.json")" = 0
write_job "$run_dir/small.json" check 8 50
sequoiapath submit --endpoint 127.0.0.1:21410 --session "$session" --sequence 2 "$run_dir/small.json" >"$run_dir/second.json"
expect_match "a later job completes on the remaining workers" "$run_dir/second.json" '"outcome":"complete"'
expect "tasks started twice" "$(cat "$run_dir"/starts-? | awk '{print $2}' | sort | uniq -d | wc -l)" = 0
finish
