/* Procedures of the ONC RPC program between daemons. */
#ifndef CASSIA_WIRE_H
#define CASSIA_WIRE_H

#define CASSIA_PROG 0x2CA55100
#define CASSIA_VERS 1

enum cassia_proc {
	CASSIA_PROC_NULL = 0,
	CASSIA_PROC_BEAT = 1,
	CASSIA_PROC_QUOTA_ASK = 2,
	CASSIA_PROC_NOTICE = 3,
};

#endif
