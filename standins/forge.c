/*
 * Forges messages between daemons for tests. Without --hosts it prints a
 * Cassia-Context that --sender could have signed with --secret for --receiver.
 * With --hosts, a file with a host list, it sends 20 heartbeats signed with
 * that secret from the address --bind in the name of --sender to --receiver.
 */
#include <arpa/inet.h>
#include <glib.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "cassia/attempt.h"
#include "cassia/membership.h"
#include "cassia/peer.h"
#include "cassia/wire.h"
#include "membership_xdr.h"

#define CONTEXT_LIFETIME_US (5 * CAS_USEC_PER_SEC)
#define HEARTBEAT_COUNT 20

static gchar *secret_hex = "";
static gchar *sender = "";
static gchar *receiver = "";
static gchar *service = "";
static gchar *route = "";
static gchar *hosts_path;
static gchar *bind_address = "127.0.0.1";
static gint64 incarnation;

static const GOptionEntry options[] = {
	{ "secret", 0, 0, G_OPTION_ARG_STRING, &secret_hex, "Hex", NULL },
	{ "sender", 0, 0, G_OPTION_ARG_STRING, &sender, "", NULL },
	{ "receiver", 0, 0, G_OPTION_ARG_STRING, &receiver, "", NULL },
	{ "service", 0, 0, G_OPTION_ARG_STRING, &service, "", NULL },
	{ "route", 0, 0, G_OPTION_ARG_STRING, &route, "", NULL },
	{ "hosts", 0, 0, G_OPTION_ARG_FILENAME, &hosts_path, "", NULL },
	{ "bind", 0, 0, G_OPTION_ARG_STRING, &bind_address, "", NULL },
	{ "incarnation", 0, 0, G_OPTION_ARG_INT64, &incarnation, "", NULL },
	{ NULL, 0, 0, 0, NULL, NULL, NULL },
};

static cas_id_t id_of(const char *name)
{
	return cas_id_of(cas_str_from_cstr(name));
}

static void print_context(TALLOC_CTX *ctx, cas_str_t secret_str)
{
	attempt_secrets_t secrets = { .count = 0 };
	attempt_context context = {
		.sender = id_of(sender),
		.receiver = id_of(receiver),
		.incarnation = (uint64_t)incarnation,
		.route = id_of(route),
		.service = id_of(service),
		.deadline = cas_clock_now(cas_clock_create_real(ctx)) +
			    CONTEXT_LIFETIME_US,
		.weight = 1,
		.importance = 15,
	};

	attempt_secrets_add(&secrets, (const uint8_t *)secret_str.ptr,
			    secret_str.len);
	attempt_generate_id(context.root);
	attempt_generate_id(context.attempt);
	printf("%s\n", attempt_sign_context(ctx, &secrets, &context).ptr);
}

static int on_call(cas_id_t from, uint64_t incarnation_of_sender, void *args,
		   void *reply, void *private)
{
	(void)from;
	(void)incarnation_of_sender;
	(void)args;
	(void)reply;
	(void)private;
	return -1;
}

static int send_heartbeats(TALLOC_CTX *ctx, cas_str_t secret_str)
{
	const peer_proc_t proc = {
		.args_xdr = (xdrproc_t)xdr_membership_beat,
		.args_size = sizeof(membership_beat),
		.reply_xdr = (xdrproc_t)xdr_membership_reply,
		.reply_size = sizeof(membership_reply),
		.on_call = on_call,
	};
	const membership_beat beat = { 0 };
	peer_settings_t settings = {
		.self = id_of(sender),
		.incarnation = peer_incarnation_new(),
		.bind_address.s_addr = inet_addr(bind_address),
	};
	config_faults_t *faults = config_faults_create(ctx);
	gchar *hosts_text = NULL;
	roster_t *roster = NULL;
	peer_t *peer;
	int error = 0;

	fleet_secret_set(&settings.secrets.entries[0], 1, secret_str);
	peer = peer_create(ctx, tevent_context_init(ctx),
			   cas_clock_create_real(ctx), &settings, &error);
	if (!peer ||
	    !g_file_get_contents(hosts_path, &hosts_text, NULL, NULL) ||
	    roster_read(ctx, cas_str_from_cstr(hosts_text), faults, &roster) ||
	    peer_set_roster(peer, roster) ||
	    peer_register(peer, CASSIA_PROC_BEAT, &proc))
		return 1;
	for (int i = 0; i < HEARTBEAT_COUNT; i++)
		error |= peer_send(peer, id_of(receiver), CASSIA_PROC_BEAT,
				   &beat);
	g_free(hosts_text);
	return error ? 1 : 0;
}

int main(int argc, char **argv)
{
	GOptionContext *context = g_option_context_new(NULL);
	TALLOC_CTX *ctx = talloc_new(NULL);
	uint8_t secret_bytes[64];
	size_t secret_len = 0;
	cas_str_t secret_str;

	g_option_context_add_main_entries(context, options, NULL);
	if (!g_option_context_parse(context, &argc, &argv, NULL) ||
	    sodium_init() < 0 ||
	    sodium_hex2bin(secret_bytes, sizeof(secret_bytes), secret_hex,
			   strlen(secret_hex), NULL, &secret_len, NULL))
		return 2;
	secret_str = (cas_str_t){ (const char *)secret_bytes, secret_len };
	if (hosts_path)
		return send_heartbeats(ctx, secret_str);
	print_context(ctx, secret_str);
	return 0;
}
