#!/usr/bin/env bash
# Prints the slopes that docs/CAPACITY.md uses, one `name value unit` a line; about six minutes.
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --quiet --release --workspace --bins
exec cargo run --quiet --release -p fescue-bench --bin fescue-load -- slopes "$@"
