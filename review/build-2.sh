#!/usr/bin/env bash
# Builds the stand-ins of the second review. The build of the deploy file comes first.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review2
cd review/stand2
go vet .
go build -o ../../target/review2/stand .
