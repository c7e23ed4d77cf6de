#!/usr/bin/env bash
# Builds everything and runs a small fleet on 127.0.0.0/8: a stand-in log and three instances in three
# availability zones, each a target and its node. Publishes a table, sends requests through nodes that are not
# next to the target that answers, and prints answers, status and a burn report. Exits 0 only when all of that
# was right.
#
#   scripts/quickstart [--deployment association|authority] [--keep SECONDS]
set -euo pipefail
cd "$(dirname "$0")/.."

deployment=association
keep=0
while [ $# -gt 0 ]; do
  case "$1" in
    --deployment) deployment=${2:?--deployment needs association or authority}; shift 2 ;;
    --keep) keep=${2:?--keep needs a number of seconds}; shift 2 ;;
    *) echo "unknown argument $1" >&2; exit 2 ;;
  esac
done
examples=examples/$deployment
[ -d "$examples" ] || { echo "unknown deployment $deployment" >&2; exit 2; }

scripts/install-deps
:
bin=${BUILD_DIR:-build}/bin
work=$(mktemp -d)
pids=()

stop_all() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
  done
  rm -rf "$work"
}
trap stop_all EXIT

fail() {
  echo "FAILED: $*" >&2
  grep -hE "level=(warning|error)" "$work"/*.log | tail -n 20 >&2 || true
  exit 1
}

start() {
  local name=$1
  shift
  "$@" >"$work/$name.log" 2>&1 &
  pids+=($!)
}

# Polls a command until it succeeds, for at most 15 s.
wait_until() {
  local what=$1
  shift
  for _ in $(seq 150); do "$@" >/dev/null 2>&1 && return 0; sleep 0.1; done
  fail "$what"
}

log_address=127.0.0.1:7400
start log "$bin/standin-log" --listen "$log_address"
mapfile -t settings < <(ls "$examples"/node-*.yaml)
admins=()
callers=()
names=()
for file in "${settings[@]}"; do
  "$bin/teaselpitch-node" --settings "$file" --check 2>/dev/null || fail "$file is not valid"
  name=$(sed -n 's/^  name: //p' "$file")
  names+=("$name")
  admins+=("$(sed -n 's/^  admin: //p' "$file" | head -1)")
  callers+=("$(sed -n 's/^  caller: //p' "$file")")
  start "$name" "$bin/teaselpitch-node" --settings "$file"
done

# The services of the deployment, scaled down to one target of each service beside each node.
mapfile -t services < <(sed -n '/^#/!p' "$examples/services.txt")
port=7600
for i in "${!names[@]}"; do
  for service in "${services[@]}"; do
    port=$((port + 1))
    start "$service-$i" "$bin/standin-target" --listen "127.0.0.1:$port" --name "$service-${names[$i]}" \
      --service "$service" --slots "$(cat "$examples/slots.txt")" --announce "${admins[$i]}" --service-time-ms 5
  done
done
expected=$((${#names[@]} * ${#services[@]}))

all_known() {
  local admin
  for admin in "${admins[@]}"; do
    [ "$(curl -sf "http://$admin/v1/status" | grep -o '"state":"\(healthy\|warming\)"' | wc -l)" -eq "$expected" ] || return 1
  done
}
wait_until "not every node knows all $expected targets" all_known

nodes_option=()
for admin in "${admins[@]}"; do nodes_option+=(--node "$admin"); done
echo "== publish the table"
"$bin/teaselpitchctl" --log "$log_address" --stream teaselpitch "${nodes_option[@]}" \
  table publish "$examples/table.csv" --base 0 --author quickstart --wait || fail "the table is not in force everywhere"
"$bin/teaselpitchctl" --log "$log_address" --stream teaselpitch table show

echo "== requests"
remote=0
for service in "${services[@]}"; do
  for i in "${!names[@]}"; do
    for call in 1 2 3 4; do
      headers=$(curl -s -D - -o "$work/body" -H "Host: $service.example" -H "X-Call-Id: $service-$i-$call" \
        "http://${callers[$i]}/work?bytes=32") || fail "no answer from ${names[$i]}"
      grep -q '^HTTP/1.1 200' <<<"$headers" || fail "service $service through ${names[$i]}: $headers"
      grep -qi '^teaselpitch-execution: run' <<<"$headers" || fail "no execution state: $headers"
      target=$(sed -n 's/^teaselpitch-target: //Ip' <<<"$headers" | tr -d '\r')
      [ "$target" = "$service-${names[$i]}" ] || remote=$((remote + 1))
      [ "$call" = 1 ] && echo "$service through ${names[$i]}: answered by $target"
    done
  done
done
# A target that leaves sends its node's callers to the targets beside the other nodes.
curl -sf -X POST "http://127.0.0.1:7601/_leave" >/dev/null || fail "the first target does not leave"
sleep 1.5
for call in 1 2 3 4 5 6; do
  headers=$(curl -s -D - -o /dev/null -H "Host: ${services[0]}.example" \
    -H "X-Call-Id: leave-$call" "http://${callers[0]}/work")
  grep -q '^HTTP/1.1 200' <<<"$headers" || fail "after a target left: $headers"
  target=$(sed -n 's/^teaselpitch-target: //Ip' <<<"$headers" | tr -d '\r')
  [ "$target" != "${services[0]}-${names[0]}" ] || fail "a leaving target got new work"
  remote=$((remote + 1))
done
echo "answered by a target that is not next to the node: $remote"
[ "$remote" -gt 0 ] || fail "no request went through two nodes"

key_headers=(-H "Idempotency-Key: quickstart-1" -H "Teaselpitch-Attempt: 1" -H "Teaselpitch-Account: quickstart")
for attempt in 1 2; do
  [ "$attempt" = 1 ] || key_headers=(-H "Idempotency-Key: quickstart-1" -H "Teaselpitch-Account: quickstart")
  status=$(curl -s -o /dev/null -w '%{http_code}' -X POST --data deposit "${key_headers[@]}" \
    -H "Host: ${services[0]}.example" -H "X-Call-Id: keyed-$attempt" \
    "http://${callers[$((attempt % ${#callers[@]}))]}/work")
  [ "$status" = 200 ] || fail "keyed request, send $attempt: status $status"
done
runs=0
for p in $(seq 7601 "$port"); do
  runs=$((runs + $(curl -sf "http://127.0.0.1:$p/_executions?from=0" | grep -c 'quickstart-1' || true)))
done
[ "$runs" = 1 ] || fail "the keyed request ran $runs times"
echo "keyed request sent twice through two nodes: ran once"

refused=$(curl -s -o /dev/null -w '%{http_code}' "http://${callers[0]}/nowhere")
[ "$refused" = 404 ] || fail "a path without a route got status $refused"

echo "== status"
"$bin/teaselpitchctl" "${nodes_option[@]}" status || fail "status"
echo "== burn"
"$bin/teaselpitch-burn" --node "${admins[0]}" | tee "$work/burn" || fail "burn report"
grep -q "^${services[0]} " "$work/burn" || fail "the burn report does not name ${services[0]}"
if [ "$keep" -gt 0 ]; then
  echo "running for $keep s: callers at ${callers[*]}, admin at ${admins[*]}"
  sleep "$keep"
fi
echo "quickstart: everything was right"
