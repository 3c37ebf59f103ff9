# The two commands of the README, and what they are made of.
.PHONY: demo test tools format lint unit

DEPLOYMENT ?= examples/puzzle-world

demo: tools
	cargo build --release --locked
	cargo run --release --locked --quiet --bin beamwallctl -- lab demo $(DEPLOYMENT)

test: tools format lint unit

# cmake builds the C library that the peer sessions use.
tools:
	@command -v cmake >/dev/null 2>&1 || (apt-get update -qq && apt-get install -y -qq cmake)

format:
	cargo fmt --all --check

lint:
	cargo clippy --workspace --all-targets --locked -- -D warnings

unit:
	cargo build --workspace --bins --locked
	cargo test --workspace --locked
