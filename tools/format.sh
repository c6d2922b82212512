#!/bin/sh
# Runs clang-format with the given options over all sources.
set -eu
sh tools/sources.sh | xargs clang-format "$@"
