#!/bin/sh
# Generates the C code of messages/attempt.x in generated/ with rpcgen.
set -eu
cd "$(dirname "$0")/.."
cp messages/attempt.x attempt_messages.x
rm -f generated/attempt_messages.h generated/attempt_messages_xdr.c
rpcgen -h -o generated/attempt_messages.h attempt_messages.x
rpcgen -c -o generated/attempt_messages_xdr.c attempt_messages.x
rm attempt_messages.x
