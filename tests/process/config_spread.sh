#!/usr/bin/env bash
# Guards against a configuration change that takes longer than 15 s to be in
# force at all of 8 daemons in two data centres: in normal operation, after the
# daemons that watch the store were killed, and when the store fails right after
# the write. Also guards against more than two daemons of a data centre watching
# the store.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"
source "$(dirname "$0")/../../scripts/config_lib.sh"

start_platform 25000 heredia:1 sibiu:1
# The fake store removes closed watches only when it writes to them, so frequent
# progress notifications keep its count of open watches current.
send_store_control '{"progress_ms": 500}'
ports=()
for i in 1 2 3 4; do
  start_daemon "heredia-$i" heredia $((25010 + i * 4)) 25000 25015 25043
  start_daemon "sibiu-$i" sibiu $((25038 + i * 4)) 25000 25015 25043
  ports+=($((25010 + i * 4)) $((25038 + i * 4)))
done
wait_ready "${ports[@]}"
wait_until 10 watches_between 4 4
sleep 1
expect "watches of the store" "$(open_watches)" = 4
expect "watching daemons of heredia" "$(count_watching heredia-1 heredia-2 heredia-3 heredia-4)" = 2
expect "watching daemons of sibiu" "$(count_watching sibiu-1 sibiu-2 sibiu-3 sibiu-4)" = 2

apply_quota 901
wait_generation 2 "${ports[@]}"
expect "time until the change is in force (ms)" "$distribution_ms" -le 15000

# Kills the watching daemons right before the next change.
survivors=()
killed=0
for port in "${ports[@]}"; do
  name=$(daemon_name_at "$port")
  if is_watching "$name"; then
    kill -9 "$(pid_of "$name")"
    killed=$((killed + 1))
  else
    survivors+=("$port")
  fi
done
expect "watching daemons that were killed" "$killed" -ge 2
apply_quota 902
wait_generation 3 "${survivors[@]}"
expect "time after the watching daemons were killed (ms)" "$distribution_ms" -le 15000

all_watching() { [ "$(count_watching $(for port in "${survivors[@]}"; do daemon_name_at "$port"; done))" = 4 ]; }
wait_until 10 all_watching
expect "exit code of the wait until all remaining daemons watch the store" $? = 0
sleep 1
apply_quota 903
send_store_control '{"down": true}'
wait_generation 4 "${survivors[@]}"
expect "time with the store down after the write (ms)" "$distribution_ms" -le 15000
finish
