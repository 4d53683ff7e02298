#include "transport/rcu_reader.h"

#include <pthread.h>
#include <stdbool.h>
#include <stdlib.h>
#include <urcu.h>

static pthread_key_t key;
static pthread_once_t once = PTHREAD_ONCE_INIT;
static __thread bool registered;

static void unregister_thread(void *arg)
{
	registered = false;
	rcu_unregister_thread();
}

static void make_key(void)
{
	if (pthread_key_create(&key, unregister_thread) != 0)
		abort();
}

void rcu_reader_enter(void)
{
	if (!registered) {
		pthread_once(&once, make_key);
		/* With any value but NULL, the thread calls unregister_thread()
		 * when it exits. */
		if (pthread_setspecific(key, &once) != 0)
			abort();
		rcu_register_thread();
		registered = true;
	}
	rcu_read_lock();
}

void rcu_reader_exit(void)
{
	rcu_read_unlock();
}
