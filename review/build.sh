#!/usr/bin/env bash
# The stand-ins of the cases are Python and need no build: checks that they can be loaded.
set -euo pipefail
cd "$(dirname "$0")"
PYTHONDONTWRITEBYTECODE=1 python3 -c 'import support.standins, support.fleet, support.client'
