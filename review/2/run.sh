#!/bin/sh
# A number of clients write large values slowly: see claim.txt.
cd "$(dirname "$0")" || exit 2
TROUBLE=${TROUBLE:-1} exec /bin/sh ../run-case.sh . SlowBodies # 0: the same without the disruption
