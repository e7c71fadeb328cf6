#!/bin/bash
# Formatting, vet, staticcheck, all tests under the race detector but those of KNOWN-RED.txt, and a bounded stretch of fuzzing. Needs the Go tool chain and a C compiler; no network.
set -euo pipefail
cd "$(dirname "$0")"
export GOFLAGS=-buildvcs=false GOPROXY=off GOTOOLCHAIN=local
unformatted=$(gofmt -l cmd decide internal)
if [ -n "$unformatted" ]; then
	printf 'not formatted by gofmt:\n%s\n' "$unformatted"
	exit 1
fi
go vet ./...
# Pinned in go.mod as a tool. The wrong nodes of rehearsals are built with a tag.
go tool staticcheck ./...
go tool staticcheck -tags faulty ./internal/node ./cmd/indigotack
# Tests that are known to fail are passed over, and named each time.
known_red=$(sed -e '/^#/d' -e '/^[[:space:]]*$/d' KNOWN-RED.txt)
red_names=$(printf '%s' "$known_red" | cut -d'|' -f1 | tr -d ' ' | sed 's#/#$/^#g; s#.*#^&$#' | paste -sd'|' -)
if [ -n "$known_red" ]; then
	printf 'known to fail, not run:\n%s\n' "$known_red"
	if [ "$(printf '%s\n' "$known_red" | wc -l)" -gt 3 ]; then
		echo 'KNOWN-RED.txt has over three tests'
		exit 1
	fi
fi
skip=(${red_names:+-skip="$red_names"})
# What keeps all cores busy comes one after another: other tests measure times.
heavy='/(internal/(rig|view|peers)|cmd/indigotack)$'
go test -race -count=1 "${skip[@]}" $(go list ./... | grep -vE "$heavy")
go test -race -count=1 "${skip[@]}" -p 1 $(go list ./... | grep -E "$heavy")
# A count rather than a time, so that a busy machine gives the same verdict.
fuzz() { go test -run='^$' -fuzz="^$2\$" -fuzztime=20000x "./internal/$1" | grep -v '^fuzz: elapsed'; }
fuzz conf FuzzTree
fuzz appconfig FuzzParse
fuzz route FuzzClean
fuzz rig FuzzPlan
fuzz peers FuzzState
