#!/usr/bin/env bash
# Exits with 1 if LOST was broken, 0 if it held and 2 if the case could not run; TROUBLE=0: clients read at once.
cd "$(dirname "$0")" && exec python3 case.py
