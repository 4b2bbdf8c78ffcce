#!/usr/bin/env bash
# Guards against lost answers and tasks that start twice (guarantees G1 and G7 in
# docs/design.md) after a planned stop of a session's owner: a daemon that never
# used the session must find the owner's successor, which must return the stored
# answer and start tasks of new sequence numbers only. After a second stop the
# daemon must find the successor's successor.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 23400 heredia:2 limon:2
start_daemon vm-1 heredia 23410 "$store_port" 23421 23431
start_daemon vm-2 heredia 23420 "$store_port" 23411 23431
start_daemon vm-3 limon 23430 "$store_port" 23411 23421
wait_ready 23410 23420 23430
session=$(sequoiapath session --endpoint 127.0.0.1:23410 --team clerks)
write_job "$run_dir/job.json" post 4 200
sequoiapath submit --endpoint 127.0.0.1:23410 --session "$session" "$run_dir/job.json" >"$run_dir/first.json"
expect_match "the first answer is complete" "$run_dir/first.json" '"outcome":"complete"'
sleep 1
kill -TERM "$(pid_of vm-1)"
wait "$(pid_of vm-1)"
expect "exit code of vm-1" $? = 0
# complete_through_vm3 SEQUENCE: submits the job through vm-3 and succeeds if the
# answer is complete.
complete_through_vm3() {
  sequoiapath submit --endpoint 127.0.0.1:23430 --session "$session" --sequence "$1" "$run_dir/job.json" >"$run_dir/again.json"
  grep -q '"outcome":"complete"' "$run_dir/again.json"
}
# vm-3 learns of the successor with the next heartbeat between data centres,
# which are sent every 2 s. Until then the answer is owner_unreachable with the
# advice to submit again.
wait_until 5 complete_through_vm3 1
expect "the stored answer through vm-3" "$(md5sum <"$run_dir/again.json")" = "$(md5sum <"$run_dir/first.json")"
expect "starts" "$(worker_stat starts)" = 4
complete_through_vm3 2
expect_match "a new number runs at the successor" "$run_dir/again.json" '"outcome":"complete"'
kill -TERM "$(pid_of vm-2)"
wait "$(pid_of vm-2)"
expect "exit code of vm-2" $? = 0
wait_until 5 complete_through_vm3 1
expect "the stored answer after two stops" "$(md5sum <"$run_dir/again.json")" = "$(md5sum <"$run_dir/first.json")"
expect "starts after two stops" "$(worker_stat starts)" = 8
expect "duplicate starts" "$(worker_stat duplicate_starts)" = 0
finish
