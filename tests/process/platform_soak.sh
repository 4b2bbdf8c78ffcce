#!/usr/bin/env bash
# Guards against violations of the guarantees to callers and workers under random
# external faults that follow each other closely: daemons are killed, paused,
# stopped and restarted; workers restart, become unresponsive or drain; answers
# of workers are lost and orders take effect late; the store refuses calls,
# becomes unresponsive or discards its history.
# Usage: platform_soak.sh [SEED [SECONDS [BASE_PORT]]]
set -u
cd "$(dirname "$0")/../.."
source scripts/lib.sh
source scripts/platform_lib.sh
seed=${1:-1}
seconds=${2:-20}
base=${3:-20700}
RANDOM=$seed
echo "seed $seed, $seconds s"

workers=15
start_fake_platform "$base" $workers "$seed"
names=(heredia-1 heredia-2 cartago-1 cartago-2 sanjose-1)
ports=()
for i in "${!names[@]}"; do ports+=($((base + 100 + 10 * i))); done
endpoints=()
for i in "${!names[@]}"; do
  write_entry_settings "${names[$i]}" "${names[$i]%-*}" "${ports[$i]}" "${ports[@]:0:3}"
  start_entry "${names[$i]}"
  endpoints+=("127.0.0.1:${ports[$i]}")
done
wait_entries_ready "${ports[@]}" || exit 1
platform_load --rate 12 --duration "$seconds" --seed "$seed" "${endpoints[@]}" >"$run_dir/load.txt" &
load=$!
pids+=($load)

# restart_after NAME SECONDS: starts a daemon again SECONDS after its process has
# ended.
restart_after() {
  local name=$1
  (
    while kill -0 "$(pid_of "$name")" 2>/dev/null; do sleep 0.05; done
    sleep "$2"
  )
  start_entry "$name"
}

# Each fault function injects one fault and returns within about two seconds;
# faults are injected one after the other.

# fault_kill NAME: kills a daemon and restarts it 0.3 s later.
fault_kill() {
  kill -9 "$(pid_of "$1")"
  wait "$(pid_of "$1")" 2>/dev/null
  restart_after "$1" 0.3
}
# fault_pause NAME: pauses a daemon for 1.0 to 1.9 s.
fault_pause() {
  kill -STOP "$(pid_of "$1")"
  sleep 1.$((RANDOM % 10))
  kill -CONT "$(pid_of "$1")"
}
# fault_stop NAME: stops a daemon and restarts it 0.1 s after its exit.
fault_stop() {
  kill -TERM "$(pid_of "$1")"
  restart_after "$1" 0.1
}
# fault_worker: restarts a random worker, or makes it unresponsive or draining.
fault_worker() {
  local worker=$((RANDOM % workers))
  case $((RANDOM % 3)) in
  0) platform_control "{\"worker\":$worker,\"restart\":true}" ;;
  1)
    platform_control "{\"worker\":$worker,\"silent\":true}"
    sleep 1.$((RANDOM % 10))
    platform_control "{\"worker\":$worker,\"silent\":false}"
    ;;
  2)
    platform_control "{\"worker\":$worker,\"draining\":true}"
    sleep 1
    platform_control "{\"worker\":$worker,\"draining\":false}"
    ;;
  esac >/dev/null
}
# fault_orders: for 1 s, workers lose answers, apply starts late and fail tasks.
fault_orders() {
  platform_control '{"answer_lost":0.03,"late":0.02,"failing":0.02}' >/dev/null
  sleep 1
  platform_control '{"answer_lost":0,"late":0,"failing":0}' >/dev/null
}
# fault_store: makes the store refuse or not answer calls, then discards its
# history and writes a configuration.
fault_store() {
  local kinds=(busy silent)
  platform_control "{\"store\":\"${kinds[$((RANDOM % 2))]}\"}" >/dev/null
  sleep 1.$((RANDOM % 10))
  platform_control '{"store":"none","compact":true,"config":true}' >/dev/null
}

end=$((SECONDS + seconds - 2))
while [ $SECONDS -lt $end ]; do
  name=${names[$((RANDOM % ${#names[@]}))]}
  case $((RANDOM % 6)) in
  0) echo "kill $name" && fault_kill "$name" ;;
  1) echo "pause $name" && fault_pause "$name" ;;
  2) echo "stop $name" && fault_stop "$name" ;;
  3) echo "inject a worker fault" && fault_worker ;;
  4) echo "inject faults of orders" && fault_orders ;;
  5) echo "inject a store fault" && fault_store ;;
  esac
  sleep 0.$((RANDOM % 10))
done
wait $load
line=$(cat "$run_dir/load.txt")
echo "$line"
sent=$(load_count "$line" sent)
expect "jobs without an answer after four attempts" "$(load_count "$line" lost)" = 0
expect "responses that the interface does not allow" "$(load_count "$line" unexpected)" = 0
expect "percentage of the $sent jobs that completed" $((100 * $(load_count "$line" completed) / sent)) -ge 60
expect_no_violations

# After the faults all daemons must become ready and complete every job.
wait_entries_ready "${ports[@]}"
expect "exit code of the wait for ready daemons after the faults" $? = 0
line=$(platform_load --rate 10 --duration 3 --seed "$seed" "${endpoints[@]}")
echo "$line"
expect "jobs completed after the faults" "$(load_count "$line" completed)" = "$(load_count "$line" sent)"
finish
