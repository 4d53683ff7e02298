#!/bin/sh
# Builds the stand-in that the scripts of this review start.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-3
gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -pthread -o target/review-3/site \
	review/standin-3/site.c
