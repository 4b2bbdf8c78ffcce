#!/usr/bin/env bash
# Guards against jobs that fail, expire or get no answer during planned stops
# under load: every daemon, including the scheduler, is stopped and started in
# turn.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib.sh
source scripts/platform_lib.sh

start_fake_platform 20300 12
ports=(20400 20410 20420)
names=(heredia-1 cartago-1 sanjose-1)
for i in 0 1 2; do
  write_entry_settings "${names[$i]}" "${names[$i]%-*}" "${ports[$i]}" "${ports[@]}"
  start_entry "${names[$i]}"
done
wait_entries_ready "${ports[@]}" || exit 1
platform_load --rate 12 --duration 16 127.0.0.1:20400 127.0.0.1:20410 127.0.0.1:20420 \
  >"$run_dir/load.txt" &
load=$!
pids+=($load)
sleep 1
for i in 0 1 2; do
  kill -TERM "$(pid_of "${names[$i]}")"
  wait "$(pid_of "${names[$i]}")"
  expect "exit code of ${names[$i]}" $? = 0
  start_entry "${names[$i]}"
  wait_entries_ready "${ports[$i]}" || exit 1
done
wait $load
line=$(cat "$run_dir/load.txt")
echo "$line"
expect "jobs without an answer" "$(load_count "$line" lost)" = 0
expect "jobs that failed" "$(load_count "$line" failed)" = 0
expect "jobs that expired" "$(load_count "$line" expired)" = 0
expect "jobs sent" "$(load_count "$line" sent)" -ge 150
expect_no_violations
finish
