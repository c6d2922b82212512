/* Error codes of the http package. */
#ifndef CASSIA_HTTP_ERROR_H
#define CASSIA_HTTP_ERROR_H

enum http_error {
	HTTP_OK = 0,
	HTTP_ENOMEM = -2001,
	HTTP_EINVAL = -2002,
	HTTP_ELISTEN = -2003, /* cannot listen on the address */
	HTTP_ECONNECT = -2004, /* no connection; nothing was sent */
	HTTP_ETIMEOUT = -2005, /* the timeout of the call has expired */
	HTTP_ERESET = -2006, /* the connection ended before a response */
	HTTP_ETRUNCATED = -2007, /* the connection ended within a response */
	HTTP_EPROTO = -2008, /* the response is not valid HTTP */
	HTTP_EEXPIRED = -2009, /* may_send refused; nothing was sent */
	HTTP_ETOOLARGE = -2010, /* the header or body exceeds its limit */
	HTTP_ECANCELED = -2011, /* cancelled by the owner of the call */
	HTTP_ECROSSED = -2012, /* the response belongs to another request */
};

#endif
