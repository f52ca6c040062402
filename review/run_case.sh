#!/bin/sh
# Runs the case in the folder that is given.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/.." || exit 2
python3 "review/$1/case.py" &
case_pid=$!
trap 'kill "$case_pid"' TERM INT
wait "$case_pid"
code=$?
trap - TERM INT
if [ "$code" -gt 128 ]; then
    wait "$case_pid"
fi
case $code in
0) exit 0 ;;
10) exit 1 ;;
*) exit 2 ;;
esac
