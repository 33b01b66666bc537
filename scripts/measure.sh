#!/usr/bin/env bash
# Builds everything, then measures; the last lines are `name value`, one for each figure.
#
#   scripts/measure.sh [--quick] [--report DIR] [--deployment NAME]... [--only EXPERIMENT]...
set -euo pipefail
cd "$(dirname "$0")/.."

cargo build --release --workspace --bins
exec cargo run --quiet --release -p fescue-bench --bin fescue-load -- measure "$@"
