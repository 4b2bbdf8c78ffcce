# Functions shared by the scripts that run real processes on loopback. Sourced.

root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
build=${BUILD_DIR:-$root/build}
run_dir=$(mktemp -d)
pids=()

# Ends every process that this script started and removes its files.
cleanup() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null; kill -9 "$pid" 2>/dev/null; done
  wait 2>/dev/null
  rm -rf "$run_dir"
}
trap cleanup EXIT

# start NAME COMMAND...: runs a command in the background; its output goes to
# $run_dir/NAME.log and its process id to $run_dir/NAME.pid.
start() {
  local name=$1
  shift
  "$@" >"$run_dir/$name.log" 2>&1 &
  pids+=($!)
  echo $! >"$run_dir/$name.pid"
}

pid_of() { cat "$run_dir/$1.pid"; }

# write_settings NAME DATA_CENTRE CALLER_PORT STORE_PORT [SEED_PEER_PORT...]:
# writes daemon settings; the peer and operator ports follow the caller port.
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

# start_daemon NAME DATA_CENTRE CALLER_PORT STORE_PORT [SEED_PEER_PORT...]
start_daemon() {
  write_settings "$@"
  start "$1" "$build/packages/daemon/sequoiapathd" --settings "$run_dir/$1.toml"
}

# http_status PORT PATH: prints the status of a GET request, or 000.
http_status() {
  local status=000
  if exec 9<>"/dev/tcp/127.0.0.1/$1"; then
    printf 'GET %s HTTP/1.1\r\nhost: localhost\r\nconnection: close\r\n\r\n' "$2" >&9
    read -r -t 2 _ status _ <&9
    exec 9<&- 9>&-
  fi 2>/dev/null
  echo "${status:-000}"
}

# wait_ready PORT...: waits until each daemon can take jobs.
wait_ready() {
  for port in "$@"; do
    for _ in $(seq 100); do
      [ "$(http_status "$port" /v1/ready)" = 200 ] && continue 2
      sleep 0.1
    done
    echo "daemon on port $port is not ready" >&2
    return 1
  done
}
