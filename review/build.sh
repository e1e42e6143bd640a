#!/usr/bin/env bash
# Builds the stand-ins that the scripts of this folder start. The program under review is built by the build line of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
