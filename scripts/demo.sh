#!/usr/bin/env bash
# Sets up a fresh machine, builds, and runs a demonstration on loopback: the store
# stand-in, 50 fake workers, daemons, and a job of 480 tasks.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh >/dev/null
source scripts/lib.sh

store=18379
start store "$build/packages/fakes/fake_store" --port $store
start workers "$build/packages/fakes/fake_worker" --first-port 19000 --count 50
sleep 0.3
"$build/packages/cli/sequoiapath" apply --store 127.0.0.1:$store examples/instituto.toml
start_daemon san-jose-1 san-jose 18100 $store
start_daemon heredia-1 heredia 18110 $store
wait_ready 18100 18110

tasks=$(for i in $(seq 480); do echo "{\"label\": $i, \"run_ms\": $((50 + i % 150))}"; done | paste -sd,)
echo "{\"service\": \"label-check\", \"tasks\": [$tasks]}" >"$run_dir/job.json"
begin=$(date +%s%N)
"$build/packages/cli/sequoiapath" submit --endpoint 127.0.0.1:18100 --team depot-clerks "$run_dir/job.json" >"$run_dir/answer.json"
end=$(date +%s%N)
cut -c1-200 "$run_dir/answer.json"
echo "answer: $(wc -c <"$run_dir/answer.json") bytes after $(((end - begin) / 1000000)) ms"
