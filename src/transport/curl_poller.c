#include "transport/curl_poller.h"

#include <errno.h>
#include <sys/epoll.h>
#include <time.h>
#include <unistd.h>

#include "tamarackgw/clock.h"

#define EVENTS_MAX 256

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / 1000;
}

static int on_socket(CURL *easy, curl_socket_t socket, int what, void *arg,
		     void *socket_arg)
{
	const struct curl_poller *poller = arg;
	struct epoll_event event = {.data.fd = socket};

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(poller->epoll, EPOLL_CTL_DEL, socket, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	if (epoll_ctl(poller->epoll, EPOLL_CTL_MOD, socket, &event) &&
	    epoll_ctl(poller->epoll, EPOLL_CTL_ADD, socket, &event))
		return -1;
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct curl_poller *poller = arg;

	poller->due_us = timeout_ms < 0 ? -1
					: now_us() + timeout_ms * TGW_US_PER_MS;
	return 0;
}

int curl_poller_open(struct curl_poller *poller, CURLM *multi)
{
	struct epoll_event event = {.events = EPOLLIN};

	poller->multi = multi;
	poller->due_us = -1;
	poller->epoll = epoll_create1(EPOLL_CLOEXEC);
	if (poller->epoll < 0 || wakeup_open(&poller->wakeup))
		return -1;
	event.data.fd = poller->wakeup.descriptor;
	if (epoll_ctl(poller->epoll, EPOLL_CTL_ADD, poller->wakeup.descriptor,
		      &event))
		return -1;
	curl_multi_setopt(multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(multi, CURLMOPT_SOCKETDATA, poller);
	curl_multi_setopt(multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(multi, CURLMOPT_TIMERDATA, poller);
	return 0;
}

void curl_poller_close(struct curl_poller *poller)
{
	close(poller->epoll);
	wakeup_close(&poller->wakeup);
}

static int wait_ms_of(const struct curl_poller *poller, int64_t wait_us)
{
	if (poller->due_us >= 0) {
		int64_t left_us = poller->due_us - now_us();

		if (left_us < wait_us)
			wait_us = left_us > 0 ? left_us : 0;
	}
	return (int)((wait_us + TGW_US_PER_MS - 1) / TGW_US_PER_MS);
}

static int actions_of(uint32_t events)
{
	int actions = 0;

	if (events & EPOLLIN)
		actions |= CURL_CSELECT_IN;
	if (events & EPOLLOUT)
		actions |= CURL_CSELECT_OUT;
	if (events & (EPOLLERR | EPOLLHUP))
		actions |= CURL_CSELECT_ERR;
	return actions;
}

void curl_poller_run(struct curl_poller *poller, int64_t wait_us)
{
	struct epoll_event events[EVENTS_MAX];
	int running;
	int count = epoll_wait(poller->epoll, events, EVENTS_MAX,
			       wait_ms_of(poller, wait_us));

	for (int i = 0; i < count; i++) {
		if (events[i].data.fd == poller->wakeup.descriptor)
			wakeup_clear(&poller->wakeup);
		else
			curl_multi_socket_action(poller->multi,
						 events[i].data.fd,
						 actions_of(events[i].events),
						 &running);
	}
	if (poller->due_us >= 0 && now_us() >= poller->due_us) {
		poller->due_us = -1;
		curl_multi_socket_action(poller->multi, CURL_SOCKET_TIMEOUT, 0,
					 &running);
	}
}

void curl_poller_wake(const struct curl_poller *poller)
{
	wakeup_signal(&poller->wakeup);
}
