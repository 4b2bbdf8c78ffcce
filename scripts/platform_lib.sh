# Functions for tests that run the platform's daemons on loopback with the fake
# platform. To be sourced after scripts/lib.sh.

# start_fake_platform BASE_PORT WORKERS [SEED]: starts the fake platform and sets
# platform_port, the port of its store. The next port is its control port, and
# the workers' ports follow.
start_fake_platform() {
  platform_port=$1
  start platform "$build/platform/testing/fake_platform" --port "$platform_port" \
    --workers "$2" --seed "${3:-1}"
}

# platform_control JSON: sends a control command to the fake platform and prints
# its response, the JSON object from which platform_stat reads.
platform_control() {
  exec 7<>"/dev/tcp/127.0.0.1/$((platform_port + 1))"
  printf 'POST /control HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\ncontent-length: %d\r\n\r\n%s' "${#1}" "$1" >&7
  timeout 3 grep -o '{.*}' <&7
  exec 7<&- 7>&-
}

# platform_stat KEY: prints the number that the fake platform reports under KEY.
platform_stat() { platform_control '{}' | grep -o "\"$1\":[0-9]*" | cut -d: -f2; }

# write_entry_settings NAME DATA_CENTRE PORT [SEED_PORT...]: writes the settings
# of a daemon to $run_dir/NAME.toml. PORT is its port for callers; the ports for
# readiness, peers and metrics follow. SEED_PORT is the caller port of a seed. The
# variable link_mbps, if set, is the rate of the daemon's link.
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
${link_mbps:+linkMbps = $link_mbps}
[bounds]
graceS = 6
holdMaxMs = 1000
[platform]
address = "127.0.0.1:$platform_port"
TOML
}

# start_entry NAME: starts the daemon with the settings $run_dir/NAME.toml. A new
# process appends to the log of its predecessor.
start_entry() {
  "$build/packages/daemon/sequoiapathd" --platform --settings "$run_dir/$1.toml" \
    >>"$run_dir/$1.log" 2>&1 &
  pids+=($!)
  echo $! >"$run_dir/$1.pid"
}

# wait_entries_ready PORT...: waits up to about 10 s per daemon, given by its
# caller port, until it is ready.
wait_entries_ready() {
  local port
  for port in "$@"; do
    wait_until 10 entry_is_ready "$port" || return 1
  done
}

# entry_is_ready PORT: succeeds if the daemon with this caller port is ready.
entry_is_ready() { [ "$(http_status $(($1 + 1)) /api/readyz)" = 200 ]; }

# scheduler_name NAME...: prints the name of the first of these daemons that is
# the scheduler according to its log.
scheduler_name() {
  local name
  for name in "$@"; do
    if grep 'event=scheduler_changed' "$run_dir/$name.log" | tail -n 1 | grep -q 'role=full'; then
      echo "$name"
      return
    fi
  done
}

# platform_load ARGUMENT...: runs the load generator, which prints a line with
# the number of jobs with each outcome.
platform_load() { "$build/platform/testing/platform_load" "$@"; }

# load_count LINE KEY: prints the number under KEY in the line that platform_load
# printed.
load_count() { grep -o "\b$2=-\?[0-9]*" <<<"$1" | cut -d= -f2; }

# expect_no_violations: checks that no worker ran more than its capacity and no
# task ran on two workers at once.
expect_no_violations() {
  expect "starts over a worker's capacity" "$(platform_stat over_capacity)" = 0
  expect "tasks that ran twice at a time" "$(platform_stat twice_at_a_time)" = 0
}
