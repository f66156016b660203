#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
[ -f target/zinniahoist.jar ] && [ -f target/review-2/ForgottenCrashes.class ] || exit 2
result=0
timeout -k 3 115 java -Xmx400m -cp target/review-2 ForgottenCrashes review/9/record.txt || result=$?
grep -q 'verdict:' review/9/record.txt || exit 2
[ "$result" -le 1 ] || exit 2
exit "$result"
