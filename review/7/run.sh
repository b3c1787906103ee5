#!/usr/bin/env bash
# Plays the case and writes to record.txt, in this folder, what was sent, answered and run. Exits with 1 if the rule
# was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
exec python3 case.py
