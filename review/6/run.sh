#!/usr/bin/env bash
# Exits with 1 if OWNER was broken, 0 if it held and 2 if the case could not run; TROUBLE=0 leaves the entry out.
cd "$(dirname "$0")" && exec python3 case.py
