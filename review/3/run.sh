#!/bin/bash
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -x build/oxbowspread ] && [ -x build-review/case-3 ] || exit 2
timeout --signal=KILL 110 build-review/case-3 review/3
result=$?
[ "$result" -le 2 ] || result=2
exit "$result"
