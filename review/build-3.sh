#!/bin/sh
# Builds the stand-ins of the cases 11 to 15 into target/review/.
set -eu

cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standin-3/case*.c; do
	name=$(basename "$source" .c)
	${CC:-gcc} -std=c11 -O2 -g -Wall -Wextra -D_GNU_SOURCE \
		-o "target/review/$name" "$source" review/standin-3/rig.c \
		review/standin-3/store.c review/standin-3/daemons.c \
		review/standin-3/server.c review/standin-3/client.c \
		-ljansson -lpthread
done
