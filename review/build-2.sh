#!/usr/bin/env bash
# Builds what the scripts of the second review start, besides the daemon, which the deploy file builds.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-2/rig ./review/.rig-2
