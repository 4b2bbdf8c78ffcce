#!/usr/bin/env bash
# Guards against a daemon that cannot serve jobs because the store is
# unreachable although its peers have the configuration, and against a daemon
# without any configuration that accepts jobs instead of refusing them as
# not_run.
set -uo pipefail
source "$(dirname "$0")/../../scripts/lib.sh"
source "$(dirname "$0")/../../scripts/config_lib.sh"

start_platform 25200 heredia:2 sibiu:2
# No process listens on port 25299, so the daemons of sibiu cannot reach the
# store.
start_daemon heredia-1 heredia 25210 25200 25215 25221
start_daemon heredia-2 heredia 25214 25200 25211 25221
start_daemon sibiu-1 sibiu 25220 25299 25225 25211
start_daemon sibiu-2 sibiu 25224 25299 25221 25215
wait_ready 25210 25214 25220 25224
apply_quota 901
wait_generation 2 25210 25214 25220 25224
expect "time until in force in a data centre without the store (ms)" "$distribution_ms" -le 15000

send_store_control '{"down": true}'
start_daemon heredia-3 heredia 25230 25200 25211
wait_ready 25230
expect "generation of a daemon started without the store" "$(generation_at 25230)" = 2
session=$(sequoiapath session --endpoint 127.0.0.1:25230 --team clerks)
write_job "$run_dir/job.json" post 4 10
sequoiapath submit --endpoint 127.0.0.1:25230 --session "$session" "$run_dir/job.json" >"$run_dir/answer.json"
expect_match "a daemon started without the store serves a job" "$run_dir/answer.json" '"outcome":"complete"'

start_daemon lone-1 heredia 25240 25200
listens() { [ "$(http_status 25240 /v1/ready)" != 000 ]; }
wait_until 10 listens
sleep 3
expect "readiness without a configuration" "$(http_status 25240 /v1/ready)" = 503
sequoiapath session --endpoint 127.0.0.1:25240 --team clerks >"$run_dir/refused.json" 2>&1
expect_match "a request without a configuration is refused" "$run_dir/refused.json" 'no_configuration'
exec 5<>/dev/tcp/127.0.0.1/25240
printf 'POST /v1/sessions HTTP/1.1\r\nhost: localhost\r\ncontent-type: application/json\r\ncontent-length: 17\r\nconnection: close\r\n\r\n{"team":"clerks"}' >&5
timeout 2 cat <&5 >"$run_dir/raw.json"
expect_match "the refusal has the verdict not_run" "$run_dir/raw.json" '"reason":"no_configuration".*"verdict":"not_run"'
finish
