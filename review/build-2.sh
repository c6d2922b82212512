#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start: that of
# this review, and that of the earlier one, which case 10 uses.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
${CC:-cc} -std=c17 -O2 -Wall -Wextra -o target/review-2/stand_in_2 \
	review/stand_in_2.c -pthread
sh review/build.sh
