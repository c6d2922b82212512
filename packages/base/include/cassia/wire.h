/* Numbers of the ONC RPC program by which daemons exchange control messages. */
#ifndef CASSIA_WIRE_H
#define CASSIA_WIRE_H

#define CASSIA_PROG 0x2CA55100
#define CASSIA_VERS 1 /* program version */

/* Procedures of the program. */
enum cassia_proc {
	CASSIA_PROC_NULL = 0, /* not served */
	CASSIA_PROC_BEAT = 1, /* heartbeat: membership_beat */
	CASSIA_PROC_QUOTA_ASK = 2, /* request for quota: quota_ask */
	CASSIA_PROC_NOTICE = 3, /* revisions of the sender: membership_notice */
	CASSIA_PROC_CRASH = 4, /* crash of an upstream: quarantine_report */
};

#endif
