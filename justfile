# List the recipes.
default:
    @just --list

# Run the formatter, the linter and the tests, as CI does.
ci:
    .ci/run

# Run the complete path in one process, with stand-ins.
demo *ARGS:
    cargo run --release -- demo {{ARGS}}

# Run COUNT seeded fault schedules, from SEED on.
faults SEED="0" COUNT="2000" *ARGS:
    cargo run --release -- faults --from {{SEED}} --count {{COUNT}} {{ARGS}}

# Soak the real daemons under faults, COUNT seeds from SEED on.
soak SEED="1" COUNT="50" *ARGS:
    cargo run --release -- soak --seed {{SEED}} --count {{COUNT}} {{ARGS}}

# Format the sources.
fmt:
    cargo fmt --all

# Lint the sources.
lint:
    cargo clippy --workspace --all-targets -- -D warnings

# Run the tests.
test:
    cargo test --locked --workspace

# Generate the wire types of src/border from docs/schema; needs cargo-typify.
generate:
    cargo typify --no-builder --output src/border/endpoint_wire.rs docs/schema/endpoint.json

# Measure the resources of the control planes of many daemons; prints the tables of docs/CAPACITY.md.
capacity: (capacity-runs "target/release/lentillead" "target/capacity")

[private]
capacity-runs BIN OUT:
    #!/usr/bin/env bash
    set -euo pipefail
    cargo build --release
    mkdir -p '{{OUT}}' && rm -f '{{OUT}}'/*.json
    run() { '{{BIN}}' capacity run --settle 35 --seconds 15 --series "$1" "${@:3}" > "{{OUT}}/$1-$2.json"; }
    for n in 025-1 050-2 075-3 100-4; do
      run daemons $n --daemons $((10#${n%-*})) --zones ${n#*-} --endpoints 1500 &
    done
    for n in 010 025 050 100; do run zone $n --daemons $((10#$n)) --zones 1 --endpoints 1500 & done
    wait
    for n in 00375 01500 04000 11000; do run endpoints $n --zones 1 --endpoints $((10#$n)) & done
    for n in 0 1 3 6.13; do run changes $n --zones 1 --endpoints 1500 --changes $n & done
    for n in 05 10 20; do
      run rules $n --zones 1 --endpoints 1500 --changes 1 --rules $((10#$n)) &
    done
    wait
    cat '{{OUT}}'/*.json > '{{OUT}}/points'
    '{{BIN}}' capacity table '{{OUT}}/points'
    '{{BIN}}' capacity layouts
    '{{BIN}}' capacity faults

# Write the shipped traces, see docs/TRACES.md.
traces:
    #!/usr/bin/env bash
    set -euo pipefail
    for profile in kovacsreti trin-cymru; do
      for scenario in steady morning-burst evening long-histories hot-prefix failing-endpoint stalled-link; do
        cargo run --quiet -- trace make --scenario $scenario --profile $profile > traces/$profile-$scenario.jsonl
      done
    done

# Replay the shipped traces through the daemons and two baselines.
replay *ARGS:
    cargo run --release -- replay traces/*.jsonl {{ARGS}}

# Start the stand-ins of the README's worked example; an interrupt ends them.
stand-ins: build
    #!/usr/bin/env bash
    trap 'kill $(jobs -p)' EXIT
    target/debug/lentillead fake platform --settings examples/kovacsreti/platform.yaml &
    target/debug/lentillead fake engine --settings examples/kovacsreti/prefill.yaml &
    target/debug/lentillead fake engine --settings examples/kovacsreti/decode.yaml &
    target/debug/lentillead fake service --settings examples/kovacsreti/service.yaml &
    wait

# Build for development.
build:
    cargo build --locked
