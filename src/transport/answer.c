#include "transport/answer.h"

#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/xalloc.h"

#define ANSWER_HEADERS_MAX 8
#define CONTENT_TYPE_SIZE 128

struct answer_header {
	char *name;
	char *value;
};

struct answer {
	atomic_int references;
	pthread_mutex_t lock;
	struct answer_limits limits;
	struct answer_reader *readers; /* newest first */
	int32_t status;
	char content_type[CONTENT_TYPE_SIZE];
	size_t header_count;
	struct answer_header headers[ANSWER_HEADERS_MAX];
	struct buffer bytes; /* from offset `base` on */
	size_t base;	     /* bytes that were dropped from the start */
	bool started;
	bool finished;
	bool complete;
	bool size_known;
	void (*on_writable)(void *arg);
	void *on_writable_arg;
};

struct answer *answer_new(const struct answer_limits *limits)
{
	struct answer *answer = xcalloc(1, sizeof(*answer));

	atomic_init(&answer->references, 1);
	pthread_mutex_init(&answer->lock, NULL);
	answer->limits = *limits;
	return answer;
}

struct answer *answer_ref(struct answer *answer)
{
	atomic_fetch_add(&answer->references, 1);
	return answer;
}

static void release_references(struct answer *answer, int count)
{
	if (atomic_fetch_sub(&answer->references, count) > count)
		return;
	assert(!answer->readers);
	for (size_t i = 0; i < answer->header_count; i++) {
		free(answer->headers[i].name);
		free(answer->headers[i].value);
	}
	buffer_free(&answer->bytes);
	pthread_mutex_destroy(&answer->lock);
	free(answer);
}

void answer_unref(struct answer *answer)
{
	if (answer)
		release_references(answer, 1);
}

/* Locks the answer that the reader reads now; answer_move_readers() may change
 * it until the lock is held. */
static struct answer *lock_reader(struct answer_reader *reader)
{
	for (;;) {
		struct answer *answer =
			__atomic_load_n(&reader->answer, __ATOMIC_ACQUIRE);

		pthread_mutex_lock(&answer->lock);
		if (answer == reader->answer)
			return answer;
		pthread_mutex_unlock(&answer->lock);
	}
}

static void wake_reader(struct answer_reader *reader)
{
	if (!reader->parked)
		return;
	reader->parked = false;
	reader->wake(reader->arg);
}

static void wake_readers(struct answer *answer)
{
	for (struct answer_reader *r = answer->readers; r; r = r->next)
		wake_reader(r);
}

static void park_reader(struct answer_reader *reader)
{
	reader->parked = true;
	reader->park(reader->arg);
}

void answer_add_header(struct answer *answer, const char *name,
		       const char *value)
{
	struct answer_header *header;

	pthread_mutex_lock(&answer->lock);
	assert(!answer->started);
	assert(answer->header_count < ANSWER_HEADERS_MAX);
	header = &answer->headers[answer->header_count++];
	header->name = xstrdup(name);
	header->value = xstrdup(value);
	pthread_mutex_unlock(&answer->lock);
}

void answer_each_header(const struct answer *answer,
			void (*header)(void *arg, const char *name,
				       const char *value),
			void *arg)
{
	for (size_t i = 0; i < answer->header_count; i++)
		header(arg, answer->headers[i].name, answer->headers[i].value);
}

static void start_locked(struct answer *answer, int32_t status,
			 const char *content_type)
{
	assert(!answer->started);
	answer->started = true;
	answer->status = status;
	strncpy(answer->content_type, content_type,
		sizeof(answer->content_type) - 1);
}

void answer_start(struct answer *answer, int32_t status,
		  const char *content_type)
{
	pthread_mutex_lock(&answer->lock);
	start_locked(answer, status, content_type);
	pthread_mutex_unlock(&answer->lock);
}

/* The newest reader determines what is dropped and when the writer pauses;
 * older readers are served while the bytes are kept. */
static size_t newest_offset(const struct answer *answer)
{
	if (!answer->readers)
		return answer->base + answer->bytes.size;
	return answer->readers->offset;
}

static void drop_read_bytes(struct answer *answer)
{
	size_t read = newest_offset(answer) - answer->base;

	if (answer->base + answer->bytes.size <= answer->limits.keep_bytes)
		return;
	if (read < answer->limits.window_bytes / 2 && !answer->finished)
		return;
	buffer_consume(&answer->bytes, read);
	answer->base += read;
}

void answer_append(struct answer *answer, const void *data, size_t size)
{
	pthread_mutex_lock(&answer->lock);
	assert(answer->started && !answer->finished);
	buffer_add(&answer->bytes, data, size);
	drop_read_bytes(answer);
	pthread_mutex_unlock(&answer->lock);
}

void answer_flush(struct answer *answer)
{
	pthread_mutex_lock(&answer->lock);
	wake_readers(answer);
	pthread_mutex_unlock(&answer->lock);
}

void answer_finish(struct answer *answer, bool complete)
{
	pthread_mutex_lock(&answer->lock);
	assert(!answer->finished);
	answer->finished = true;
	answer->complete = complete;
	wake_readers(answer);
	pthread_mutex_unlock(&answer->lock);
}

void answer_set(struct answer *answer, int32_t status, const char *content_type,
		const void *body, size_t size)
{
	pthread_mutex_lock(&answer->lock);
	start_locked(answer, status, content_type);
	buffer_add(&answer->bytes, body, size);
	answer->size_known = true;
	answer->finished = true;
	answer->complete = true;
	wake_readers(answer);
	pthread_mutex_unlock(&answer->lock);
}

