#!/bin/sh
# Generates the C code of messages/quarantine.x in generated/ with rpcgen.
set -eu
cd "$(dirname "$0")/.."
cp messages/quarantine.x quarantine_messages.x
rm -f generated/quarantine_messages.h generated/quarantine_messages_xdr.c
rpcgen -h -o generated/quarantine_messages.h quarantine_messages.x
rpcgen -c -o generated/quarantine_messages_xdr.c quarantine_messages.x
rm quarantine_messages.x
