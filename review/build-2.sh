#!/bin/sh
# Builds the stand-ins of the second review. Run from the root of the repository; the daemon itself is
# built by the command of deploy/system.toml.
set -e
mkdir -p target/review-2
for case in crowd endless trickle; do
    rustc --edition 2021 -O -A dead_code -o "target/review-2/$case" "review/standins-2/$case.rs"
done
