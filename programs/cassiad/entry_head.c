/* Checks the head of an entry request: route, customer, context and header
 * fields. */
#include <stdlib.h>

#include "cassia/http_target.h"
#include "child_calls.h"
#include "entry.h"

/* The keys of this fleet are recognised by their prefix. */
static bool contains_key(cas_str_t text)
{
	return memmem(text.ptr, text.len, KEYS_PREFIX,
		      sizeof(KEYS_PREFIX) - 1) != NULL;
}

/* Searches the percent-decoded target, because an upstream that decodes it
 * would find the key. Returns true if memory runs out. */
static bool contains_encoded_key(cas_str_t target)
{
	size_t decoded_len = 0;
	char *decoded;
	bool found;

	if (!memchr(target.ptr, '%', target.len))
		return contains_key(target);
	decoded = talloc_size(NULL, target.len + 1);
	if (!decoded)
		return true;
	for (size_t i = 0; i < target.len; i++) {
		decoded[decoded_len] = target.ptr[i];
		if (i + 2 < target.len && decoded[decoded_len] == '%' &&
		    g_ascii_isxdigit(target.ptr[i + 1]) &&
		    g_ascii_isxdigit(target.ptr[i + 2])) {
			decoded[decoded_len] =
				(char)(g_ascii_xdigit_value(target.ptr[i + 1]) *
					       16 +
				       g_ascii_xdigit_value(target.ptr[i + 2]));
			i += 2;
		}
		decoded_len++;
	}
	found = contains_key((cas_str_t){ decoded, decoded_len });
	talloc_free(decoded);
	return found;
}

/* Only authorization fields are removed (keys_header_is_secret), so a key in
 * the target or in another field would reach the upstream. */
static bool has_misplaced_key(const entry_request_t *request)
{
	const http_headers_t *headers =
		http_exchange_headers(request->exchange);
	cas_str_t target = http_exchange_target(request->exchange);

	if (contains_key(target) || contains_encoded_key(target) ||
	    http_query_value(http_target_query(target), CAS_STR("access_token"))
		    .ptr)
		return true;
	for (size_t i = 0; i < headers->count; i++) {
		if (!keys_header_is_secret(headers->items[i].name) &&
		    contains_key(headers->items[i].value))
			return true;
	}
	return false;
}

/* Servers disagree on which of two Authorization fields counts. */
static bool has_two_keys(const http_headers_t *headers)
{
	size_t count = 0;

	for (size_t i = 0; i < headers->count; i++)
		count += http_name_equal(headers->items[i].name,
					 CAS_STR("Authorization"));
	return count > 1;
}

/* Finds the customer of the presented key and checks that it may use the
 * route. */
static reason_t authenticate_customer(entry_request_t *request,
				      const table_route_t *route)
{
	const cassiad_t *daemon = request->daemon;
	cas_str_t value =
		http_headers_value(http_exchange_headers(request->exchange),
				   CAS_STR("Authorization"));
	cas_str_t token = CAS_STR("");
	const table_customer_t *customer;

	if (keys_parse_header(value, daemon->profile->key_scheme, &token))
		return REASON_NO_KEY;
	if (keys_lookup(daemon->keys, token, &request->key_lookup))
		return REASON_UNKNOWN_KEY;
	customer = table_find_customer(daemon->table,
				       request->key_lookup.customer_id);
	if (!customer)
		return REASON_UNKNOWN_KEY;
	request->has_key = true;
	request->context.customer = customer->id;
	request->context.weight = (u_int)customer->weight;
	if (keys_check_route(route, customer->id))
		return REASON_NOT_ALLOWED;
	request->context.importance =
		(u_int)table_importance(daemon->table, route, customer);
	return REASON_NONE;
}

/* Copies customer, importance, draw and deadline from the running request that
 * makes a child call, so that all calls of a root request are decided alike. */
