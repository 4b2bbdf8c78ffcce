# Functions for scripts that run real processes on loopback. To be sourced.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/build}
# The directory for logs, process ids and generated files; removed at exit.
run_dir=$(mktemp -d)
# The ids of the processes that `start` has started.
pids=()

# is_child PID: succeeds if the process is a child of this script. The id of a
# process that has ended may have been reused for an unrelated one.
is_child() {
  [ "$(sed -n 's/^PPid:[[:space:]]*//p' "/proc/$1/status" 2>/dev/null)" = "$$" ]
}

# cleanup: kills every process that this script started and removes its files.
cleanup() {
  for pid in "${pids[@]}"; do
    is_child "$pid" || continue
    kill -CONT "$pid" 2>/dev/null
    kill -9 "$pid" 2>/dev/null
  done
  wait 2>/dev/null
  rm -rf "$run_dir"
}
trap cleanup EXIT

# start NAME COMMAND...: runs a command in the background and writes its output
# to $run_dir/NAME.log and its process id to $run_dir/NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$run_dir/$name.pid"
}

# pid_of NAME: prints the process id of a command that was started as NAME.
pid_of() { cat "$run_dir/$1.pid"; }

# write_settings NAME DATA_CENTRE CALLER_PORT STORE_PORT [SEED_PEER_PORT...]:
# writes the settings of a daemon to $run_dir/NAME.toml. Its peer and operator
# ports are the two ports after the caller port.
write_settings() {
  local name=$1 data_centre=$2 port=$3 store_port=$4
  shift 4
  local seeds=""
  for seed in "$@"; do seeds+="\"127.0.0.1:$seed\", "; done
  cat >"$run_dir/$name.toml" <<TOML
data_centre = "$data_centre"
vm = "$name"
caller_listen = "127.0.0.1:$port"
peer_listen = "127.0.0.1:$((port + 1))"
operator_listen = "127.0.0.1:$((port + 2))"
stores = ["127.0.0.1:$store_port"]
seeds = [$seeds]
cluster_key = "demonstration-cluster-key"
operator_token = "demonstration-operator-token"
TOML
}

# start_daemon NAME DATA_CENTRE CALLER_PORT STORE_PORT [SEED_PEER_PORT...]:
# writes the settings of a daemon and starts it.
start_daemon() {
  write_settings "$@"
  start "$1" "$build/packages/daemon/sequoiapathd" --settings "$run_dir/$1.toml"
}

# http_status PORT PATH: prints the status of a GET request, or 000 without a
# response.
http_status() {
  local status=000
  if exec 9<>"/dev/tcp/127.0.0.1/$1"; then
    printf 'GET %s HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n' "$2" >&9
    read -r -t 2 _ status _ <&9
    exec 9<&- 9>&-
  fi 2>/dev/null
  echo "${status:-000}"
}

# wait_ready PORT...: waits up to 10 s per daemon, given by its caller port,
# until it accepts jobs.
wait_ready() {
  for port in "$@"; do
    for _ in $(seq 100); do
      [ "$(http_status "$port" /v1/ready)" = 200 ] && continue 2
      sleep 0.1
    done
    echo "daemon on port $port was not ready within 10 s" >&2
    return 1
  done
}

# wait_until SECONDS COMMAND...: repeats a command until it succeeds. Waits 50 ms
# after each attempt and fails after 20 * SECONDS attempts, so the time limit is
# longer by the duration of the attempts.
wait_until() {
  local tries=$(($1 * 20))
  shift
  for _ in $(seq "$tries"); do
    "$@" && return 0
    sleep 0.05
  done
  echo "condition not met in time: $*" >&2
  return 1
}

# sequoiapath ARGUMENT...: runs the command-line tool.
sequoiapath() { "$build/packages/cli/sequoiapath" "$@"; }

# worker_stat KEY: prints the number that the fake workers report under KEY. The
# first port of the workers must be $worker_port.
worker_stat() {
  exec 8<>"/dev/tcp/127.0.0.1/$worker_port"
  printf 'GET /stats HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n' >&8
  grep -o "\"$1\":[0-9]*" <&8 | cut -d: -f2
  exec 8<&- 8>&-
}

# store_control JSON: sends a control message to the fake store and succeeds if
# the store accepts it.
store_control() {
  exec 7<>"/dev/tcp/127.0.0.1/$store_port"
  printf 'POST /control HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' "${#1}" "$1" >&7
  grep -q '200 OK' <&7
  local status=$?
  exec 7<&- 7>&-
  return "$status"
}

# restart_workers_with_record COUNT: restarts the fake workers so that they
# append each task start to $run_dir/starts. A line has the worker's port, the
# task id, which begins with the VM's name, and the task's value.
restart_workers_with_record() {
  kill_and_wait workers
  start workers "$build/packages/fakes/fake_worker" --first-port "$worker_port" --count "$1" --record "$run_dir/starts"
}

# set_vm_states STATE VM...: sets the state of VMs of the data centre heredia in
# the platform's VM list.
set_vm_states() {
  local state=$1 vm entries=""
  shift
  for vm in "$@"; do
    entries+="${entries:+,}{\"data_centre\":\"heredia\",\"vm\":\"$vm\",\"address\":\"127.0.0.1\",\"state\":\"$state\"}"
  done
  store_control "{\"vms\":[$entries]}"
}

# wait_members COUNT NAME...: waits until the latest roster that each daemon has
# logged has COUNT members.
wait_members() {
  local count=$1 name
  shift
  for name in "$@"; do
    wait_until 15 has_members "$count" "$name" || return 1
  done
}

