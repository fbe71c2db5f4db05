#!/usr/bin/env bash
# Builds the program that the scripts of the cases start: the stand-ins, the callers and the
# checks. The project's own program is built as the deploy file says.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review/ ./review/harness
