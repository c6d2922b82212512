#!/bin/sh
# Builds the stand-ins that the scripts of the review cases start, into
# target/review.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
cc -std=c17 -O1 -Wall -Wextra -Werror -pthread -o target/review/standin \
	review/standin/standin.c
