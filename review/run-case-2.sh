#!/bin/sh
# Runs one case: its folder and its main class. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
folder=$(cd "$1" && pwd) || exit 2
root=$(cd "$(dirname "$0")/.." && pwd) || exit 2
if [ ! -f "$root/target/review-2/$(echo "$2" | tr . /).class" ] || [ ! -f "$root/target/quota-gateway.jar" ]; then
    echo "not built: run the deploy file's build and review/build-2.sh" >&2
    exit 2
fi
java -cp "$root/target/review-2" "$2" "$root" "$folder/record.txt" &
child=$!
trap 'kill "$child"; wait "$child"; exit 2' INT TERM
wait "$child"
case $? in
    20) exit 0 ;;
    21) exit 1 ;;
    *) exit 2 ;;
esac
