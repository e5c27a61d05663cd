#!/bin/sh
# Runs the case whose main class is $2 in the folder $1, among stand-ins that build.sh has built, and exits with 1 if the
# rule was broken, 0 if it held, and 2 if the case could not run. With TROUBLE=0 there is no disruption.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$folder/../.." && pwd)
[ -f "$root/target/quota-gateway.jar" ] && [ -d "$root/review/target/classes" ] || exit 2
temporary=$(mktemp -d) || exit 2
trap 'rm -rf "$temporary"' EXIT
java -Xmx512m -cp "$root/review/target/classes" "$2" "$root" "$temporary" "$folder/record.txt" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' INT TERM
wait "$child"
code=$?
cat "$temporary"/*.log | cut -c1-300 | head -n 60 | sed 's/^/gateway log: /' >> "$folder/record.txt"
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
exit $code
