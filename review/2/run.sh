#!/bin/sh
# A number of clients write large values slowly: see claim.txt.
cd "$(dirname "$0")" && exec /bin/sh ../run-case.sh . SlowBodies
