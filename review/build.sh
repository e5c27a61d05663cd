#!/bin/sh
# Builds the stand-ins of the cases with the JDK alone; run after the build of the deploy file.
set -e
cd "$(dirname "$0")"
rm -rf target/classes
mkdir -p target/classes
javac --release 17 -Xlint:all -Werror -d target/classes $(find . -name '*.java' -not -path './target/*')
