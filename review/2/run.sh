#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves the
# disruption out. Run it after deploy/build and review/build.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/runtime/bin/java ] && [ -d target/review ] || exit 2
exec target/runtime/bin/java -cp 'target/review:target/router/*' LeavingRunner review/2 "${TROUBLE:-1}" "$@"
