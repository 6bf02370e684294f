#!/usr/bin/env bash
# Plays the case 'wall', see claim.txt and review/standin/wall.go. It exits with 1 if the rule was broken, 0 if it held, and 2 if
# the case could not run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/rilld ] && [ -x target/review/standin ] || { echo "build first: the deploy file's build, then review/build.sh" >&2; exit 2; }
exec target/review/standin wall "$folder/record.txt"
