/* Writes the files of the benchmark site; starts and stops its processes. */
#include "site.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#define CONTROL_PORT 18082
#define OPERATORS_PORT 18083
#define LOCAL_PORT 18084
#define KEY_SALT "000102030405060708090a0b0c0d0e0f"
#define PROCESSES_MAX 8
#define STRACE "/usr/bin/strace"

/* First three bytes of the addresses, with a final dot. They depend on the
 * process id, so that runs at the same time do not share addresses. */
static char address_prefix[16];
static pid_t processes[PROCESSES_MAX];
static int process_count;
static const char *extra_table_rows = "";
static const char *extra_settings = "";
static char site_dir[] = "/tmp/cassia-bench-XXXXXX";

void site_stop(void)
{
	for (int i = 0; i < process_count; i++)
		kill(processes[i], SIGKILL);
	for (int i = 0; i < process_count; i++)
		waitpid(processes[i], NULL, 0);
	process_count = 0;
}

/* Starts a program that logs to a file in the directory of the site. Returns
 * its process id. */
static pid_t start_process(const char *log_name, char *const argv[])
{
	pid_t pid = fork();
	char path[128];

	if (pid == 0) {
		snprintf(path, sizeof(path), "%s/%s", site_dir, log_name);
		if (!freopen(path, "w", stdout) || !freopen(path, "a", stderr))
			_exit(126);
		execv(argv[0], argv);
		_exit(127);
	}
	processes[process_count++] = pid;
	return pid;
}

static void write_file(const char *name, const char *text)
{
	char path[128];
	FILE *file;

	snprintf(path, sizeof(path), "%s/%s", site_dir, name);
	file = fopen(path, "w");
	if (!file || fputs(text, file) < 0 || fclose(file)) {
		perror(path);
		exit(1);
	}
}

static void write_table(TALLOC_CTX *ctx)
{
	uint8_t salt[TABLE_SALT_BYTES];
	uint8_t hash[TABLE_KEY_HASH_BYTES];
	char hash_hex[2 * TABLE_KEY_HASH_BYTES + 1];

	sodium_hex2bin(salt, sizeof(salt), KEY_SALT, strlen(KEY_SALT), NULL,
		       NULL, NULL);
	keys_hash(salt, CAS_STR(CUSTOMER_KEY), hash);
	sodium_bin2hex(hash_hex, sizeof(hash_hex), hash, sizeof(hash));
	write_file("table.toml",
		   talloc_asprintf(ctx,
				   "revision = 1\nsalt = \"" KEY_SALT "\"\n"
				   "[[data_centre]]\nname = \"m1\"\n"
				   "region = \"marmara\"\n"
				   "[[service]]\nname = \"booking\"\n"
				   "[[service]]\nname = \"entry\"\n"
				   "[[route]]\nname = \"book\"\n"
				   "path = \"/book\"\nservice = \"booking\"\n"
				   "importance = 9\nidempotent = true\n"
				   "[[route]]\nname = \"own\"\n"
				   "path = \"/own\"\nservice = \"entry\"\n"
				   "importance = 9\nidempotent = true\n"
				   "[[customer]]\nname = \"acme\"\n"
				   "rate = 100000\nburst = 200000\n"
				   "[[key]]\ncustomer = \"acme\"\n"
				   "hash = \"%s\"\n%s[end]\n",
				   hash_hex, extra_table_rows));
}

static void write_hosts(TALLOC_CTX *ctx)
{
	static const char row[] = "[[host]]\nname = \"%s\"\nservice = \"%s\"\n"
				  "data_centre = \"m1\"\naddress = \"%s%d\"\n"
				  "peer_port = %d\ncontrol_port = %d\n";
	char *entry_row =
		talloc_asprintf(ctx, row, "e1", "entry", address_prefix, 1,
				PEER_HTTP_PORT, CONTROL_PORT);
	char *booking_row =
		talloc_asprintf(ctx, row, "b1", "booking", address_prefix, 2,
				PEER_HTTP_PORT, CONTROL_PORT);

	write_file("hosts.toml",
		   talloc_asprintf(ctx, "revision = 1\n%s%s[end]\n", entry_row,
				   booking_row));
}