static bool is_full(const struct answer *answer)
{
	size_t end = answer->base + answer->bytes.size;

	return end - newest_offset(answer) >= answer->limits.window_bytes;
}

bool answer_may_write(struct answer *answer, void (*on_writable)(void *arg),
		      void *arg)
{
	bool may_write;

	pthread_mutex_lock(&answer->lock);
	may_write = !is_full(answer);
	answer->on_writable = may_write ? NULL : on_writable;
	answer->on_writable_arg = arg;
	pthread_mutex_unlock(&answer->lock);
	return may_write;
}

static void notify_writable(struct answer *answer)
{
	void (*on_writable)(void *arg) = answer->on_writable;
	size_t end = answer->base + answer->bytes.size;

	if (!on_writable ||
	    end - newest_offset(answer) > answer->limits.window_bytes / 2)
		return;
	answer->on_writable = NULL;
	on_writable(answer->on_writable_arg);
}

void answer_cancel_on_writable(struct answer *answer)
{
	pthread_mutex_lock(&answer->lock);
	answer->on_writable = NULL;
	pthread_mutex_unlock(&answer->lock);
}

bool answer_is_started(struct answer *answer)
{
	bool started;

	pthread_mutex_lock(&answer->lock);
	started = answer->started;
	pthread_mutex_unlock(&answer->lock);
	return started;
}

bool answer_is_finished(struct answer *answer)
{
	bool finished;

	pthread_mutex_lock(&answer->lock);
	finished = answer->finished;
	pthread_mutex_unlock(&answer->lock);
	return finished;
}

bool answer_is_replayable(struct answer *answer)
{
	bool replayable;

	pthread_mutex_lock(&answer->lock);
	replayable = answer->base == 0 &&
		     (!answer->finished || answer->complete);
	pthread_mutex_unlock(&answer->lock);
	return replayable;
}

size_t answer_size(struct answer *answer)
{
	size_t size;

	pthread_mutex_lock(&answer->lock);
	size = answer->base + answer->bytes.size;
	pthread_mutex_unlock(&answer->lock);
	return size;
}

void answer_attach(struct answer *answer, struct answer_reader *reader)
{
	pthread_mutex_lock(&answer->lock);
	reader->answer = answer_ref(answer);
	reader->offset = 0;
	reader->next = answer->readers;
	answer->readers = reader;
	pthread_mutex_unlock(&answer->lock);
}

void answer_detach(struct answer_reader *reader)
{
	struct answer *answer = lock_reader(reader);
	struct answer_reader **link = &answer->readers;

	while (*link != reader)
		link = &(*link)->next;
	*link = reader->next;
	notify_writable(answer);
	pthread_mutex_unlock(&answer->lock);
	answer_unref(answer);
}

void answer_move_readers(struct answer *from, struct answer *to)
{
	struct answer_reader *reader;
	int moved = 0;

	assert(from != to);
	pthread_mutex_lock(&from->lock);
	pthread_mutex_lock(&to->lock);
	assert(!from->started);
	while ((reader = from->readers)) {
		from->readers = reader->next;
		answer_ref(to);
		__atomic_store_n(&reader->answer, to, __ATOMIC_RELEASE);
		reader->next = to->readers;
		to->readers = reader;
		wake_reader(reader);
		moved++;
	}
	pthread_mutex_unlock(&to->lock);
	pthread_mutex_unlock(&from->lock);
	if (moved)
		release_references(from, moved);
}

bool answer_read_head(struct answer_reader *reader, struct answer_head *head)
{
	struct answer *answer = lock_reader(reader);
	bool started = answer->started;

	if (started) {
		head->status = answer->status;
		head->content_type = answer->content_type;
		head->size_known = answer->size_known;
		head->size = answer->bytes.size;
	} else {
		park_reader(reader);
	}
	pthread_mutex_unlock(&answer->lock);
	return started;
}

static enum answer_read_result read_locked(struct answer *answer,
					   struct answer_reader *reader,
					   char *bytes, size_t capacity,
					   size_t *size)
{
	size_t end = answer->base + answer->bytes.size;
	size_t left;

	*size = 0;
	if (reader->offset < answer->base)
		return ANSWER_TRUNCATED;
	left = end - reader->offset;
	if (left) {
		*size = left < capacity ? left : capacity;
		memcpy(bytes,
		       answer->bytes.data + (reader->offset - answer->base),
		       *size);
		reader->offset += *size;
		drop_read_bytes(answer);
		notify_writable(answer);
		return ANSWER_BYTES;
	}
	if (answer->finished)
		return answer->complete ? ANSWER_COMPLETE : ANSWER_TRUNCATED;
	park_reader(reader);
	return ANSWER_WAIT;
}

enum answer_read_result answer_read(struct answer_reader *reader, char *bytes,
				    size_t capacity, size_t *size)
{
	struct answer *answer = lock_reader(reader);
	enum answer_read_result result =
		read_locked(answer, reader, bytes, capacity, size);

	pthread_mutex_unlock(&answer->lock);
	return result;
}

void answer_wake_reader(struct answer_reader *reader)
{
	struct answer *answer = lock_reader(reader);

	wake_reader(reader);
	pthread_mutex_unlock(&answer->lock);
}

bool answer_reader_is_parked(struct answer_reader *reader)
{
	struct answer *answer = lock_reader(reader);
	bool parked = reader->parked;

	pthread_mutex_unlock(&answer->lock);
	return parked;
}
