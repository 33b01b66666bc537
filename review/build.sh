#!/usr/bin/env bash
# Checks the stand-ins that the scripts start. They are Python (standard library only) and need no build; the
# instances are those of the deploy file's build.
set -euo pipefail
cd "$(dirname "$0")"
for file in rig/rig.py ./[0-9]/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
test -x ../target/release/fescue-instance
