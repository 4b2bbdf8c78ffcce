#!/usr/bin/env bash
# Guards against daemons that end, or stop following the list of workers, because
# of one odd entry in it (issue 22): deep nesting, numbers that do not fit, a port
# out of range, missing members, bytes that are no JSON. Three daemons must use
# the 48 workers, follow the next change and log each odd entry once.
set -u
cd "$(dirname "$0")/../.."
source scripts/lib.sh
source scripts/platform_lib.sh

# worker_entry MEMBER JSON: prints a worker's entry in which MEMBER has the value
# JSON, or is missing if JSON is empty.
worker_entry() {
  local -A members=([service]='"desk"' [address]='"127.0.0.1:26597"' [zone]='"heredia"'
    [version]='"v1"' [slots]=8 [state]='"ready"' [coldLeftMs]=0
    [capacity]='{"cpu":16000,"memMb":32768,"gpu":0}' [labels]='["a","r1-1"]'
    [born]=1733388000000 [seq]=1)
  members[$1]=$2
  local name text=""
  for name in "${!members[@]}"; do
    [ -n "${members[$name]}" ] && text+=",\"$name\":${members[$name]}"
  done
  echo "{${text:1}}"
}

# put_entry ID VALUE: writes the entry of a worker to the store.
put_entry() {
  platform_control "{\"put\":\"servers/$1\",\"value\":\"$(base64 -w0 <<<"$2")\"}" >/dev/null
}

# put_deep_entry ID TEXT: writes an entry that repeats TEXT 100,000 times.
put_deep_entry() {
  platform_control "{\"put\":\"servers/$1\",\"repeat\":{\"text\":\"$2\",\"times\":100000}}" >/dev/null
}

# put_odd_entries PREFIX: writes one entry of each kind and sets `ids`.
put_odd_entries() {
  local i row member
  ids=()
  for row in 'address "127.0.0.1:-1"' 'address "127.0.0.1:0"' 'address "127.0.0.1:65536"' \
    'address "127.0.0.1:1099511627776"' 'address "127.0.0.1:http"' 'address 8080' \
    'slots -1' 'slots 1e400' 'slots 1e300' 'slots 18446744073709551616' 'slots "8"' \
    'capacity {"cpu":-9223372036854775808,"memMb":18446744073709551615}' \
    'capacity {"cpu":1e300,"memMb":1e18}' 'born -1e300' 'born 123456789012345678901' \
    'coldLeftMs 1e30' 'state "odd"' 'zone' 'service' 'seq' 'labels {"a":[]}'; do
    i=${#ids[@]}
    ids+=("$1-$i")
    member=${row%% *}
    put_entry "$1-$i" "$(worker_entry "$member" "${row:${#member}+1}")"
  done
  put_entry "$1-bytes" $'\xff\xfe\x80'
  put_deep_entry "$1-arrays" '['
  put_deep_entry "$1-objects" '{\"a\":'
  ids+=("$1-bytes" "$1-arrays" "$1-objects")
}

# platform_responds: succeeds if the fake platform answers a control command.
platform_responds() { [ -n "$(platform_stat starts)" ]; }

# logged NAME ID: prints how often the daemon has logged the entry as unreadable.
logged() { grep -c "event=worker_record_unreadable worker=$2 " "$run_dir/$1.log"; }

# all_logged ID...: succeeds if all daemons have logged all these entries.
all_logged() {
  local name id
  for name in "${names[@]}"; do
    for id in "$@"; do [ "$(logged "$name" "$id")" -ge 1 ] || return 1; done
  done
}

# draining_seen COUNT: succeeds if all daemons have logged COUNT workers that
# drain.
draining_seen() {
  local name
  for name in "${names[@]}"; do
    [ "$(grep -c 'event=worker_draining' "$run_dir/$name.log")" -ge "$1" ] || return 1
  done
}

start_fake_platform 26500 48
ports=(26600 26610 26620)
names=(heredia-1 cartago-1 sanjose-1)
wait_until 5 platform_responds 2>/dev/null || exit 1
put_odd_entries listed
listed=("${ids[@]}")
for i in 0 1 2; do
  write_entry_settings "${names[$i]}" "${names[$i]%-*}" "${ports[$i]}" "${ports[@]}"
  start_entry "${names[$i]}"
done
wait_entries_ready "${ports[@]}" || exit 1
wait_until 5 all_logged "${listed[@]}"
expect "exit code of the wait for the entries of the first list" $? = 0
platform_control '{"worker":0,"draining":true}' >/dev/null
wait_until 5 draining_seen 1
expect "exit code of the wait for the change after the first list" $? = 0

put_odd_entries changed
changed=("${ids[@]}")
wait_until 8 all_logged "${changed[@]}"
expect "exit code of the wait for the entries of a watch" $? = 0
platform_control '{"worker":1,"draining":true}' >/dev/null
wait_until 5 draining_seen 2
expect "exit code of the wait for the change after the watch" $? = 0

# The entries are written again, and the list is read again.
put_odd_entries changed
platform_control '{"compact":true}' >/dev/null
platform_control '{"worker":2,"draining":true}' >/dev/null
wait_until 8 draining_seen 3
expect "exit code of the wait for the change after the new list" $? = 0
line=$(platform_load --rate 15 --duration 3 127.0.0.1:26600 127.0.0.1:26610 127.0.0.1:26620)
echo "$line"
expect "jobs sent" "$(load_count "$line" sent)" -ge 35
expect "jobs completed" "$(load_count "$line" completed)" = "$(load_count "$line" sent)"
expect_no_violations
for name in "${names[@]}"; do
  repeated=0
  for id in "${listed[@]}" "${changed[@]}"; do
    [ "$(logged "$name" "$id")" = 1 ] || repeated=$((repeated + 1))
  done
  expect "entries that $name logged more or less often than once" $repeated = 0
  expect "workers that are not on the list of $name" \
    "$(grep -cE 'event=worker_(listed|claimed)[^a-z].*(listed|changed)-' "$run_dir/$name.log")" = 0
  kill -0 "$(pid_of "$name")"
  expect "exit code of the check that $name runs" $? = 0
done
finish
