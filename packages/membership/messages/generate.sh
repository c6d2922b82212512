#!/bin/sh
# Generates the XDR types and routines of membership.x in ../generated.
set -eu
cd "$(dirname "$0")"
rpcgen -h membership.x > ../generated/membership_xdr.h
rpcgen -c membership.x | sed 's/"membership.h"/"membership_xdr.h"/' \
	> ../generated/membership_xdr.c
