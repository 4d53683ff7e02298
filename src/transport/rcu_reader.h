/**
 * @file rcu_reader.h
 * Read-side sections of read-copy-update for threads that others made: the
 * thread registers when it first reads and leaves when it ends.
 */
#ifndef TRANSPORT_RCU_READER_H
#define TRANSPORT_RCU_READER_H

/** Enters a section: rcu_dereference() is allowed until the exit. */
void rcu_reader_enter(void);

void rcu_reader_exit(void);

#endif
