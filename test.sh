#!/bin/bash
# Formatting, vet, all tests under the race detector, and a bounded stretch of fuzzing. Needs the Go tool chain and a C compiler; no network.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local
unformatted=$(gofmt -l cmd decide internal)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
# What keeps all cores busy comes one after another: other tests measure times.
heavy='/internal/(rig|view|peers)$'
go test -race -count=1 $(go list ./... | grep -vE "$heavy")
go test -race -count=1 -p 1 $(go list ./... | grep -E "$heavy")
# A count rather than a time, so that a busy machine gives the same verdict.
fuzz() { go test -run='^$' -fuzz="^$2\$" -fuzztime=20000x "./internal/$1" | grep -v '^fuzz: elapsed'; }
fuzz conf FuzzTree
fuzz appconfig FuzzParse
fuzz route FuzzClean
fuzz rig FuzzPlan
fuzz peers FuzzState
