#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Needs no network once the router was built.
set -eu
cd "$(dirname "$0")/.."
go build -o review/bin/review-kit ./review/_kit
