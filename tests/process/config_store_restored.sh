#!/usr/bin/env bash
# Guards against daemons that return to an older configuration after the store
# was restored from an old snapshot, and against a restore without an alarm.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"
source "$(dirname "$0")/../../scripts/config_lib.sh"

start_platform 25400 heredia:1
ports=(25410 25414 25418)
start_daemon vm-1 heredia 25410 25400 25415 25419
start_daemon vm-2 heredia 25414 25400 25411 25419
start_daemon vm-3 heredia 25418 25400 25411 25415
wait_ready "${ports[@]}"
wait_until 10 watches_between 2 2
send_store_control '{"snapshot": true}'
apply_quota 901
wait_generation 2 "${ports[@]}"
expect "time until the change is in force (ms)" "$distribution_ms" -le 15000

send_store_control '{"restore": true}'
alarm_logged() { grep -q store_shows_older_configuration "$run_dir"/vm-*.log; }
wait_until 15 alarm_logged
expect "exit code of the wait for a logged alarm" $? = 0
alarms=$(for port in "${ports[@]}"; do
  operator_get $((port + 2)) /metrics | grep -o '^sequoiapath_config_alarms_total [0-9]*' | cut -d' ' -f2
done | awk '{ sum += $1 } END { print sum + 0 }')
expect "alarms in the metrics" "${alarms:-0}" -ge 1
sleep 2
for port in "${ports[@]}"; do
  expect "generation of port $port" "$(generation_at "$port")" = 2
done
apply_quota 902 --above 2
wait_generation 3 "${ports[@]}"
expect "time until a change above the generation in force is in force (ms)" "$distribution_ms" -le 15000
finish
