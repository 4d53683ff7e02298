/**
 * @file wakeup.h
 * A descriptor that becomes readable when any thread, or a signal handler,
 * asks for it.
 */
#ifndef TRANSPORT_WAKEUP_H
#define TRANSPORT_WAKEUP_H

struct wakeup {
	int descriptor;
};

/** @return 0, or -1 with errno set */
int wakeup_open(struct wakeup *wakeup);
void wakeup_close(struct wakeup *wakeup);

/** Thread-safe and async-signal-safe. */
void wakeup_signal(const struct wakeup *wakeup);

/** Makes the descriptor unreadable again. */
void wakeup_clear(const struct wakeup *wakeup);

#endif
