#!/bin/sh
# Copies the files that the operators' bench requires beside a site file (names on the sockets and on the wire, kinds of trouble)
# from a kit folder into this folder. Git ignores the copies.
set -eu
if [ $# -ne 1 ] || [ ! -f "$1/wire.json" ]; then
	echo "usage: deploy/sites/lay.sh FOLDER    a kit folder with real.json, wire.json and unlock.txt" >&2
	exit 2
fi
for name in real.json wire.json unlock.txt; do
	cp "$1/$name" "$(dirname "$0")/$name"
done
