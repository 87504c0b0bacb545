#!/bin/sh
# Builds the stand-ins of the cases. It needs only the compiler and its standard library.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
rustc --edition 2024 -O -A dead_code -o target/review/stand-in review/stand-in/main.rs
