#!/bin/sh
# Builds the stand-ins of the scripts; the gateway itself is built by the deploy file's command.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
exec rustc --edition 2024 -O review/stand-ins/main.rs -o target/review/stand-ins
