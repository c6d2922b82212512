/* cassiactl key new: generates a key and prints it with its table row. */
#include <sodium.h>

#include "cassia/keys.h"
#include "ctl_internal.h"

static const ctl_usage_t usage = {
	"key new --customer NAME (--table FILE | --salt HEX)",
	"Generates a new key. The key is printed once and stored nowhere; the "
	"table holds only its hash.",
	1,
	1,
};

typedef struct key_options {
	char *customer;
	char *table;
	char *salt;
	char *label;
} key_options_t;

/* Decodes a salt of hexadecimal digits. Returns an exit code. */
static int parse_salt(ctl_t *ctl, const char *hex,
		      uint8_t salt[TABLE_SALT_BYTES])
{
	size_t len = 0;

	if (strlen(hex) != 2 * TABLE_SALT_BYTES ||
	    sodium_hex2bin(salt, TABLE_SALT_BYTES, hex, strlen(hex), NULL, &len,
			   NULL) ||
	    len != TABLE_SALT_BYTES)
		return ctl_fail(ctl, "--salt must be %d hexadecimal digits",
				2 * TABLE_SALT_BYTES);
	return CTL_OK;
}

/* Reads the salt of the table, which must have the customer. Returns an exit
 * code. */
static int read_table_salt(ctl_t *ctl, const key_options_t *options,
			   uint8_t salt[TABLE_SALT_BYTES])
{
	config_parsed_t parsed = { 0 };
	config_faults_t *faults;
	cas_id_t customer_id = cas_id_of(cas_str_from_cstr(options->customer));
	int exit_code =
		ctl_read_document(ctl, options->table, &parsed, &faults);

	if (exit_code == CTL_REFUSED)
		ctl_print_faults(ctl->err, ctl->ctx, options->table, faults);
	if (exit_code)
		return exit_code;
	if (!parsed.table)
		return ctl_fail(ctl, "%s is not a table", options->table);
	if (!table_find_customer(parsed.table, customer_id))
		return ctl_fail(ctl, "%s has no customer \"%s\"",
				options->table, options->customer);
	memcpy(salt, parsed.table->salt, TABLE_SALT_BYTES);
	return CTL_OK;
}

/* Checks that the options are complete and that the customer's name and the
 * label can be written into TOML strings without escapes. */
static int check_options(ctl_t *ctl, const key_options_t *options)
{
	if (!options->customer || !options->table == !options->salt)
		return ctl_fail(ctl, "--customer and either --table or --salt "
				     "are needed");
	for (const char *c = options->customer; *c; c++)
		if (!g_ascii_isalnum(*c) && !strchr("._-", *c))
			return ctl_fail(ctl, "a customer's name has letters, "
					     "digits, '.', '_' and '-'");
	for (const char *c = options->label; c && *c; c++)
		if (!g_ascii_isprint(*c) || *c == '"' || *c == '\\')
			return ctl_fail(ctl, "the label must be printable, "
					     "without quotes");
	return CTL_OK;
}

/* Generates a key and prints it with its row. Returns an exit code. */
static int print_new_key(ctl_t *ctl, const key_options_t *options,
			 const uint8_t salt[TABLE_SALT_BYTES])
{
	const char *label = options->label ? options->label : "";
	uint8_t hash[TABLE_KEY_HASH_BYTES];
	char hex[2 * TABLE_KEY_HASH_BYTES + 1];
	char key[KEYS_TEXT_BYTES];

	keys_generate(key);
	if (keys_hash(salt, cas_str_from_cstr(key), hash))
		return ctl_fail(ctl, "the key could not be hashed");
	sodium_bin2hex(hex, sizeof(hex), hash, sizeof(hash));
	if (ctl->json)
		ctl_print_json(ctl->out,
			       json_pack("{s:s, s:s, s:s, s:s}", "key", key,
					 "customer", options->customer, "hash",
					 hex, "label", label));
	else
		fprintf(ctl->out,
			"key: %s\n\n[[key]]\ncustomer = \"%s\"\n"
			"hash = \"%s\"\nlabel = \"%s\"\n",
			key, options->customer, hex, label);
	sodium_memzero(key, sizeof(key));
	return CTL_OK;
}

static int create_key(ctl_t *ctl, const key_options_t *options,
		      const char *subcommand)
{
	uint8_t salt[TABLE_SALT_BYTES];
	int exit_code;

	if (strcmp(subcommand, "new") != 0)
		return ctl_fail(ctl, "usage: cassiactl %s", usage.arguments);
	exit_code = check_options(ctl, options);
	if (exit_code)
		return exit_code;
	exit_code = options->table ? read_table_salt(ctl, options, salt)
				   : parse_salt(ctl, options->salt, salt);
	return exit_code ? exit_code : print_new_key(ctl, options, salt);
}

int ctl_key(ctl_t *ctl, int argc, char **argv)
{
	key_options_t options = { 0 };
	const GOptionEntry entries[] = {
		{ "customer", 0, 0, G_OPTION_ARG_STRING, &options.customer,
		  "Customer that gets the key", "NAME" },
		{ "table", 0, 0, G_OPTION_ARG_FILENAME, &options.table,
		  "Table whose salt is used", "FILE" },
		{ "salt", 0, 0, G_OPTION_ARG_STRING, &options.salt,
		  "Salt of the table", "HEX" },
		{ "label", 0, 0, G_OPTION_ARG_STRING, &options.label,
		  "Name of the key in the table", "TEXT" },
		G_OPTION_ENTRY_NULL,
	};
	int exit_code;

	if (ctl_parse_options(ctl, &usage, entries, &argc, &argv))
		exit_code = create_key(ctl, &options, argv[1]);
	else
		exit_code = ctl->exit_code;
	g_free(options.customer);
	g_free(options.table);
	g_free(options.salt);
	g_free(options.label);
	return exit_code;
}
