/*
 * TCP client for tests of malformed and slow requests: sends standard input
 * unchanged, one byte at a time, up to MS milliseconds apart (default 0: all at
 * once), and prints what it receives until the peer closes or SECONDS (default
 * 5) have passed, then a line with closed= (1: the peer closed) and sent=
 * (bytes).
 *
 *   rawcall ADDRESS PORT [MS [SECONDS]]
 */
#include <arpa/inet.h>
#include <poll.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define INPUT_MAX_BYTES (1 << 20)

static char input[INPUT_MAX_BYTES];

static int connect_to(const char *address, int port)
{
	struct sockaddr_in target = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = inet_addr(address),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 ||
	    connect(fd, (struct sockaddr *)(void *)&target, sizeof(target))) {
		perror("rawcall: connect");
		exit(1);
	}
	return fd;
}

/* Prints what arrives within wait_ms. Returns false when the peer closed. */
static bool print_response(int fd, int wait_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	char response[65536];
	ssize_t len;

	if (poll(&poll_fd, 1, wait_ms) <= 0)
		return true;
	len = recv(fd, response, sizeof(response), 0);
	if (len <= 0)
		return false;
	fwrite(response, 1, (size_t)len, stdout);
	return true;
}

int main(int argc, char **argv)
{
	int byte_interval_ms = argc > 3 ? atoi(argv[3]) : 0;
	time_t end_time = time(NULL) + (argc > 4 ? atoi(argv[4]) : 5);
	size_t input_len = fread(input, 1, sizeof(input), stdin);
	size_t sent = 0;
	bool is_open = true;
	int fd;

	if (argc < 3)
		return 2;
	fd = connect_to(argv[1], atoi(argv[2]));
	while (is_open && sent < input_len && time(NULL) < end_time) {
		size_t chunk_len = byte_interval_ms ? 1 : input_len - sent;
		ssize_t sent_len =
			send(fd, input + sent, chunk_len, MSG_NOSIGNAL);

		if (sent_len <= 0)
			break;
		sent += (size_t)sent_len;
		is_open = print_response(fd, byte_interval_ms);
	}
	while (is_open && time(NULL) < end_time)
		is_open = print_response(fd, 200);
	printf("\nclosed=%d sent=%zu\n", !is_open, sent);
	close(fd);
	return 0;
}
