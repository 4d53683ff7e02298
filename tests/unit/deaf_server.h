/**
 * @file deaf_server.h
 * A server whose kernel accepts no connection, since its queue is full.
 */
#ifndef UNIT_DEAF_SERVER_H
#define UNIT_DEAF_SERVER_H

#include <arpa/inet.h>
#include <check.h>
#include <errno.h>
#include <stdio.h>
#include <sys/socket.h>
#include <unistd.h>

/** Connections that fill the queue of a listener without a backlog. */
#define QUEUE_FILLERS 3

static int fillers[QUEUE_FILLERS];

/** @return its listener */
static int start_deaf_server(char *address, size_t size)
{
	struct sockaddr_in in = {.sin_family = AF_INET};
	socklen_t length = sizeof(in);
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	in.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	ck_assert_int_eq(bind(fd, (struct sockaddr *)&in, sizeof(in)), 0);
	ck_assert_int_eq(listen(fd, 0), 0);
	getsockname(fd, (struct sockaddr *)&in, &length);
	for (int i = 0; i < QUEUE_FILLERS; i++) {
		fillers[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		if (connect(fillers[i], (struct sockaddr *)&in, sizeof(in)))
			ck_assert_int_eq(errno, EINPROGRESS);
	}
	snprintf(address, size, "127.0.0.1:%d", ntohs(in.sin_port));
	return fd;
}

static void stop_deaf_server(int fd)
{
	for (int i = 0; i < QUEUE_FILLERS; i++)
		close(fillers[i]);
	close(fd);
}

#endif
