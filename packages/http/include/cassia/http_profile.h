/*
 * Names and rules of the header fields that clients, daemons and upstreams of
 * one environment exchange. A field with an empty name is not used there.
 */
#ifndef CASSIA_HTTP_PROFILE_H
#define CASSIA_HTTP_PROFILE_H

#include "cassia/http_headers.h"

/* Names by which one field is known, tried in turn. */
typedef struct http_profile_names {
	cas_str_t names[2]; /* the second may be empty */
} http_profile_names_t;

typedef struct http_profile {
	cas_str_t key_scheme; /* Authorization scheme of customers' keys */
	cas_str_t request_id;
	/* The client chooses the request id, and the upstream repeats it in
	 * its response. Otherwise the daemon assigns it. */
	bool clients_choose_id;
	cas_str_t client_timeout_ms; /* how long the client waits */
	cas_str_t upstream_deadline_ms; /* time left for the upstream */
	/* Identifies a running request; sent to the upstream, which repeats it
	 * in the child calls of that request and when it refuses it. */
	cas_str_t handle;
	/* The instance (one run) of the upstream that a request is for. */
	cas_str_t instance;
	cas_str_t customer; /* name of the customer */
	cas_str_t calling_service;
	/* Load of the upstream, in its responses: requests that run, requests
	 * that wait, slots and, on a host that it shares with others, how long
	 * work takes there now in percent of the usual time. */
	cas_str_t server_load;
	/* Milliseconds for which the upstream is still cold, in its responses
	 * to health checks. */
	cas_str_t warm_up_left;
	/* Requests a second that the upstream takes from all daemons together, in
	 * its responses for as long as it is limited. */
	http_profile_names_t request_rate;
	/* Has the value 1 in the responses of an upstream that leaves. */
	http_profile_names_t leaving;
	/* Any text may be a key, so keys cannot be recognized outside the
	 * Authorization field. */
	bool opaque_keys;
	/* Child calls arrive at the listener `front`, without a handle, and
	 * requests on open routes are taken as child calls. */
	bool open_routes_take_child_calls;
	/* Upstreams give a child call an id that begins with that of the
	 * request which makes it, followed by a dot. */
	bool ids_are_hierarchical;
	/* Retry-After may have a fraction of a second. */
	bool fractional_retry_after;
	/* True when a response states that the request was not executed. */
	bool (*is_not_run)(int status, const http_headers_t *headers);
} http_profile_t;

/* A request as it was sent to an upstream. */
typedef struct http_profile_request {
	cas_str_t id; /* value of the field request_id, empty: none */
	cas_str_t handle; /* value of the field handle, empty: none */
	bool first_on_connection;
} http_profile_request_t;

/* Returns whether the head of an upstream's response belongs to a request. A
 * response that identifies another request does not. Unless the connection
 * carried no earlier request, a response has to identify its request if all
 * responses of the profile do so, or if it states that the request was not
 * executed: it may be an earlier response that the upstream has sent once
 * more. */
bool http_profile_is_response_to(const http_profile_t *profile, int status,
				 const http_headers_t *headers,
				 const http_profile_request_t *request);

/* Returns the first field that has one of the names (borrowed), or NULL. */
const http_header_t *http_profile_find(const http_profile_names_t *names,
				       const http_headers_t *headers);

/* Header fields defined by this project, with the prefix Cassia-. */
extern const http_profile_t http_profile_cassia;

#endif
