/**
 * @file rcu_reader.h
 * Read-side critical sections of read-copy-update for threads that other code
 * creates: a thread registers at its first section and unregisters when it
 * exits.
 */
#ifndef TRANSPORT_RCU_READER_H
#define TRANSPORT_RCU_READER_H

/** Enters a section: rcu_dereference() is allowed until rcu_reader_exit(). */
void rcu_reader_enter(void);

void rcu_reader_exit(void);

#endif
