#!/usr/bin/env bash
# Plays the case. Exit code: 1 rule broken, 0 held, 2 could not run. TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
export TROUBLE="${TROUBLE:-1}"
[ -x target/tamarackcross ] && [ -x target/review2/stand ] || { echo "build first: the build of the deploy file, then review/build-2.sh"; exit 2; }
exec timeout -k 5 110 target/review2/stand --case drain --record review/9/record.txt
