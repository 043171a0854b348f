#!/bin/sh
# Needs the build of the deploy file and review/build.sh. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../../.." || exit 2
[ -x target/review/case_early_answer ] || exit 2
exec target/review/case_early_answer review/beside/early-answer
