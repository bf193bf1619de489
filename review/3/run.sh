#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
python3 3/play.py &
child=$!
trap 'kill -TERM "$child"' INT TERM
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do
    wait "$child"
    status=$?
done
# play.py exits with 41 if the rule was broken; Python itself exits with 1 if it fails.
case $status in
0) exit 0 ;;
41) exit 1 ;;
*) exit 2 ;;
esac
