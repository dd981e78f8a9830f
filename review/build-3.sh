#!/usr/bin/env bash
# Builds the stand-ins and the clients of the cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-3 ./review/driver3
