#!/usr/bin/env bash
# Runs gofmt, go vet and staticcheck on the whole module. Usage: lint.sh STATICCHECK-PROGRAM
set -euo pipefail

unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  printf 'gofmt: not formatted:\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
"$1" ./...
echo "lint: clean"
