/* Error numbers of the peer package. */
#ifndef CASSIA_PEER_ERROR_H
#define CASSIA_PEER_ERROR_H

enum peer_error {
	PEER_OK = 0,
	PEER_ENOMEM = -1901,
	PEER_EINVAL = -1902,
	PEER_ESOCKET = -1903, /* a socket call failed; errno has the cause */
	PEER_EHOST = -1904, /* the host is not in the host list */
	PEER_EMALFORMED = -1905,
	PEER_EOVERSIZED = -1906, /* longer than PEER_MAX_BYTES */
	PEER_EMAC = -1907, /* wrong MAC */
	PEER_ESECRET = -1908, /* no secret set, or unknown secret id */
	PEER_EREPLAY = -1909, /* repeated, or older than the replay window */
	PEER_EINCARNATION = -1910, /* from an earlier incarnation */
};

#endif
