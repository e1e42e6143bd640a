#!/usr/bin/env bash
# Kills the processes that read the store, and then has a leaf leave without a report. TROUBLE=0 kills nothing.
# Exits with 1 if the rule DRAIN was broken, 0 if it held, 2 if the case couldn't run.
set -uo pipefail
here="$(cd "$(dirname "$0")" && pwd)"
cd "$here/../.." || exit 2
[ -x target/burdock-node ] && [ -x target/review-stand ] || { echo "build first: the build line of deploy/system.toml, review/build.sh" >&2; exit 2; }
trouble=true
[ "${TROUBLE:-1}" = 0 ] && trouble=false
exec target/review-stand --scenario drain --record "$here/record.txt" --trouble=$trouble
