#!/usr/bin/env bash
# Builds the stand-ins of the second review. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
go build -o target/review2/stand ./review/stand2
