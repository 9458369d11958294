#!/bin/sh
# Builds the stand-ins of the cases into build/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p build/review
for source in review/*/case.c; do
	number=$(basename "$(dirname "$source")")
	gcc -std=gnu11 -D_GNU_SOURCE -O2 -Wall -Wextra -Wno-format-truncation -Ireview/standin \
		-o "build/review/case$number" "$source" review/standin/*.c \
		-pthread
done
