#!/bin/sh
# Builds the stand-ins of the review's cases into bin/, beside the project's own programs. It needs no network once the
# project itself was built: it uses the modules that the project uses.
set -e
cd "$(dirname "$0")/.."
mkdir -p bin
go build -o bin/review-standin ./review/standin
