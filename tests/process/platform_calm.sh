#!/usr/bin/env bash
# Guards against jobs that fail or go unrecorded without any fault, over the
# platform's protocol with real processes: every daemon must complete every job
# and show it in the log and the metrics.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib.sh
source scripts/platform_lib.sh

start_fake_platform 20100 12
ports=(20200 20210 20220)
names=(heredia-1 cartago-1 sanjose-1)
for i in 0 1 2; do
  write_entry_settings "${names[$i]}" "${names[$i]%-*}" "${ports[$i]}" "${ports[@]}"
  start_entry "${names[$i]}"
done
wait_entries_ready "${ports[@]}" || exit 1
line=$(platform_load --rate 15 --duration 4 127.0.0.1:20200 127.0.0.1:20210 127.0.0.1:20220)
echo "$line"
expect "jobs sent" "$(load_count "$line" sent)" -ge 50
expect "jobs completed" "$(load_count "$line" completed)" = "$(load_count "$line" sent)"
expect_no_violations
answered=$(cat "$run_dir"/*-1.log | grep -c 'event=job_answered .*outcome=completed')
expect "answers in the log" "$answered" = "$(load_count "$line" sent)"
exec 9<>/dev/tcp/127.0.0.1/20203
printf 'GET /metrics HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n' >&9
timeout 2 cat <&9 >"$run_dir/metrics.txt"
expect_match "the metrics count the jobs" "$run_dir/metrics.txt" \
  'sequoiapath_step_jobs_total\{outcome="completed"\} [1-9]'
expect "schedulers" "$(for n in "${names[@]}"; do scheduler_name "$n"; done | wc -l)" = 1
"$build/packages/daemon/sequoiapathd" --platform --settings /dev/null >"$run_dir/bad.txt"
expect "exit code for invalid settings" $? = 2
expect_match "the missing settings are named" "$run_dir/bad.txt" 'nodeName.*listen.front.*platform.address'
finish
