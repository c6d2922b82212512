#!/bin/sh
# Runs clang-format with the given options on all C and C++ sources.
set -eu
sh tools/sources.sh | xargs clang-format "$@"
