#!/bin/sh
# Measures what three control hosts and one entry spend on a number of agents.
# Usage: scripts/slopes.sh AGENTS [further flags of slope]
set -u
cd "$(dirname "$0")/.." || exit 1
agents=$1
shift
dir=.demo/slope.$$
mkdir -p "$dir"
ids=""

stop() {
	for id in $ids; do kill -TERM "$id" 2>/dev/null; done
	for id in $ids; do wait "$id" 2>/dev/null; done
	rm -r "$dir"
}
trap 'stop; exit 1' INT TERM

bin/demo layout --entries=1 --agents=0 --no-upstreams "$dir" || exit 1
while read -r name command; do
	# shellcheck disable=SC2086
	bin/$command >"$dir/$name.log" 2>&1 &
	ids="$ids $!"
	echo $! >"$dir/$name.pid"
done <"$dir/processes"
bin/slope "$dir" --agents="$agents" "$@"
status=$?
stop
exit "$status"
