/* A small site of real processes: its files, its start and its end. */
#include "site.h"

#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/wait.h>
#include <unistd.h>

#define PEER 18081
#define CONTROL 18082
#define OPERATORS 18083
#define LOCAL 18084
#define SALT "000102030405060708090a0b0c0d0e0f"
#define PROCESSES_MAX 8

/* First bytes of the addresses, so that two runs do not meet. */
static char net[16];
static pid_t processes[PROCESSES_MAX];
static int process_count;
static char dir[] = "/tmp/cassia-bench-XXXXXX";

void site_end(void)
{
	for (int i = 0; i < process_count; i++)
		kill(processes[i], SIGKILL);
	for (int i = 0; i < process_count; i++)
		waitpid(processes[i], NULL, 0);
	process_count = 0;
}

static pid_t start(const char *log, char *const argv[])
{
	pid_t pid = fork();
	char path[128];

	if (pid == 0) {
		snprintf(path, sizeof(path), "%s/%s", dir, log);
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

	snprintf(path, sizeof(path), "%s/%s", dir, name);
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
	char text[2 * TABLE_KEY_HASH_BYTES + 1];

	sodium_hex2bin(salt, sizeof(salt), SALT, strlen(SALT), NULL, NULL,
		       NULL);
	keys_hash(salt, CAS_STR(KEY), hash);
	sodium_bin2hex(text, sizeof(text), hash, sizeof(hash));
	write_file("table.toml",
		   talloc_asprintf(ctx,
				   "revision = 1\nsalt = \"" SALT "\"\n"
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
				   "hash = \"%s\"\n[end]\n",
				   text));
}

static void write_hosts(TALLOC_CTX *ctx)
{
	static const char row[] = "[[host]]\nname = \"%s\"\nservice = \"%s\"\n"
				  "data_centre = \"m1\"\naddress = \"%s%d\"\n"
				  "peer_port = %d\ncontrol_port = %d\n";
	char *first =
		talloc_asprintf(ctx, row, "e1", "entry", net, 1, PEER, CONTROL);
	char *second = talloc_asprintf(ctx, row, "b1", "booking", net, 2, PEER,
				       CONTROL);

	write_file("hosts.toml",
		   talloc_asprintf(ctx, "revision = 1\n%s%s[end]\n", first,
				   second));
}

static void write_settings(TALLOC_CTX *ctx, const char *name,
			   const char *service, int number)
{
	const char *at = talloc_asprintf(ctx, "%s%d", net, number);
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
		"secret = \"00112233445566778899aabbccddeeff\"\n"
		"[log]\nlevel = \"warn\"\n"
		"[limits]\nconnections = 12000\nidle_timeout_ms = 120000\n",
		name, service, at, FRONT, LOCAL, at, at, PEER, CONTROL, at,
		OPERATORS, at, UPSTREAM, dir, dir);

	write_file(talloc_asprintf(ctx, "%s.toml", name), text);
}

pid_t site_start_host(TALLOC_CTX *ctx, const char *build, const char *name,
		      const char *service, int number, const char *delay_us)
{
	char *cassiad[] = { talloc_asprintf(ctx, "%s/cassiad", build),
			    "--config",
			    talloc_asprintf(ctx, "%s/%s.toml", dir, name),
			    NULL };
	char *upstream[] = { talloc_asprintf(ctx, "%s/standins/upstream",
					     build),
			     "--address",
			     talloc_asprintf(ctx, "%s%d", net, number),
			     "--port",
			     talloc_asprintf(ctx, "%d", UPSTREAM),
			     "--delay-us",
			     talloc_strdup(ctx, delay_us),
			     NULL };

	write_settings(ctx, name, service, number);
	start(talloc_asprintf(ctx, "%s.up.log", name), upstream);
	return start(talloc_asprintf(ctx, "%s.log", name), cassiad);
}

const char *site_address(TALLOC_CTX *ctx, int number)
{
	return talloc_asprintf(ctx, "%s%d", net, number);
}

int site_create(TALLOC_CTX *ctx)
{
	if (!mkdtemp(dir))
		return -1;
	snprintf(net, sizeof(net), "127.%d.%d.", 160 + getpid() % 60,
		 getpid() / 60 % 250);
	write_table(ctx);
	write_hosts(ctx);
	return 0;
}
