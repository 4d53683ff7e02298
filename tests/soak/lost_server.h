/**
 * @file lost_server.h
 * A sound backend server that falls silent at times, at any point of a
 * response, and goes on.
 */
#ifndef LOST_SERVER_H
#define LOST_SERVER_H

#include <stdint.h>

struct soak;
struct lost_server;

/** Starts a server of the service and writes its entry.
 * @param pause_percent share of the responses with a silence of their own */
struct lost_server *lost_server_start(struct soak *soak, unsigned int index,
				      const char *service,
				      unsigned int pause_percent);

/** Stops accepting, reading and writing for a while, unless it has just done
 * so. */
void lost_server_pause(struct lost_server *server, unsigned int pause_ms);

#endif
