#!/usr/bin/env bash
# Plays the case "replaced-together". TROUBLE=0 leaves the disruptions out. Exit code: 0 the rule held, 1 it was
# broken, 2 the case could not run. Needs the build of the deploy file and review/build-3.sh.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
[ -x target/tamarackcross ] && [ -x target/review-stand3 ] || { echo "build first"; exit 2; }
exec timeout -k 5 110 target/review-stand3 -root . -case replaced-together -record "$here/record.txt"
