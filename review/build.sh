#!/usr/bin/env bash
# Builds the stand-ins of the scripts in review/. The build line of deploy/system.toml comes first.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../../target/review
go build -o ../../target/review/ .
