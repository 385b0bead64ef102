#!/usr/bin/env bash
# Plays the case against real daemons; see claim.txt. Exit status: 1 broken, 0 held, 2 could not run.
cd "$(dirname "$0")" || exit 2
exec python3 ../standins.py old_lease .
