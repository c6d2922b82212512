/* Error numbers of the peer package. */
#ifndef CASSIA_PEER_ERROR_H
#define CASSIA_PEER_ERROR_H

enum peer_error {
	PEER_OK = 0,
	PEER_ENOMEM = -1901,
	PEER_EINVAL = -1902,
	PEER_ESOCKET = -1903, /* the socket failed; errno tells more */
	PEER_EHOST = -1904, /* the host is not in the host list */
	PEER_EMALFORMED = -1905,
	PEER_EOVERSIZED = -1906,
	PEER_EMAC = -1907,
	PEER_ESECRET = -1908, /* signed with a secret that is not known */
	PEER_EREPLAY = -1909,
	PEER_EINCARNATION = -1910, /* sent by an earlier incarnation */
};

#endif
