#!/bin/bash
# Builds the driver of the second review: the stand-ins and the plays of its cases.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/driver2
