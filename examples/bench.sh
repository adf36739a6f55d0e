#!/usr/bin/env bash
# Benchmarks on this machine: added time to the first token, relaying, idle
# memory with 1,400 client accounts, and a start while the log is down.
# Argument: the folder of the installed programs.
set -euo pipefail
bin=$1
source "$(dirname "$0")/system.sh"
engine_args=(--step 0.002 --prefill-token 0.0000001 --decode-sequence 0 --max-batch 256)
more_accounts=1384
agent_max_running=256
# The prefill speed of the engine stand-ins with these arguments.
agent_prefill_tokens_per_s=10000000.0
start_system

echo "== start to first served request with the log down"
"$bin/python" examples/call.py "http://$log/faults" --data '{"is_down": true}' >/dev/null
pids_before=${#pids[@]}
kill -9 "${pids[$((pids_before - 1))]}"
router_settings 1 0
began=$("$bin/python" -c 'import time; print(time.time())')
start router-again "$bin/sequoiawind-router" "$work/router-1.toml"
"$bin/python" examples/first_answer.py "$began" "http://${routers[1]}/v1/completions"
"$bin/python" examples/call.py "http://$log/faults" --data '{"is_down": false}' >/dev/null

echo "== speed"
"$bin/sequoiawind-load" bench --router "${routers[0]}" \
  --engine "127.0.0.1:$((base + 21))" --engine "127.0.0.1:$((base + 22))" \
  --engine "127.0.0.1:$((base + 23))" --agent "127.0.0.1:$((base + 31))" \
  --agent "127.0.0.1:$((base + 32))" --agent "127.0.0.1:$((base + 33))" \
  --model polar-briefing
