#!/usr/bin/env bash
# Shows the fleet on this machine: installs what is missing, builds, starts
# stand-ins for the outside systems, sides and an entry on loopback ports chosen
# by the kernel, sends a streamed and a non-repeatable request, and stops all.
# Usage: scripts/demo.sh [BUILD-FOLDER]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}

scripts/install.sh
command -v curl >/dev/null ||
  DEBIAN_FRONTEND=noninteractive apt-get install -y --no-install-recommends curl
scripts/build.sh "$build"

main=$build/jackdawshunt/cli/jackdawshunt
stand_ins=$build/jackdawshunt/testing/jackdawshunt_stand_ins
folder=$(mktemp -d)
pids=()

# Ends all processes gracefully, and by force those that run after 20 s.
stop_all() {
  for pid in "${pids[@]}"; do
    kill "$pid" 2>/dev/null || true
  done
  for ((i = 0; i < 200; ++i)); do
    local running=0
    for pid in "${pids[@]}"; do
      kill -0 "$pid" 2>/dev/null && running=1
    done
    ((running)) || break
    sleep 0.1
  done
  for pid in "${pids[@]}"; do
    if kill -9 "$pid" 2>/dev/null; then
      echo "process $pid did not end by itself" >&2
    fi
    wait "$pid" 2>/dev/null || true
  done
  rm -rf "$folder"
}
trap stop_all EXIT

# start NAME COMMAND...: runs a process and waits for its ports file.
start() {
  local name=$1
  shift
  "$@" >"$folder/$name.log" 2>&1 &
  pids+=($!)
  for ((i = 0; i < 600; ++i)); do
    [[ -s $folder/$name.ports ]] && return
    kill -0 $! 2>/dev/null || break
    sleep 0.1
  done
  echo "$name did not start:" >&2
  cat "$folder/$name.log" >&2
  exit 1
}

# port NAME FIELD: reads a port from a ports file.
port() {
  grep -o "\"$2\": *[0-9]*" "$folder/$1.ports" | grep -o '[0-9]*$'
}

stand_in() {
  local name=$1
  shift
  start "$name" "$stand_ins" "$@" --ports-file "$folder/$name.ports"
}

# settings NAME EXTRA: writes a settings file.
settings() {
  cat >"$folder/$1.json" <<EOF
{
  "instance": "$1", "region": "demo", "data_centre": "demo-a",
  "fleet_key": "demo-fleet-key-0123456789",
  "process": "127.0.0.1:0", "operator": "127.0.0.1:0",
  "operator_token_sha256": "$(printf operator | sha256sum | cut -d' ' -f1)",
  "platform": "127.0.0.1:$(port platform port)",
  "ports_file": "$folder/$1.ports",
  $2
}
EOF
}

record() {
  curl -sf -o "$folder/reply" -X PUT \
    "http://127.0.0.1:$(port platform port)/objects/config/$1/$2" \
    -d "{\"kind\":\"$1\",\"schema\":1,\"name\":\"$2\",\"spec\":$3}"
}

register() {
  curl -sf -o "$folder/reply" -X PUT \
    "http://127.0.0.1:$(port platform admin_port)/admin/instances/$1" -d "{
    \"instance\":\"$1\",\"role\":\"$2\",\"region\":\"demo\",
    \"data_centre\":\"demo-a\",\"process\":\"127.0.0.1:$(port "$1" process)\",
    \"operator\":\"127.0.0.1:$(port "$1" operator)\",\"state\":\"live\"}"
}

wait_ready() {
  for ((i = 0; i < 600; ++i)); do
    curl -sf -o "$folder/reply" \
      "http://127.0.0.1:$(port "$1" operator)/readyz" && return
    sleep 0.1
  done
  echo "$1 is not ready:" >&2
  cat "$folder/$1.log" >&2
  exit 1
}

echo "== Starting the platform, two engines and a plain service (stand-ins)"
stand_in platform platform
stand_in engine-0 engine --step-ms 30
stand_in engine-1 engine --step-ms 30
stand_in holds service

echo "== Writing the records"
token=demo-token
record model writer '{"versions":["v1"]}'
record model holds '{"routes":[{"method":"POST","path_prefix":"/"}]}'
record workspace lodge "{\"share\":1,\"models\":[\"writer\",\"holds\"],
  \"token_sha256\":\"$(printf %s "$token" | sha256sum | cut -d' ' -f1)\"}"
for upstream in engine-0 engine-1; do
  record upstream $upstream '{"driver":"engine","models":["writer"],"slots":4}'
done
record upstream holds '{"driver":"service","models":["holds"],"slots":4}'

echo "== Starting a side beside each upstream, and an entry"
for upstream in engine-0 engine-1 holds; do
  settings "side-$upstream" "\"upstream\": \"$upstream\",
  \"upstream_address\": \"127.0.0.1:$(port $upstream port)\""
  start "side-$upstream" "$main" side --settings "$folder/side-$upstream.json"
  register "side-$upstream" side
done
settings entry-0 '"caller": "127.0.0.1:0", "drain_lag_ms": 100'
start entry-0 "$main" entry --settings "$folder/entry-0.json"
register entry-0 entry
for process in side-engine-0 side-engine-1 side-holds entry-0; do
  wait_ready $process
done
entry=http://127.0.0.1:$(port entry-0 caller)

echo "== A streamed answer"
curl -sfN -H "Authorization: Bearer $token" "$entry/v1/chat/completions" -d '{
  "model": "writer", "stream": true, "max_tokens": 32, "messages": [
    {"role": "user", "content": "Is the ballroom free? [[tokens=6]]"}]}' |
  tee "$folder/stream"
grep -q '^data: \[DONE\]' "$folder/stream"

echo "== A non-repeatable call, sent twice with one Idempotency-Key"
hold() {
  curl -sf -X POST -H "Authorization: Bearer $token" \
    -H "Idempotency-Key: hold-1" "$entry/services/holds/rooms/ballroom" \
    -d '{"guests":200}'
}
hold
echo
# Until the outcome of the first call is recorded, the second one is answered
# as a duplicate.
for ((i = 0; i < 100; ++i)); do
  hold >"$folder/repeated" && break
  sleep 0.1
done
cat "$folder/repeated"
echo
calls=$(curl -sf "http://127.0.0.1:$(port holds admin_port)/admin/calls")
echo "== The calls that the service ran, by body"
echo "$calls"
grep -qF '"{\"guests\":200}":1' <<<"$calls"

echo "== Stopping all processes"
