# List the recipes.
default:
    @just --list

# Formatter, linter and tests, as CI runs them.
ci:
    .ci/run

# The whole path in one process, with stand-ins.
demo *ARGS:
    cargo run --release -- demo {{ARGS}}

# Format the sources.
fmt:
    cargo fmt --all

# Lint the sources.
lint:
    cargo clippy --all-targets -- -D warnings

# Run the tests.
test:
    cargo test --locked

# Generate the wire types of src/border from docs/schema; needs cargo-typify.
generate:
    cargo typify --no-builder --output src/border/endpoint_wire.rs docs/schema/endpoint.json
