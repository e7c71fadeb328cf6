#!/bin/bash
# Formatting, vet, and all tests under the race detector. Needs the Go tool chain and a C compiler; no network.
set -eu
cd "$(dirname "$0")"
export GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local
unformatted=$(gofmt -l cmd decide internal)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
go test -race -count=1 ./...
