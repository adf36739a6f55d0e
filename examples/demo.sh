#!/usr/bin/env bash
# The whole system as separate processes on loopback: log, VM list, three
# engines in three failure domains, a plain service, their agents and two
# routers.  Sends the prompts of both deployments, books one fuel drop twice
# with one key, drains an engine under load, and prints what was measured.
set -euo pipefail
bin=$1
cd "$(dirname "$0")/.."
work=$(mktemp -d)
pids=()
stop_all() {
  kill "${pids[@]}" 2>/dev/null || true
  wait 2>/dev/null || true
  rm -rf "$work"
}
trap stop_all EXIT
base=${DEMO_PORT:-18100}
secret=demo-secret-0123456789
log=127.0.0.1:$((base))
vms=127.0.0.1:$((base + 1))
routers=(127.0.0.1:$((base + 10)) 127.0.0.1:$((base + 11)))

start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>&1 &
  pids+=($!)
}

wait_for() {
  for _ in $(seq 100); do
    "$bin/python" examples/call.py "$1" >/dev/null 2>&1 && return 0
    sleep 0.1
  done
  echo "no answer from $1" >&2
  tail -n 20 "$work"/*.out >&2
  exit 1
}

agent_settings() {
  local target=$1 service=$2 domain=$3 number=$4
  cat >"$work/agent-$target.toml" <<TOML
[agent]
name = "agent-$target"
listen = "127.0.0.1:$((base + 30 + number))"
target = "$target"
target_address = "127.0.0.1:$((base + 20 + number))"
service = "$service"
failure_domain = "$domain"

[platform]
log = "$log"
vm_list = "$vms"

[peers]
secret = "$secret"
routers = ["${routers[0]}", "${routers[1]}"]
TOML
}

router_settings() {
  local number=$1 peer=$2
  cat >"$work/router-$number.toml" <<TOML
[router]
name = "router-$number"
listen = "${routers[$number]}"
failure_domain = "d$number"

[platform]
log = "$log"
vm_list = "$vms"

[peers]
secret = "$secret"
routers = ["${routers[$peer]}"]
agents = ["127.0.0.1:$((base + 31))", "127.0.0.1:$((base + 32))"]
TOML
}

commands() {
  echo 'create kind briefing with priority = 6, max_wait_s = 5.0'
  echo 'create kind status with priority = 5'
  echo 'create kind fuel-drop with priority = 8, repeat = never'
  echo 'create policy latency with patience = 1.0'
  echo 'create pool briefing with service = engine, model = "polar-briefing"'
  echo 'create pool booking with service = plain'
  echo 'create route briefing with path = "/v1", model = "polar-briefing", pool = briefing, kind = briefing, policy = latency'
  echo 'create route drops with path = "/bookings", pool = booking, kind = fuel-drop'
  echo 'create route status with path = "/status", pool = booking, kind = status'
  for number in 1 2 3; do
    echo "create target e$number with pool = briefing, agent = \"127.0.0.1:$((base + 30 + number))\", domain = d$number"
  done
  echo "create target bookings with pool = booking, agent = \"127.0.0.1:$((base + 34))\", domain = d1"
  for account in nordlys petra; do
    for number in $(seq 0 7); do
      echo "create account $account-$number with token_digest = \"$("$bin/python" -c "import hashlib; print(hashlib.sha256(b'$account-$number-token').hexdigest())")\", weight = 1.0"
    done
  done
  echo "create operator ops with role = operator, token_digest = \"$("$bin/sequoiawind-ctl" digest ops-token)\""
}

echo "== starting log, VM list, engines, plain service, agents and routers"
start log "$bin/sequoiawind-standin" log --listen "$log"
start vms "$bin/sequoiawind-standin" vm-list --listen "$vms"
for number in 1 2 3; do
  start "e$number" "$bin/sequoiawind-standin" engine --name "e$number" \
    --listen "127.0.0.1:$((base + 20 + number))"
  agent_settings "e$number" engine "d$number" "$number"
done
start bookings "$bin/sequoiawind-standin" plain --name bookings \
  --listen "127.0.0.1:$((base + 24))"
agent_settings bookings plain d1 4
router_settings 0 1
router_settings 1 0
wait_for "http://$log/totals"
commands >"$work/commands"
"$bin/sequoiawind-ctl" publish "$work/commands" --log "$log"
for target in e1 e2 e3 bookings; do
  start "agent-$target" "$bin/sequoiawind-agent" "$work/agent-$target.toml"
done
for number in 0 1; do
  start "router-$number" "$bin/sequoiawind-router" "$work/router-$number.toml"
done
for router in "${routers[@]}"; do wait_for "http://$router/readyz"; done
for number in 1 2 3 4; do
  wait_for "http://127.0.0.1:$((base + 30 + number))/readyz"
done

export SEQUOIAWIND_TOKEN=ops-token
ctl() {
  "$bin/sequoiawind-ctl" run --router "${routers[0]}" --router "${routers[1]}" "$@"
}
load() {
  "$bin/sequoiawind-load" run --router "${routers[0]}" --router "${routers[1]}" \
    --model polar-briefing "$@"
}

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
echo "== the demo has ended"
