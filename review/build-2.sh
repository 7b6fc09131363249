#!/usr/bin/env bash
# Builds what the scripts of this review start beside the programs of the deploy file. It needs no
# network: the stand-ins use the standard library alone.
set -eu
cd "$(dirname "$0")/stand-2"
exec cargo build --release --offline
