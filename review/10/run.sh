#!/bin/sh
# Plays the case pending of the second review; see claim.txt. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
if [ ! -x "$root/target/entryd" ] || [ ! -x "$root/target/review-2" ]; then
	echo "cannot run: build the deploy file and review/build-2.sh first"
	exit 2
fi
exec "$root/target/review-2" -root "$root" -case pending -dir "$here"