# has_members COUNT NAME: succeeds if the latest roster that the daemon has
# logged has COUNT members.
has_members() { grep ' event=roster ' "$run_dir/$2.log" | tail -n 1 | grep -q "members=$1\b"; }

# mean_running_tasks SECONDS: prints the mean number of running tasks of all
# fake workers, sampled every 0.1 s.
mean_running_tasks() {
  for _ in $(seq $(($1 * 10))); do
    worker_stat running
    sleep 0.1
  done | awk '{ sum += $1 } END { printf "%d\n", sum / NR }'
}

# run_overload SECONDS PORT...: submits jobs to the daemons with about 1.5 times
# the work that 4 workers can complete, and prints the number of jobs with each
# outcome.
run_overload() {
  local seconds=$1 port endpoints=()
  shift
  for port in "$@"; do endpoints+=(--endpoint "127.0.0.1:$port"); done
  sequoiapath load "${endpoints[@]}" --service check --team clerks --rate 20 --tasks 8 --run-ms 300 --duration "$seconds"
}

# expect_slot_limits: checks that no worker ran more tasks than it has slots and
# that no task started twice.
expect_slot_limits() {
  expect "greatest number of running tasks per worker" "$(worker_stat greatest_running_per_worker)" -le 8
  expect "starts over the limit" "$(worker_stat over_limit_starts)" = 0
  expect "tasks started twice" "$(worker_stat duplicate_starts)" = 0
}

# write_job FILE SERVICE TASKS RUN_MS [EXTRA_JSON]: writes a job whose tasks have
# distinct values.
write_job() {
  local tasks
  tasks=$(for i in $(seq "$3"); do echo "{\"value\": $i, \"run_ms\": $4}"; done | paste -sd,)
  echo "{\"service\": \"$2\", \"tasks\": [$tasks]${5:+, $5}}" >"$1"
}

# write_document FILE DATA_CENTRE_WORKERS...: writes a configuration document.
# Each argument is NAME:COUNT, a data centre and its number of workers, whose
# ports count up from $worker_port. The document has $team_count teams, by
# default one.
write_document() {
  local file=$1 port=$worker_port spec other
  shift
  {
    for spec in "$@"; do
      echo "[[data_centres]]"
      echo "name = \"${spec%%:*}\""
      echo "region = \"region-1\""
      other=$(for other in "$@"; do
        [ "$other" = "$spec" ] || echo "\"${other%%:*}\""
      done | paste -sd,)
      echo "neighbours = [$other]"
    done
    printf '[[services]]\nname = "check"\nidempotent = true\npriority = "urgent"\nlongest_run_ms = 5000\ndeadline_ms = 20000\n'
    printf '[[services]]\nname = "post"\nlongest_run_ms = 5000\ndeadline_ms = 20000\n'
    printf '[[teams]]\nname = "clerks"\nquota = 1000\n'
    for i in $(seq 2 "${team_count:-1}"); do
      printf '[[teams]]\nname = "team-%s"\nquota = 100\n' "$i"
    done
    for spec in "$@"; do
      for i in $(seq "${spec##*:}"); do
        echo "[[workers]]"
        echo "name = \"${spec%%:*}-$i\""
        echo "data_centre = \"${spec%%:*}\""
        echo "rack = \"${spec%%:*}-rack-$(((i + 7) / 8))\""
        echo "address = \"127.0.0.1:$port\""
        echo "cores = 16"
        echo "memory_mb = 32768"
        port=$((port + 1))
      done
    done
  } >"$file"
}

# start_platform BASE_PORT DATA_CENTRE_WORKERS...: starts the fake store and the
# fake workers and applies a configuration. Sets store_port and worker_port.
start_platform() {
  store_port=$1
  worker_port=$(($1 + 100))
  shift
  local total=0 spec
  for spec in "$@"; do total=$((total + ${spec##*:})); done
  start store "$build/packages/fakes/fake_store" --port "$store_port"
  start workers "$build/packages/fakes/fake_worker" --first-port "$worker_port" --count "$total"
  write_document "$run_dir/document.toml" "$@"
  wait_until 5 sequoiapath apply --store "127.0.0.1:$store_port" "$run_dir/document.toml" 2>/dev/null
}

# The number of failed checks.
failures=0

# expect DESCRIPTION ACTUAL OPERATOR EXPECTED: compares two values with test(1),
# prints the result and counts a failure.
expect() {
  if [ "$2" "$3" "$4" ]; then
    echo "ok: $1 ($2 $3 $4)"
  else
    echo "FAILED: $1: found '$2', expected $3 '$4'"
    failures=$((failures + 1))
  fi
}

# expect_match DESCRIPTION FILE PATTERN: checks that a line of the file matches
# the extended regular expression, prints the result and counts a failure.
expect_match() {
  if grep -qE "$3" "$2"; then
    echo "ok: $1"
  else
    echo "FAILED: $1: no match for '$3' in: $(cut -c1-400 "$2")"
    failures=$((failures + 1))
  fi
}

# finish: exits with 0, or prints the ends of the logs and exits with 1 if a
# check failed.
finish() {
  if [ "$failures" -gt 0 ]; then
    for log in "$run_dir"/*.log; do
      echo "--- $(basename "$log")"
      tail -n 20 "$log"
    done
    exit 1
  fi
  exit 0
}

# kill_and_wait NAME: kills a process and waits until it has ended, so that its
# ports can be bound again.
kill_and_wait() {
  local pid
  pid=$(pid_of "$1")
  kill -9 "$pid"
  wait "$pid" 2>/dev/null || true
}
