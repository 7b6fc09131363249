#!/usr/bin/env bash
# Exits with 1 if the rule was broken, with 0 if it held, with 2 if the case could not run.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
play=../stand-2/target/release/stand-2
daemon=../../target/release/cassiarockd
[ -x "$play" ] && [ -x "$daemon" ] || { echo "build the deploy file and run review/build-2.sh first"; exit 2; }
exec "$play" quick-restart "$daemon" record.txt
