#!/bin/sh
# Installs the Debian packages that the build and the tests need.
set -eu
cd "$(dirname "$0")/.."
missing=
for package in $(cat tools/packages.txt); do
	dpkg -s "$package" >/dev/null 2>&1 || missing="$missing $package"
done
test -z "$missing" && exit 0
apt-get update -qq
DEBIAN_FRONTEND=noninteractive apt-get install -y -qq $missing >/dev/null
