#!/bin/sh
# Compiles the cases 6 to 10 and their stand-ins, after the build of the deploy file. Needs the JDK alone.
set -e
cd "$(dirname "$0")/.."
out=target/review-2
rm -rf "$out"
mkdir -p "$out"
find review/standins-2 review/[6-9] review/10 -name '*.java' 2>/dev/null | sort > "$out/sources.txt"
javac -Xlint:all -Werror -d "$out" @"$out/sources.txt"
