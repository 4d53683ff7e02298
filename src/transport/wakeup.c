#include "transport/wakeup.h"

#include <errno.h>
#include <stdint.h>
#include <sys/eventfd.h>
#include <unistd.h>

int wakeup_open(struct wakeup *wakeup)
{
	wakeup->descriptor = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	return wakeup->descriptor < 0 ? -1 : 0;
}

void wakeup_close(struct wakeup *wakeup)
{
	if (wakeup->descriptor >= 0)
		close(wakeup->descriptor);
	wakeup->descriptor = -1;
}

void wakeup_signal(const struct wakeup *wakeup)
{
	const uint64_t one = 1;
	int saved_errno = errno;

	/* A full counter is readable already. */
	if (write(wakeup->descriptor, &one, sizeof(one)) < 0)
		errno = saved_errno;
}

void wakeup_clear(const struct wakeup *wakeup)
{
	uint64_t count;

	while (read(wakeup->descriptor, &count, sizeof(count)) > 0)
		;
}
