#!/bin/sh
# Writes the XDR routines of membership.x to ../generated.
set -eu
cd "$(dirname "$0")"
rpcgen -h membership.x > ../generated/membership_xdr.h
rpcgen -c membership.x | sed 's/"membership.h"/"membership_xdr.h"/' \
	> ../generated/membership_xdr.c
