#!/usr/bin/env bash
# Guards against violations of the guarantees G1, G2 and G5 in docs/design.md
# under random faults: three daemons are killed, paused and stopped while
# sessions submit and resubmit jobs through randomly chosen daemons. No task may
# start twice, a complete answer must have the values of its own job, and a job
# that was answered as not_run must not have started.
# Usage: random_faults.sh [SEED]
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"

run_seed=${1:-1}
fault_seconds=20
sessions=6
tasks=3
base=23800
answers=$run_dir/answers
mkdir "$answers"

# daemon_port NUMBER: prints the caller port of the daemon vm-NUMBER.
daemon_port() { echo $((base + $1 * 10)); }

# start_vm NUMBER: starts the daemon vm-NUMBER.
start_vm() {
  local data_centre=heredia
  [ "$1" = 3 ] && data_centre=limon
  start_daemon "vm-$1" "$data_centre" "$(daemon_port "$1")" "$store_port" $((base + 11)) $((base + 21)) $((base + 31))
}

# random_endpoint: prints the caller endpoint of a randomly chosen daemon.
random_endpoint() { echo "127.0.0.1:$(daemon_port $((RANDOM % 3 + 1)))"; }

# open_session: opens a session and prints its id; retries until a daemon
# answers.
open_session() {
  until sequoiapath session --endpoint "$(random_endpoint)" --team clerks 2>/dev/null; do
    RANDOM=$((RANDOM + 1))
    sleep 0.1
  done
}

# submit_series SESSION SEQUENCE NAME: submits a job up to five times while the
# answer advises to retry with the same sequence number. Stops after an answer
# not_run, because a later submission of the number may start the job.
submit_series() {
  local try file
  for try in 1 2 3 4 5; do
    file=$answers/$3-$try.json
    timeout 30 "$build/packages/cli/sequoiapath" submit --endpoint "$(random_endpoint)" --session "$1" --sequence "$2" "$answers/${3%%-*}.job" >"$file" 2>/dev/null
    if [ -s "$file" ]; then
      grep -q '"retry":"same_sequence"' "$file" || return
      grep -q '"verdict":"not_run"' "$file" && return
    fi
    sleep "0.$((RANDOM % 4 + 1))"
  done
}

# run_session NUMBER: submits jobs until the faults end. Every third job is
# submitted by two concurrent series, and after every third job the preceding job
# is resubmitted if its answer was complete.
run_session() {
  local session sequence=0 job=0 name previous="" pair i
  RANDOM=$((run_seed * 100 + $1))
  session=$(open_session)
  while [ ! -e "$run_dir/done" ]; do
    job=$((job + 1))
    sequence=$((sequence + 1))
    name=$(($1 * 100000 + job * 10))
    for i in $(seq "$tasks"); do
      echo "{\"value\": $((name + i)), \"run_ms\": $((RANDOM % 150))}"
    done | paste -sd, | sed 's/.*/{"service": "post", "deadline_ms": 1500, "tasks": [&]}/' >"$answers/$name.job"
    pair=""
    if [ $((job % 3)) = 0 ]; then
      submit_series "$session" "$sequence" "$name-pair" &
      pair=$!
    fi
    submit_series "$session" "$sequence" "$name-only"
    [ -n "$pair" ] && wait "$pair"
    if [ $((job % 3)) = 1 ] && [ "$sequence" -gt 1 ] && grep -q '"outcome":"complete"' "$answers/$previous"-*.json; then
      submit_series "$session" $((sequence - 1)) "$previous-again"
    fi
    previous=$name
    if grep -q '"retry":"new_session"' "$answers/$name"-*.json; then
      session=$(open_session)
      sequence=0
    fi
  done
}

# inject_faults: kills, pauses and stops random daemons. Must be called in the
# main shell, because it waits for the daemons, which are children of that shell.
inject_faults() {
  local end=$((SECONDS + fault_seconds)) vm pid
  RANDOM=$run_seed
  while [ "$SECONDS" -lt "$end" ]; do
    vm=$((RANDOM % 3 + 1))
    pid=$(pid_of "vm-$vm")
    case $((RANDOM % 3)) in
      0)
        kill -9 "$pid"
        wait "$pid" 2>/dev/null
        sleep "0.$((RANDOM % 9 + 1))"
        start_vm "$vm"
        kills=$((kills + 1))
        ;;
      1)
        kill -STOP "$pid"
        sleep "$((RANDOM % 2)).$((RANDOM % 9 + 1))"
        kill -CONT "$pid"
        pauses=$((pauses + 1))
        ;;
      2)
        kill -TERM "$pid"
        wait "$pid" 2>/dev/null
        start_vm "$vm"
        stops=$((stops + 1))
        ;;
    esac
    sleep "0.$((RANDOM % 9 + 1))"
  done
}

# list_wrong_answers: prints the complete answers whose values differ from the
# job's.
list_wrong_answers() {
  local file name expected
  for file in $(grep -l '"outcome":"complete"' "$answers"/*.json); do
    name=$(basename "$file")
    name=${name%%-*}
    expected=$(seq $((name + 1)) $((name + tasks)) | paste -sd' ')
    [ "$(grep -o '"value":[0-9]*' "$file" | cut -d: -f2 | paste -sd' ')" = "$expected" ] || echo "$file"
  done
}

# list_started_refusals: prints the not_run answers of jobs that started. Jobs
# with two series are excluded, because the second series may start the job after
# the first one was refused.
list_started_refusals() {
  local file name
  for file in $(grep -l '"verdict":"not_run"' "$answers"/*.json); do
    name=$(basename "$file")
    name=${name%%-*}
    ls "$answers/$name-pair"* >/dev/null 2>&1 && continue
    awk '{print $3}' "$run_dir/starts" | grep -q "^${name%0}[1-$tasks]\$" && echo "$file: $(cat "$file")"
  done
}

kills=0 pauses=0 stops=0
start_platform $((base + 40)) heredia:2 limon:2
kill_and_wait workers
start workers-2 "$build/packages/fakes/fake_worker" --first-port "$worker_port" --count 4 --record "$run_dir/starts"
for vm in 1 2 3; do start_vm "$vm"; done
wait_ready "$(daemon_port 1)" "$(daemon_port 2)" "$(daemon_port 3)"
runners=()
for i in $(seq "$sessions"); do
  (trap - EXIT; run_session "$i") &
  runners+=($!)
done
inject_faults 2>/dev/null
touch "$run_dir/done"
wait "${runners[@]}"
echo "seed $run_seed: $kills kills, $pauses pauses, $stops stops, $(ls "$answers"/*.job | wc -l) jobs, $(wc -l <"$run_dir/starts") starts"
grep -oh '"outcome":"complete"\|"reason":"[a-z_]*"\|"verdict":"[a-z_]*"' "$answers"/*.json | sort | uniq -c
expect "complete answers" "$(grep -l '"outcome":"complete"' "$answers"/*.json | wc -l)" -gt 20
expect "task ids started twice" "$(worker_stat duplicate_starts)" = 0
expect "values started twice" "$(awk '{print $3}' "$run_dir/starts" | sort | uniq -d | wc -l)" = 0
list_wrong_answers >"$run_dir/wrong"
expect "complete answers with other values" "$(wc -l <"$run_dir/wrong")" = 0
list_started_refusals >"$run_dir/untrue"
expect "not_run answers of started jobs" "$(wc -l <"$run_dir/untrue")" = 0
cat "$run_dir/wrong" "$run_dir/untrue"
finish
