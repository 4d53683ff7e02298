#!/bin/sh
# Builds the stand-ins that the scripts of the second review start.
set -e
cd "$(dirname "$0")"
mkdir -p bin
cc -std=gnu11 -D_GNU_SOURCE -O1 -Wall -o bin/site-2 standin-2/site.c -lpthread
