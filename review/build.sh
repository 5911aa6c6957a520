#!/bin/sh
# Builds the stand-ins of the cases. The programs of the project come from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")/.."
go build -o target/review-standins ./review/.standins
