# Runs the case in the folder of the calling script: its program, which review/build-2.sh has built, with a temporary
# folder and the deploy file's command. Every process of the case is ended at the end.
# Exit code: 1 the rule was broken, 0 it held, 2 the case could not run.
case_folder=$(cd "$(dirname "$0")" && pwd) || exit 2
ROOT=$(cd "$case_folder/../.." && pwd) || exit 2
RUN=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$ROOT/deploy/balancer.toml")
RECORD=$case_folder/record.txt
CASE_TMP=$(mktemp -d) || exit 2
export ROOT RUN RECORD CASE_TMP
export TROUBLE=${TROUBLE:-1}
mkdir "$CASE_TMP/tmp"
program=$ROOT/build-review-2/case-$(basename "$case_folder")
finish() {
  [ -z "${case_pid:-}" ] || kill -KILL -- "-$case_pid" 2>/dev/null
  rm -rf "$CASE_TMP"
}
trap finish EXIT
trap 'exit 2' INT TERM HUP
if [ ! -x "$program" ] || [ -z "$RUN" ]; then
  echo "could not run: build first (the deploy file's build, then review/build-2.sh)" | tee "$RECORD"
  exit 2
fi
setsid timeout -k 2 110 "$program" &
case_pid=$!
wait "$case_pid"
code=$?
[ "$code" = 0 ] || [ "$code" = 1 ] || code=2
tail -n 1 "$RECORD"
exit "$code"
