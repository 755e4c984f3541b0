#!/bin/sh
# Builds what the scripts start beside the program of the deploy file: nothing, as all stand-ins are Python (standard
# library of 3.11 or newer). Checks that the interpreter is there.
exec python3 -c 'import sys, tomllib; assert sys.version_info >= (3, 11)'
