#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")" || exit 2
PYTHONDONTWRITEBYTECODE=1 timeout -k 5 112 python3 case.py
case $? in
    0) exit 0 ;;
    10) exit 1 ;; # Not 1, with which Python ends after an error of the script.
    *) exit 2 ;;
esac
