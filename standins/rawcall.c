/*
 * Stand-in of a misbehaving caller: sends standard input as it is, at most one
 * byte every MS milliseconds, and prints what comes back until the other side
 * closes or S seconds have passed: rawcall ADDRESS PORT [MS [S]].
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
	struct sockaddr_in to = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = inet_addr(address),
	};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (fd < 0 || connect(fd, (struct sockaddr *)(void *)&to, sizeof(to))) {
		perror("rawcall: connect");
		exit(1);
	}
	return fd;
}

/* Returns false when the connection is over. */
static bool print_answer(int fd, int wait_ms)
{
	struct pollfd poll_fd = { .fd = fd, .events = POLLIN };
	char answer[65536];
	ssize_t len;

	if (poll(&poll_fd, 1, wait_ms) <= 0)
		return true;
	len = recv(fd, answer, sizeof(answer), 0);
	if (len <= 0)
		return false;
	fwrite(answer, 1, (size_t)len, stdout);
	return true;
}

int main(int argc, char **argv)
{
	int gap_ms = argc > 3 ? atoi(argv[3]) : 0;
	time_t end = time(NULL) + (argc > 4 ? atoi(argv[4]) : 5);
	size_t len = fread(input, 1, sizeof(input), stdin);
	size_t sent = 0;
	bool open = true;
	int fd;

	if (argc < 3)
		return 2;
	fd = connect_to(argv[1], atoi(argv[2]));
	while (open && sent < len && time(NULL) < end) {
		size_t part = gap_ms ? 1 : len - sent;
		ssize_t done = send(fd, input + sent, part, MSG_NOSIGNAL);

		if (done <= 0)
			break;
		sent += (size_t)done;
		open = print_answer(fd, gap_ms);
	}
	while (open && time(NULL) < end)
		open = print_answer(fd, 200);
	printf("\nclosed=%d sent=%zu\n", !open, sent);
	close(fd);
	return 0;
}
