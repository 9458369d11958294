#!/bin/sh
# Builds the stand-ins of the scripts of the second review into target/review-2.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for name in 6 7 8 9 10; do
	[ -f "review/$name/script.c" ] || continue
	${CC:-gcc} -std=gnu11 -O2 -Wall -Wextra -Ireview/lib-2 \
		review/lib-2/standin.c "review/$name/script.c" \
		-o "target/review-2/case-$name" -ljansson -lpthread
done
