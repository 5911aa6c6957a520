#!/bin/sh
# Starts a small deployment on the loopback address, runs real requests against
# it and stops all processes by their IDs. With "latency" or "idle", measures
# calls or idle daemons instead.
set -u
cd "$(dirname "$0")/.." || exit 1
dir=.demo/run.$$
mkdir -p "$dir"
ids=""

stop() {
	for id in $ids; do kill -TERM "$id" 2>/dev/null; done
	for id in $ids; do wait "$id" 2>/dev/null; done
}
trap 'stop; exit 1' INT TERM

bin/demo layout "$dir" || exit 1
while read -r name command; do
	# shellcheck disable=SC2086
	bin/$command >"$dir/$name.log" 2>&1 &
	ids="$ids $!"
	echo $! >"$dir/$name.pid"
done <"$dir/processes"
bin/demo "${1:-check}" "$dir"
status=$?
stop
[ "$status" -eq 0 ] && rm -r "$dir"
exit "$status"
