#!/bin/sh
# Builds the stand-ins that the scripts start. They are Python 3.11 without further packages (review/standins/fleet.py),
# so there is nothing to compile: this checks that they load.
cd "$(dirname "$0")/standins" && exec python3 -c 'import sys; sys.dont_write_bytecode = True; import fleet; print("stand-ins: ok")'
