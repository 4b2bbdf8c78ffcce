#!/usr/bin/env bash
# Installs the required packages, builds, and runs a demonstration on loopback
# with the fake store, 50 fake workers, 8 daemons and a job of 480 tasks.
set -euo pipefail
cd "$(dirname "$0")/.."
scripts/setup.sh
scripts/build.sh >/dev/null
source scripts/lib.sh

store=18379
start store "$build/packages/fakes/fake_store" --port $store
start workers "$build/packages/fakes/fake_worker" --first-port 19000 --count 50
worker_port=19000
wait_until 5 sequoiapath apply --store 127.0.0.1:$store examples/instituto.toml >"$run_dir/apply.txt" 2>/dev/null
tail -n 1 "$run_dir/apply.txt"

# Eight entry VMs in three data centres, like the users' present deployment.
ports=()
port=18100
for name in san-jose-1 san-jose-2 san-jose-3 heredia-1 heredia-2 heredia-3 cartago-1 cartago-2; do
  start_daemon $name "${name%-*}" $port $store 18101
  ports+=($port)
  port=$((port + 10))
done
wait_ready "${ports[@]}"
sleep 6 # Wait until the daemons of each data centre have divided its workers.

tasks=$(for i in $(seq 480); do echo "{\"label\": $i, \"run_ms\": $((50 + i % 150))}"; done | paste -sd,)
echo "{\"service\": \"label-check\", \"tasks\": [$tasks]}" >"$run_dir/job.json"
begin=$(date +%s%N)
sequoiapath submit --endpoint 127.0.0.1:18100 --team depot-clerks "$run_dir/job.json" >"$run_dir/answer.json"
end=$(date +%s%N)
cut -c1-120 "$run_dir/answer.json"
echo "one job of 480 tasks: $(wc -c <"$run_dir/answer.json") bytes after $(((end - begin) / 1000000)) ms;" \
  "starts $(worker_stat starts), started twice $(worker_stat duplicate_starts)," \
  "highest number of concurrent tasks on a worker $(worker_stat greatest_running_per_worker)"

echo "load on two data centres for 10 s:"
sequoiapath load --endpoint 127.0.0.1:18100 --endpoint 127.0.0.1:18130 --team depot-clerks \
  --service label-check --rate 8 --tasks 40 --duration 10
echo "started twice $(worker_stat duplicate_starts), starts on a worker without a free slot $(worker_stat over_limit_starts)"
