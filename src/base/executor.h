/**
 * @file executor.h
 * Runs functions later on the thread that owns some state.
 */
#ifndef BASE_EXECUTOR_H
#define BASE_EXECUTOR_H

struct executor;

struct executor_ops {
	/** Thread-safe. Functions posted by one thread run in order. */
	void (*post)(struct executor *executor, void (*run)(void *arg),
		     void *arg);
};

/** An executor; implementations embed it as their first member. */
struct executor {
	const struct executor_ops *ops;
};

static inline void executor_post(struct executor *executor,
				 void (*run)(void *arg), void *arg)
{
	executor->ops->post(executor, run, arg);
}

#endif
