#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 does the same without the disruption; unset or 1 is with it.
cd "$(dirname "$0")/../.." || exit 2
TROUBLE=${TROUBLE:-1}
case "$TROUBLE" in
0 | 1) export TROUBLE ;;
*)
    echo "TROUBLE is 0 or 1" >&2
    exit 2
    ;;
esac
[ -x target/review-3/case13 ] && [ -x target/release/gentianridged ] || exit 2
exec target/review-3/case13 review/13
