#!/usr/bin/env bash
# Guards against jobs that fail during an outage of the platform's store and
# against configurations that are missed after it: the store refuses calls, then
# answers none and discards its watches, then discards its history. All jobs must
# complete, and a configuration written after each fault must be in force within
# three seconds.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib.sh
source scripts/platform_lib.sh

start_fake_platform 20500 9
ports=(20600 20610)
names=(heredia-1 cartago-1)
for i in 0 1; do
  write_entry_settings "${names[$i]}" "${names[$i]%-*}" "${ports[$i]}" "${ports[@]}"
  start_entry "${names[$i]}"
done
wait_entries_ready "${ports[@]}" || exit 1
platform_load --rate 10 --duration 14 127.0.0.1:20600 127.0.0.1:20610 >"$run_dir/load.txt" &
load=$!
pids+=($load)

# version_in_force VERSION: succeeds if all daemons have logged this version as
# in force.
version_in_force() {
  local name
  for name in "${names[@]}"; do
    grep -q "event=config_in_force version=$1 " "$run_dir/$name.log" || return 1
  done
}

version=1
for fault in busy silent; do
  platform_control "{\"store\":\"$fault\"}" >/dev/null
  sleep 3
  platform_control '{"store":"none"}' >/dev/null
  platform_control '{"config":true}' >/dev/null
  version=$((version + 1))
  wait_until 3 version_in_force $version
  expect "exit code of the wait for version $version after the store fault '$fault'" $? = 0
done
platform_control '{"compact":true}' >/dev/null
platform_control '{"config":true}' >/dev/null
wait_until 3 version_in_force $((version + 1))
expect "exit code of the wait for the version after the history was discarded" $? = 0
wait $load
line=$(cat "$run_dir/load.txt")
echo "$line"
expect "jobs completed" "$(load_count "$line" completed)" = "$(load_count "$line" sent)"
expect_no_violations
finish
