#!/bin/sh
# Builds the stand-ins that the scripts of review/4 to review/8 start.
set -eu
cd "$(dirname "$0")/.."
go build -o review/stand-2/bin/stand-2 ./review/stand-2
