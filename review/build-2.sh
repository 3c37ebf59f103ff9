#!/bin/sh
# Builds what the scripts of the second review start: their own stand-ins and the project's, without a network.
set -e
cd "$(dirname "$0")/.."
CARGO_TARGET_DIR=target/review-2 cargo build --release --locked --offline --manifest-path review/stand-ins-2/Cargo.toml
