/**
 * @file edge_followers.h
 * What the edge follows in the store, and the log lines of what it learns
 * there: routes, backend servers, team budgets and quarantined requests.
 */
#ifndef EDGE_EDGE_FOLLOWERS_H
#define EDGE_EDGE_FOLLOWERS_H

#include "edge/edge.h"

void edge_followers_start(struct edge *edge);

/** Makes the store calls that are due, except those for the budgets, which have
 * a timer of their own. */
void edge_followers_tick(struct edge *edge);

void edge_followers_free(struct edge *edge);

#endif
