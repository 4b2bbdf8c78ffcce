# Functions for tests of callers that misuse a daemon's ports. To be sourced after
# scripts/platform_lib.sh.

# The daemon's settings and, at the same time, the bounds of the tests.
memory_mb=64
max_fds=400

# daemon_fds: prints the number of open descriptors of the daemon.
daemon_fds() { ls "/proc/$(pid_of heredia-1)/fd" 2>/dev/null | wc -l; }

# misuse KIND PORT COUNT: starts a daemon on the ports from $port on, lets COUNT connections misuse PORT,
# and checks the bounds.
misuse() {
  local kind=$1 name="$1 on port $2" client fds most=0 line
  write_entry_settings heredia-1 heredia "$port"
  sed -i "s/^cores = 1$/cores = 1\nmemoryMb = $memory_mb\nmaxFds = $max_fds/" "$run_dir/heredia-1.toml"
  start_entry heredia-1
  wait_entries_ready "$port" || exit 1
  "$build/platform/testing/untrusted_client" --kind "$kind" --port "$2" --count "$3" >"$run_dir/client.txt" &
  client=$!
  pids+=("$client")
  while is_child "$client" && kill -0 "$client" 2>/dev/null; do
    fds=$(daemon_fds)
    [ "$fds" -gt "$most" ] && most=$fds
    sleep 0.05  # Sampling interval.
  done
  wait "$client"
  cat "$run_dir/client.txt"
  expect "$name: the daemon runs" "$(is_child "$(pid_of heredia-1)" && echo yes)" = yes
  local peak
  peak=$(sed -n 's/^VmHWM:[[:space:]]*\([0-9]*\) kB/\1/p' "/proc/$(pid_of heredia-1)/status")
  expect "$name: peak memory in kB" "${peak:-0}" -le $((memory_mb * 1024))
  expect "$name: most descriptors" "$most" -le "$max_fds"
  line=$(platform_load --rate 1 --duration 1 "127.0.0.1:$port")
  expect "$name: ordinary jobs completed" "$(load_count "$line" completed)" -ge 1
  kill_and_wait heredia-1
}
