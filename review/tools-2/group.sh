# Starts a small group for the scripts of the review: three relays under three agents, with a line_proxy before
# each agent, and the project's stand-ins for discovery, endpoints and clients. Sourced with $case_folder set.
root=$(cd "$case_folder/../.." && pwd)
bin=$root/build-review-2
relay=$root/build/oxbowspread
record=$case_folder/record.txt
trouble=${TROUBLE:-1}
folder=
pids=()

say() { printf '%7.2f %s\n' "$(awk -v a="$EPOCHREALTIME" -v b="$started" 'BEGIN { print a - b }')" "$*" | tee -a "$record"; }

end() {
  for pid in "${pids[@]}"; do kill -KILL "$pid" 2>/dev/null; done
  wait "${pids[@]}" 2>/dev/null
  sleep 0.2
  # Relays outlive their agents: those of this folder, by id.
  for proc in /proc/[0-9]*; do
    if tr '\0' ' ' <"$proc/cmdline" 2>/dev/null | grep -qF -- "--control $folder/"; then kill -KILL "${proc#/proc/}" 2>/dev/null; fi
  done
  wait 2>/dev/null
  [ -n "$folder" ] && rm -rf "$folder"
}

cannot_run() {
  say "the case could not run: $*"
  exit 2
}

# A request to one relay as a client: prints the first line of the answer, or "none".
ask_relay() { # PORT COMMAND
  local line=none
  if exec 9<>"/dev/tcp/127.0.0.1/$1"; then
    printf '%s' "$2" >&9
    IFS= read -r -t 0.4 line <&9 || line=none
    exec 9<&- 9>&-
  fi 2>/dev/null
  printf '%s\n' "${line%$'\r'}"
}
ping_relay() { ask_relay "$1" $'*1\r\n$4\r\nPING\r\n'; }

ctl() { timeout -s KILL 30 "$bin/oxbowctl" --group "$folder/site/group.yaml" "$@" 2>&1; }

leader() { ctl status | awk '$1 ~ /^host-/ && $1 == $3 { print $1; exit }'; }

begin_group() {
  : >"$record"
  started=$EPOCHREALTIME
  for program in "$relay" "$bin/oxbowagent" "$bin/oxbowctl" "$bin/oxbowstandin" "$bin/line_proxy" "$bin/platform"; do
    [ -x "$program" ] || cannot_run "$program is missing; see review/build-2.sh"
  done
  folder=$(mktemp -d "${TMPDIR:-/tmp}/rv-XXXXXX")
  trap end EXIT
  eval "$("$bin/oxbowstandin" site "$folder/site" --instances 3 --agents 3 --limit 'watch_for: 1s' \
    --limit 'observe_for: 2s')"
  # A throw-away site, for three more free ports.
  "$bin/oxbowstandin" site "$folder/ports" --instances 1 --agents 3 >/dev/null
  port_of() { sed -n "s/.*name: host-$1, address: \"127.0.0.1:\([0-9]*\)\".*/\1/p" "$2"; }
  # And three for an operator on another host, whose lines to the agents are his own.
  "$bin/oxbowstandin" site "$folder/operator" --instances 1 --agents 3 >/dev/null
  declare -gA line real
  for name in a b c; do
    real[$name]=$(port_of $name "$folder/site/group.yaml")
    line[$name]=$(port_of $name "$folder/ports/group.yaml")
    : >"$folder/line-$name"
    "$bin/line_proxy" "${line[$name]}" "${real[$name]}" "$folder/line-$name" "$record" &
    pids+=($!)
    disown
  done
  cp "$folder/site/group.yaml" "$folder/site/group-operator.yaml"
  for name in a b c; do
    port=$(port_of $name "$folder/operator/group.yaml")
    : >"$folder/operator-$name"
    "$bin/line_proxy" "$port" "${real[$name]}" "$folder/operator-$name" "$record" &
    pids+=($!)
    disown
    sed -i "s/127.0.0.1:${real[$name]}\"/127.0.0.1:$port\"/" "$folder/site/group-operator.yaml"
  done
  IFS=, read -r -a addresses <<<"$relays"
  declare -gA relay_port
  relay_port[a]=${addresses[0]##*:} relay_port[b]=${addresses[1]##*:} relay_port[c]=${addresses[2]##*:}
  if [ "${edit_configs:-}" ]; then sed -i "$edit_configs" "$folder"/site/n?.json; fi
  # The host's own agent is at its real address, the others are behind their lines.
  for name in a b c; do
    file=$folder/site/group-$name.yaml
    cp "$folder/site/group.yaml" "$file"
    for other in a b c; do
      [ $other = $name ] || sed -i "s/127.0.0.1:${real[$other]}\"/127.0.0.1:${line[$other]}\"/" "$file"
    done
  done
  for name in a b c; do
    "$bin/oxbowagent" --group "$folder/site/group-$name.yaml" --name host-$name --folder "$folder/site/host-$name" \
      --relay "$relay" ${agent_options:-} >>"$folder/$name.log" 2>&1 &
    pids+=($!)
    disown
  done
  if [ "${own_platform:-}" ]; then
    echo ok >"$folder/mode"
    "$bin/platform" "$discovery_port" 7 "$folder/mode" "$record" &
  else
    "$bin/oxbowstandin" run --discovery-port "$discovery_port" --relays "$relays" --rate 20 --out "$folder/result" \
      >/dev/null 2>&1 &
  fi
  pids+=($!)
  disown
  for ((i = 0; i < 100; ++i)); do
    [ "$(ctl status --json | grep -o '"phase":"serving"' | wc -l)" = 3 ] && [ -n "$(leader)" ] && break
    sleep 0.2
  done
  [ $i -lt 100 ] || cannot_run "the group did not start"
  sleep 3
  lead=$(leader)
  lead=${lead#host-}
  [ -n "$lead" ] || cannot_run "no agent leads"
  say "three relays serve under agents host-a, host-b, host-c; host-$lead leads"
}
