#!/bin/sh
# Generates the Go code again. Needs protoc (Debian: protobuf-compiler).
set -e
bin=$(mktemp -d)
trap 'rm -r "$bin"' EXIT
GOBIN=$bin go install google.golang.org/protobuf/cmd/protoc-gen-go storj.io/drpc/cmd/protoc-gen-go-drpc
PATH=$bin:$PATH protoc --go_out=paths=source_relative:. --go-drpc_out=paths=source_relative:. wire.proto