static void write_settings(TALLOC_CTX *ctx, const char *name,
			   const char *service, int host_number)
{
	const char *address =
		talloc_asprintf(ctx, "%s%d", address_prefix, host_number);
	char *text = talloc_asprintf(
		ctx,
		"host = \"%s\"\nservice = \"%s\"\ndata_centre = \"m1\"\n"
		"[front]\naddress = \"%s\"\nport = %d\n"
		"[local]\nport = %d\naddress = \"%s\"\n"
		"[peer]\naddress = \"%s\"\nhttp_port = %d\n"
		"control_port = %d\n"
		"[operators]\naddress = \"%s\"\nport = %d\n"
		"[upstream]\naddress = \"%s\"\nport = %d\n"
		"[source]\nkind = \"file\"\ntable = \"%s/table.toml\"\n"
		"hosts = \"%s/hosts.toml\"\n"
		"[[secret]]\nid = 1\n"
		"secret = \"" FLEET_SECRET "\"\n"
		"[log]\nlevel = \"warn\"\n"
		"[limits]\nconnections = 12000\nidle_timeout_ms = 120000\n%s",
		name, service, address, FRONT_PORT, LOCAL_PORT, address,
		address, PEER_HTTP_PORT, CONTROL_PORT, address, OPERATORS_PORT,
		address, UPSTREAM_PORT, site_dir, site_dir, extra_settings);

	write_file(talloc_asprintf(ctx, "%s.toml", name), text);
}

static void start_upstream(TALLOC_CTX *ctx, const char *build, const char *name,
			   int host_number, const char *delay_us)
{
	char *argv[] = { talloc_asprintf(ctx, "%s/standins/upstream", build),
			 "--address",
			 talloc_asprintf(ctx, "%s%d", address_prefix,
					 host_number),
			 "--port",
			 talloc_asprintf(ctx, "%d", UPSTREAM_PORT),
			 "--delay-us",
			 talloc_strdup(ctx, delay_us),
			 NULL };

	start_process(talloc_asprintf(ctx, "%s.up.log", name), argv);
}

void site_set_extra(const char *table_rows, const char *settings)
{
	extra_table_rows = table_rows;
	extra_settings = settings;
}

pid_t site_start_host(TALLOC_CTX *ctx, const char *build, const char *name,
		      const char *service, int host_number,
		      const char *delay_us)
{
	char *argv[] = { talloc_asprintf(ctx, "%s/cassiad", build), "--config",
			 talloc_asprintf(ctx, "%s/%s.toml", site_dir, name),
			 NULL };

	write_settings(ctx, name, service, host_number);
	start_upstream(ctx, build, name, host_number, delay_us);
	return start_process(talloc_asprintf(ctx, "%s.log", name), argv);
}

pid_t site_start_counted_host(TALLOC_CTX *ctx, const char *build,
			      const char *name, const char *service,
			      int host_number, const char *delay_us)
{
	/* With -D the process that is started is the daemon, not strace. */
	char *argv[] = { STRACE,
			 "-D",
			 "-f",
			 "-o",
			 talloc_asprintf(ctx, "%s/%s.trace", site_dir, name),
			 talloc_asprintf(ctx, "%s/bench/cassiad_counted",
					 build),
			 "--config",
			 talloc_asprintf(ctx, "%s/%s.toml", site_dir, name),
			 NULL };
	char **counted_argv = site_has_strace() ? argv : argv + 5;

	write_settings(ctx, name, service, host_number);
	start_upstream(ctx, build, name, host_number, delay_us);
	return start_process(talloc_asprintf(ctx, "%s.log", name),
			     counted_argv);
}

bool site_has_strace(void)
{
	return access(STRACE, X_OK) == 0;
}

const char *site_file(TALLOC_CTX *ctx, const char *name)
{
	return talloc_asprintf(ctx, "%s/%s", site_dir, name);
}

const char *site_address(TALLOC_CTX *ctx, int host_number)
{
	return talloc_asprintf(ctx, "%s%d", address_prefix, host_number);
}

int site_create(TALLOC_CTX *ctx)
{
	if (!mkdtemp(site_dir))
		return -1;
	snprintf(address_prefix, sizeof(address_prefix), "127.%d.%d.",
		 160 + getpid() % 60, getpid() / 60 % 250);
	write_table(ctx);
	write_hosts(ctx);
	return 0;
}
