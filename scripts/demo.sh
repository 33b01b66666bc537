#!/usr/bin/env bash
# Builds everything, then runs the demo of a deployment (kammoun unless named) on free ports.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins
exec cargo run --quiet --release -p fescue-bench --bin fescue-load -- \
    demo --deployment "${1:-kammoun}"
