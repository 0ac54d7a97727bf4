#!/usr/bin/env bash
# Guards against changed exit codes and against notes that pass `validate` although the daemons would refuse them. Needs no daemon.
# Usage: offline_test.sh GREENGAGECHUTECTL
set -uo pipefail

tool=$1
directory=$(mktemp -d)
trap 'rm -rf "$directory"' EXIT
failures=0

# expect NAME CODE PATTERN COMMAND...: the exit code and a pattern in the output of a command.
expect() {
  local name=$1 code=$2 pattern=$3
  shift 3
  local output status
  output=$("$@" 2>&1)
  status=$?
  if [ "$status" -ne "$code" ] || ! grep -q -e "$pattern" <<<"$output"; then
    echo "FAILED: $name: exit $status instead of $code, or no '$pattern' in:"
    echo "$output"
    failures=$((failures + 1))
  fi
}

key=$directory/operator.key
echo "operator-key-for-tests" >"$key"
note=$directory/note.json
"$tool" sample-note --divided returns-ledger:ledger:3:7101 --undivided condition-desk:desk:2:7201 >"$note" || failures=$((failures + 1))

expect "overview" 0 "Exit codes" "$tool" --help
expect "no command" 2 "Usage" "$tool"
expect "unknown command" 2 "Usage" "$tool" restart
for command in validate submit status dump drain sample-note explain; do
  expect "help of $command" 0 "--help" "$tool" "$command" --help
done
expect "explain without a file" 2 "log files of the hosts are needed" "$tool" explain id
expect "explain with a missing file" 2 "cannot be read" "$tool" explain id "$directory/none"
echo '{"time":"2026-01-02T03:04:05.000006Z","level":"info","host":"a","event":"request_accepted","request":"id"}' >"$directory/log"
expect "explain" 0 "request_accepted" "$tool" explain id "$directory/log"
expect "explain of an unknown request" 1 "no line" "$tool" explain other "$directory/log"
expect "unknown option" 2 "unknown option" "$tool" status --force
expect "status without a host" 2 "--host is needed" "$tool" status
expect "host name instead of an address" 2 "numeric address" "$tool" status --host localhost:1
expect "IPv6 address without brackets" 2 "numeric address" "$tool" status --host ::1:8081
expect "submit without a note" 2 "release note is needed" "$tool" submit --host 127.0.0.1:1 --key-file "$key"
expect "submit without a key" 2 "--key-file is needed" "$tool" submit "$note" --host 127.0.0.1:1
expect "key file that does not exist" 2 "cannot read" "$tool" drain --host 127.0.0.1:1 --key-file "$directory/none"
expect "drain with two hosts" 2 "exactly one --host" "$tool" drain --host 127.0.0.1:1 --host 127.0.0.1:2 --key-file "$key"
expect "timeout out of range" 2 "--timeout" "$tool" status --host 127.0.0.1:1 --timeout 0
expect "sample service without a port" 2 "SERVICE:PREFIX:COUNT:PORT" "$tool" sample-note --divided returns-ledger:ledger:3
expect "partitions that are no power of two" 2 "power of two" "$tool" sample-note --divided a:b:1:7101 --partitions 100
expect "services that share addresses" 2 "no valid note" "$tool" sample-note --divided a:a:2:7101 --divided b:b:2:7102

expect "valid note" 0 "valid: 7 changes" "$tool" validate "$note"
expect "valid note from standard input" 0 "valid: 7 changes" "$tool" validate - <"$note"
expect "valid note as JSON" 0 '"applied":true' "$tool" validate "$note" --json
expect "note that does not exist" 2 "cannot read" "$tool" validate "$directory/none.json"
echo '{' >"$directory/broken.json"
expect "malformed note" 1 "(501)" "$tool" validate "$directory/broken.json"
sed 's/"divided": true/"divided": "yes"/' "$note" >"$directory/type.json"
expect "wrong type" 1 "(504) at changes\[0\].divided" "$tool" validate "$directory/type.json"
sed 's/"service": "condition-desk"/"service": "other"/;' "$note" | sed '0,/"service": "other"/s//"service": "condition-desk"/' >"$directory/reference.json"
expect "server of an unknown service" 1 "(510)" "$tool" validate "$directory/reference.json"
sed 's/"checks_grants": true/"checks_grants": false/' "$note" >"$directory/unchecked.json"
expect "divided service on servers that do not check orders" 1 "(524) at changes\[" "$tool" validate "$directory/unchecked.json"
sed 's/"base_revision": 0/"base_revision": 7/' "$note" >"$directory/later.json"
expect "note on a later base" 0 "form only" "$tool" validate "$directory/later.json"
expect "invalid note is not submitted" 1 "(501)" "$tool" submit "$directory/broken.json" --host 127.0.0.1:1 --key-file "$key"

# Port 1 of the loopback address refuses connections.
expect "unreachable host" 3 "no host can be reached" "$tool" status --host 127.0.0.1:1 --host 127.0.0.1:1
expect "submission to an unreachable host" 3 "no host can be reached" "$tool" submit "$note" --host 127.0.0.1:1 --key-file "$key"

[ "$failures" -eq 0 ] && echo "all checks passed"
exit "$((failures > 0))"
