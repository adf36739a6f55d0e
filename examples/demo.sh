#!/usr/bin/env bash
# Runs the whole system as separate processes on loopback: log, VM list, weight
# store, three engines in three failure domains, a plain service, their agents
# and two routers.  Sends the prompts of both deployments, books one fuel drop
# twice with one key, drains an engine under load, loads new weights, and prints
# what was measured.
# Argument: the folder of the installed programs.
set -euo pipefail
bin=$1
source "$(dirname "$0")/system.sh"
start_system

for deployment in nordlys petra; do
  echo "== prompts of $deployment"
  load --deployment "$deployment" --rate 6 --seconds "${DEMO_SECONDS:-6}"
done

echo "== one fuel drop booked twice with one key"
key=$("$bin/python" -c 'import random, time; from sequoiawind import keys; print(keys.make_key(time.time(), random.getrandbits(74)))')
for router in "${routers[@]}"; do
  "$bin/python" examples/call.py "http://$router/bookings/drop" \
    --header "Authorization: Bearer nordlys-0-token" \
    --header "Idempotency-Key: $key" \
    --data '{"station": "K7", "litres": 900}'
done
"$bin/python" examples/call.py "http://127.0.0.1:$((base + 24))/executions"

echo "== draining an engine under load"
load --deployment nordlys --rate 6 --seconds "${DEMO_SECONDS:-6}" --seed 2 &
load_pid=$!
sleep 2
ctl --wait 5 'drain target e2 because "demo"'
wait "$load_pid"
ctl show targets order by name
ctl show requests count by verdict
ctl show daemons order by name
ctl admit target e2

echo "== loading new weights, two engines at a time"
ctl load version v2 on pool briefing
for _ in $(seq 60); do
  ctl show orders where state = pending | grep -q pending || break
  sleep 0.5
done
ctl show orders order by target
load --deployment petra --rate 4 --seconds 3 --seed 3
echo "== the demo has ended"
