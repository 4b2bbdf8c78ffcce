# Functions for tests that run the platform's daemons on loopback against the
# stand-in of the platform. Sourced after scripts/lib.sh.

# start_fake_platform BASE_PORT WORKERS [SEED]: sets platform_port. The next port
# takes commands, and the workers follow.
start_fake_platform() {
  platform_port=$1
  start platform "$build/platform/testing/fake_platform" --port "$platform_port" \
    --workers "$2" --seed "${3:-1}"
}

# platform_control JSON: sends a command and prints the workers' statistics.
platform_control() {
  exec 7<>"/dev/tcp/127.0.0.1/$((platform_port + 1))"
  printf 'POST /control HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' "${#1}" "$1" >&7
  timeout 3 grep -o '{.*}' <&7
  exec 7<&- 7>&-
}

# platform_stat KEY: prints a number of the workers' statistics.
platform_stat() { platform_control '{}' | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# write_entry_settings NAME DATA_CENTRE PORT [SEED_PORT...]: PORT is for callers;
# readiness, peers and metrics follow.
write_entry_settings() {
  local name=$1 data_centre=$2 port=$3 seeds="" seed
  shift 3
  for seed in "$@"; do seeds+="\"127.0.0.1:$((seed + 2))\","; done
  cat >"$run_dir/$name.toml" <<TOML
nodeName = "$name"
ip = "127.0.0.1"
zone = "$data_centre"
portRange = [$((port + 3)), $((port + 4))]
seeds = [$seeds]
[listen]
front = "127.0.0.1:$port"
ready = "127.0.0.1:$((port + 1))"
control = "127.0.0.1:$((port + 2))"
[limits]
cpuShare = 0.25
cores = 1
[bounds]
graceS = 6
holdMaxMs = 1000
[platform]
address = "127.0.0.1:$platform_port"
TOML
}

# start_entry NAME: starts a daemon whose settings were written; a new process
# appends to the log of the one before.
start_entry() {
  "$build/packages/daemon/sequoiapathd" --platform --settings "$run_dir/$1.toml" \
    >>"$run_dir/$1.log" 2>&1 &
  pids+=($!)
  echo $! >"$run_dir/$1.pid"
}

# wait_entries_ready PORT...: waits until each daemon is ready.
wait_entries_ready() {
  local port
  for port in "$@"; do
    wait_until 10 entry_is_ready "$port" || return 1
  done
}
entry_is_ready() { [ "$(http_status $(($1 + 1)) /api/readyz)" = 200 ]; }

# scheduler_name NAME...: prints which of the daemons schedules, by their logs.
scheduler_name() {
  local name
  for name in "$@"; do
    if grep 'event=scheduler_changed' "$run_dir/$name.log" | tail -n 1 | grep -q 'role=full'; then
      echo "$name"
      return
    fi
  done
}

# platform_load ARGUMENT...: sends jobs and prints what became of them.
platform_load() { "$build/platform/testing/platform_load" "$@"; }

# load_count LINE KEY: prints a number of platform_load's line.
load_count() { grep -o "\b$2=-\?[0-9]*" <<<"$1" | cut -d= -f2; }

# expect_promises: checks what the workers saw.
expect_promises() {
  expect "starts over a worker's capacity" "$(platform_stat over_capacity)" = 0
  expect "tasks that ran twice at a time" "$(platform_stat twice_at_a_time)" = 0
}
