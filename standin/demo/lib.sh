# Functions of the demonstration scripts. DEMO_NET is the second octet of all
# addresses, DEMO_OUT the folder for files and logs. The scripts stop only processes
# that they started.

net=${DEMO_NET:-77}
out=${DEMO_OUT:-out/demo}
platform=127.$net.1.1
table=http://$platform:7001
objects=http://$platform:7002
control=http://127.$net.3.250:9001
vms=(luzon-1 luzon-2 visayas-1 visayas-2)

declare -A pids
failures=0

start() { # name command...
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  pids[$name]=$!
}

finish() {
  local name
  for name in "${!pids[@]}"; do
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
  done
}
trap finish EXIT
trap 'exit 1' INT TERM

fail() {
  echo "FAILED: $*"
  failures=$((failures + 1))
}

now_ms() { date +%s%3N; }

event() { bin/standin event --file "$out/events.jsonl" "$@"; }

# Exits if a process has exited, for example because its address is in use. The
# calls that follow would otherwise reach a process of another run.
running() {
  local name
  for name in "$@"; do
    if ! kill -0 "${pids[$name]}" 2>/dev/null; then
      cat "$out/$name.log"
      echo "FAILED: $name ended at its start"
      exit 1
    fi
  done
}

# Waits at most $2 tenths of a second until process $1 exits and sets exit_code.
# Returns 1 if it is still running.
await() {
  local tenths
  for ((tenths = 0; tenths < $2; tenths++)); do
    if ! kill -0 "${pids[$1]}" 2>/dev/null; then
      exit_code=0
      wait "${pids[$1]}" || exit_code=$?
      unset "pids[$1]"
      return 0
    fi
    sleep 0.1
  done
  return 1
}

# Starts the stand-ins, publishes the first declarations, starts the entry VMs and
# waits until all are ready.
start_all() {
  rm -rf "$out"
  mkdir -p "$out"
  bin/standin demo-files --out "$out" --net "$net"

  start platform bin/standin platform --table "$platform:7001" --objects "$platform:7002" \
    --vms "$platform:7003" --admin "$platform:7004"
  start backend bin/standin backend --config "$out/backends.json"
  bin/standin call --url "$control/control/servers" --within 5s >/dev/null
  bin/standin call --url "http://$platform:7004/admin/faults/vms" --within 5s >/dev/null
  running platform backend
  bin/cassiawind publish "$out/declarations-1" --table "$table" --objects "$objects" >"$out/publish-1.log" 2>&1
  for vm in "${vms[@]}"; do
    start "$vm" bin/cassiawind entry --settings "$out/settings-$vm.json"
  done
  for host in 1 2 3 4; do
    bin/standin call --url "http://127.$net.2.$host:8082/ready" --within 15s >/dev/null
  done
  running "${vms[@]}"
  echo "four entry VMs are ready; load runs for 30 s"
}

# Waits until the load ends and prints its report.
await_load() {
  if await load 300; then
    cat "$out/load.log"
    [ "$exit_code" -eq 0 ] || fail "the load ended with exit code $exit_code"
  else
    fail "the load did not end"
  fi
}

# Prints that every promise was kept, or returns 1 if there was a failure.
verdict() {
  [ "$failures" -eq 0 ] && echo "every promise shown was kept"
  [ "$failures" -eq 0 ]
}
