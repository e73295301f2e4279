#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. Needs no network once the router was built.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/review-kit-2 ./review/_kit2