static void inherit_from_parent(entry_request_t *request,
				attempt_live_entry_t *parent)
{
	attempt_context *context = &request->context;

	memcpy(context->root, parent->context.root, ATTEMPT_ID_BYTES);
	context->customer = parent->context.customer;
	context->weight = parent->context.weight;
	context->importance = parent->context.importance;
	context->draw = parent->context.draw;
	context->depth = parent->context.depth + 1;
	context->repeat = parent->context.repeat;
	if (parent->context.deadline < context->deadline)
		context->deadline = parent->context.deadline;
	request->is_child = true;
	child_calls_add(parent, request);
}

static reason_t inherit_by_handle(entry_request_t *request, cas_str_t handle,
				  const table_route_t *route)
{
	attempt_live_entry_t *parent =
		attempt_live_find(request->daemon->live_requests, handle);

	if (!parent)
		return REASON_UNKNOWN_HANDLE;
	if (!route->open && keys_check_route(route, parent->context.customer))
		return REASON_NOT_ALLOWED;
	inherit_from_parent(request, parent);
	attempt_format_id(request->context.root, request->id_text);
	return REASON_NONE;
}

/* Links a call on an open route to the request of this host's upstream that its
 * id names, if there is one. Returns whether the id has the form of a child
 * call's, but names no such request. */
static bool inherit_by_id(entry_request_t *request)
{
	const cassiad_t *daemon = request->daemon;
	cas_str_t id =
		http_headers_value(http_exchange_headers(request->exchange),
				   daemon->profile->request_id);
	attempt_live_entry_t *parent =
		attempt_live_find_parent(daemon->live_requests, id);

	if (parent)
		inherit_from_parent(request, parent);
	return !parent && id.len && memchr(id.ptr, '.', id.len);
}

/* Returns how long the caller waits, at most the timeout of the route. */
static int64_t request_timeout_us(const entry_request_t *request,
				  const table_route_t *route)
{
	cas_str_t text =
		http_headers_value(http_exchange_headers(request->exchange),
				   request->daemon->profile->client_timeout_ms);
	int64_t limit_us = route->timeout_ms * CAS_USEC_PER_MSEC;
	int64_t wanted_ms = text.len ? strtoll(text.ptr, NULL, 10) : 0;

	if (limit_us > ATTEMPT_LIFETIME_MAX_US - CAS_USEC_PER_SEC)
		limit_us = ATTEMPT_LIFETIME_MAX_US - CAS_USEC_PER_SEC;
	if (wanted_ms <= 0 || wanted_ms > limit_us / CAS_USEC_PER_MSEC)
		return limit_us;
	return wanted_ms * CAS_USEC_PER_MSEC;
}

static void apply_route(entry_request_t *request, const table_route_t *route)
{
	attempt_context *context = &request->context;

	context->route = route->id;
	context->service = route->service_id;
	if (route->part_count)
		context->service =
			table_pick_part(route,
					cas_rng_double(request->daemon->rng))
				->service_id;
	context->importance =
		(u_int)table_importance(request->daemon->table, route, NULL);
	context->idempotent = route->idempotent;
	context->weight = 1;
	context->deadline =
		request->started_us + request_timeout_us(request, route);
	request->max_body_bytes = route->max_body_bytes;
	request->own_budget = retry_budget_of(route->retries);
	request->hosts_max = (size_t)route->retries + 1;
}

/* Upstreams trust these fields, so values from the caller are dropped. */
static bool is_set_by_daemon(const http_profile_t *profile, cas_str_t name)
{
	return http_name_equal(name, profile->instance) ||
	       http_name_equal(name, profile->customer) ||
	       http_name_equal(name, profile->calling_service) ||
	       http_name_equal(name, profile->upstream_deadline_ms);
}

/* A field with an empty name does not exist in the profile. */
static int add_if_defined(http_headers_t *headers, cas_str_t name,
			  cas_str_t value)
{
	return name.len ? http_headers_add(headers, name, value) : 0;
}

