#!/usr/bin/env bash
# Names of the users' platform stand in platform/ and deploy/ only: its headers, paths, fields and
# variables. A hit elsewhere is something that the adapter should translate.
set -euo pipefail
cd "$(dirname "$0")/.."

names=(
    'Fescueshore-[A-Z]' 'fescueshore-(attempt|deadline|credential|tenant|expect|response|not-exec|token|length|hop|request|prompt|weight)'
    'FESCUESHORE_BOOT' 'At-Server' 'at-server' 'Server-(Limit|Leaving)' 'server-(limit|leaving)'
    '/-/' 'rows-(tx|get|feed|parts)' 'blob-(put|get|drop|list)'
    'apiKeys' 'goalMs' 'maxAttempts' 'gapTargetMs' 'healthPath' 'maxConns' 'coldLeftMs' 'layerMb' 'tokenKvBytes'
    'readX' '\bloadS\b' 'morePages' 'waitMs' 'ttlS' 'kvUsed' 'repath' 'nodeName' 'portRange' 'revokeMs' 'graceS'
    'contactMs' 'drainMs' 'retrySlack' 'fleetbench'
)
pattern=$(IFS='|'; echo "${names[*]}")
if grep -rnE "$pattern" src bench/src bench/tests tests examples --include='*.rs' --include='*.toml'; then
    echo "check-names.sh: these names belong into platform/" >&2
    exit 1
fi
