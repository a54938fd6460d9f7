#!/bin/sh
# Case 7: exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the disruption
# out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/world-2/target/release/review-world-2 ] || { echo "review/build-2.sh has not been run"; exit 2; }
exec review/world-2/target/release/review-world-2 wanted-ready review/7
