#!/bin/sh
# Builds the stand-ins of the cases. They need Python 3.11 or newer and nothing else, so this only
# checks that and compiles them. The instances come from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
python3 -c 'import sys; sys.exit(sys.version_info < (3, 11))'
python3 -m compileall -q standins [0-9]
