#!/bin/sh
# Regenerates the XDR code in generated/ from messages/quota.x with rpcgen.
set -eu
cd "$(dirname "$0")/.."
cp messages/quota.x quota_messages.x
rm -f generated/quota_messages.h generated/quota_messages_xdr.c
rpcgen -h -o generated/quota_messages.h quota_messages.x
rpcgen -c -o generated/quota_messages_xdr.c quota_messages.x
rm quota_messages.x
