#!/usr/bin/env bash
# Builds the stand-ins of the scripts of this review into target/. Needs no network.
set -euo pipefail
cd "$(dirname "$0")/stand3"
go build -o ../../target/review-stand3 .
