#!/usr/bin/env bash
# Checks format, vet and lint of the whole module. Usage: lint.sh STATICCHECK
set -euo pipefail

unformatted=$(gofmt -l $(git ls-files '*.go'))
if [ -n "$unformatted" ]; then
  printf 'gofmt: not formatted:\n%s\n' "$unformatted" >&2
  exit 1
fi
go vet ./...
"$1" ./...
echo "lint: clean"
