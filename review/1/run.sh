#!/bin/sh
# Plays the case. Exit code: 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the
# disruption. What was sent, answered and run stands in record.txt beside this script.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
if [ ! -x "$root/bin/hollymast" ]; then
	echo "bin/hollymast is missing: build with the command of deploy/balancer.toml first" >&2
	exit 2
fi
[ -x "$root/bin/review-standin" ] || "$root/review/build.sh" || exit 2
exec "$root/bin/review-standin" stop "$root" "$folder"