static int add_daemon_headers(entry_request_t *request)
{
	const cassiad_t *daemon = request->daemon;
	const http_profile_t *profile = daemon->profile;
	/* A child call without a handle has no key, so its customer is only
	 * known to the daemons. */
	bool names_customer = request->has_key || profile->handle.len;
	const table_customer_t *customer =
		names_customer ? table_find_customer(daemon->table,
						     request->context.customer)
			       : NULL;
	int error = add_if_defined(request->headers, profile->calling_service,
				   daemon->settings->service);

	/* Copied, because the table may be replaced while the request runs. */
	if (!error && customer)
		error = add_if_defined(request->headers, profile->customer,
				       cas_str_dup(request, customer->name));
	return error;
}

reason_t entry_copy_headers(entry_request_t *request)
{
	const http_headers_t *headers =
		http_exchange_headers(request->exchange);

	request->headers = http_headers_create(request);
	if (!request->headers)
		return REASON_OVERLOADED;
	for (size_t i = 0; i < headers->count; i++) {
		const http_header_t *header = &headers->items[i];

		if (!keys_header_is_secret(header->name) &&
		    !is_set_by_daemon(request->daemon->profile, header->name) &&
		    http_headers_add(request->headers, header->name,
				     header->value))
			return REASON_OVERLOADED;
	}
	return add_daemon_headers(request) ? REASON_OVERLOADED : REASON_NONE;
}

/* Uses the id of the caller where the profile allows it, so that the caller can
 * find its request in the log. */
static void use_caller_id(entry_request_t *request)
{
	const http_profile_t *profile = request->daemon->profile;
	cas_str_t id = http_headers_value(
		http_exchange_headers(request->exchange), profile->request_id);

	if (profile->clients_choose_id && id.len)
		snprintf(request->id_text, sizeof(request->id_text), "%.*s",
			 CAS_STR_ARG(id));
}

/* Methods that usually have a body are sent with one, even if it is empty. */
static reason_t check_body(entry_request_t *request)
{
	int64_t length = http_exchange_content_length(request->exchange);
	cas_str_t method = http_exchange_method(request->exchange);

	request->has_body = length != 0 ||
			    http_name_equal(method, CAS_STR("POST")) ||
			    http_name_equal(method, CAS_STR("PUT")) ||
			    http_name_equal(method, CAS_STR("PATCH"));
	return length > request->max_body_bytes ? REASON_TOO_LARGE
						: REASON_NONE;
}

reason_t entry_check_head(entry_request_t *request, bool local)
{
	const cassiad_t *daemon = request->daemon;
	http_exchange_t *exchange = request->exchange;
	cas_str_t handle = http_headers_value(http_exchange_headers(exchange),
					      daemon->profile->handle);
	const table_route_t *route;
	reason_t reason = REASON_NONE;
	bool is_orphan = false;

	use_caller_id(request);
	if (!daemon->ready || !daemon->table)
		return REASON_STARTING;
	route = table_match_route(
		daemon->table,
		http_headers_value(http_exchange_headers(exchange),
				   CAS_STR("Host")),
		http_exchange_method(exchange),
		http_target_path(http_exchange_target(exchange)));
	if (!route)
		return REASON_NO_ROUTE;
	apply_route(request, route);
	if ((!daemon->profile->opaque_keys && has_misplaced_key(request)) ||
	    has_two_keys(http_exchange_headers(exchange)))
		return REASON_BAD_REQUEST;
	if (local && handle.len)
		reason = inherit_by_handle(request, handle, route);
	else if (!route->open)
		reason = authenticate_customer(request, route);
	if (daemon->profile->open_routes_take_child_calls && route->open)
		request->context.depth = 1;
	if (daemon->profile->ids_are_hierarchical && route->open)
		is_orphan = inherit_by_id(request);
	if (local && !handle.len && route->open)
		is_orphan = !request->parent;
	/* Without a handle, a call of the upstream cannot be linked to its root
	 * request: it gets the lowest importance and no retries. */
	if (local && !handle.len) {
		request->context.importance = 0;
		request->own_budget = retry_budget_of(0);
	}
	if (reason == REASON_NONE && entry_keep_regions(request, is_orphan))
		reason = REASON_OVERLOADED;
	return reason == REASON_NONE ? check_body(request) : reason;
}
