#!/bin/sh
# Builds the stand-ins of the scripts of this folder into review/bin. It needs
# what the deploy file's build has: a C compiler and libjansson.
set -eu
cd "$(dirname "$0")"
mkdir -p bin
for name in endless_event left_poison large_bodies cut_watches; do
	${CC:-cc} -O2 -Wall -o bin/$name standin/site.c standin/case.c \
		standin/$name.c -ljansson -lpthread
done
