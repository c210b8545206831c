#!/bin/sh
# Plays the case of this folder: 0 the rule held, 1 it was broken, 2 the case couldn't run.
# TROUBLE=0 leaves out the disruption.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
cd "$here/../.." || exit 2
[ -x "$here/play" ] && [ -x build/postspread_gateway ] || { echo "build first: deploy/balancer.toml, review/build.sh" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 5 100 "$here/play" "$folder" "$here/record.txt" &
child=$!
# Interrupted: the stand-ins end, and the gateways with them.
trap 'kill -TERM $child 2>/dev/null; wait $child; exit 2' INT TERM HUP
wait $child
code=$?
cat "$folder"/*.log 2>/dev/null | sed 's/^/gateway log: /' >>"$here/record.txt"
case $code in 0|1) exit $code ;; *) exit 2 ;; esac
