#!/usr/bin/env bash
# Builds the driver of the cases: clients, replicas, store and proxies in one program.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-driver ./review/driver
