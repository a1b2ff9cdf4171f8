#!/bin/sh
# Builds the stand-ins of the cases 6 to 10 (review/standin2) into bin/, beside the project's programs, which the command of deploy/balancer.toml
# builds. It needs the standard library only.
cd "$(dirname "$0")/.." || exit 1
mkdir -p bin && go build -o bin/review2 ./review/standin2
