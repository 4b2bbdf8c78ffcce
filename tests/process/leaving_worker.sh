#!/usr/bin/env bash
# Guards against new tasks on a leaving worker (guarantee G6 in docs/design.md):
# under load, no daemon may start a task on a worker later than 3 s after the
# configuration marked it as leaving, and the tasks in flight must complete.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

start_platform 21600 heredia:4
kill_and_wait workers
start workers "$build/packages/fakes/fake_worker" --first-port "$worker_port" --count 4 --record "$run_dir/starts"
start_daemon vm-2 heredia 21610 "$store_port"
start_daemon vm-3 heredia 21620 "$store_port" 21611
wait_ready 21610 21620
sleep 4 # Wait until the roster and the ownership of workers are stable.

sequoiapath load --endpoint 127.0.0.1:21610 --endpoint 127.0.0.1:21620 --team clerks --service post \
  --rate 20 --tasks 4 --run-ms 200 --duration 12 >"$run_dir/load.txt" 2>&1 &
load=$!
starts_on_leaving() { grep -c "^$worker_port " "$run_dir/starts"; }
sleep 4
before=$(starts_on_leaving)
# The first worker of the document is the one on the first port.
sed -i "0,/^address = \"127.0.0.1:$worker_port\"/s//leaving = true\n&/" "$run_dir/document.toml"
sequoiapath apply --store "127.0.0.1:$store_port" "$run_dir/document.toml" >"$run_dir/apply.txt" 2>&1
sleep 3 # The limit for "a few seconds" in G6.
at_bound=$(starts_on_leaving)
sleep 3
after=$(starts_on_leaving)
wait "$load"
expect "starts on the worker before the change" "$before" -gt 0
expect "starts on the worker later than 3 s after the change" $((after - at_bound)) = 0
expect_match "all jobs complete" "$run_dir/load.txt" 'failed 0 no_reply 0 not_sent 0 wrong 0'
expect "duplicate starts" "$(worker_stat duplicate_starts)" = 0
finish
