#!/usr/bin/env bash
# Builds the program that plays the cases, with its stand-ins and the project's own store, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/rig ./review/.rig
