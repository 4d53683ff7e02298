#!/bin/sh
# Installs the required packages, builds, and runs every test.
# The last line is "N passed, N failed".
set -eu
cd "$(dirname "$0")/.."
tools/install-packages.sh
tools/build.sh build
exec tools/run-tests.sh build
