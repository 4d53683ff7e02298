#include "state/held_bytes.h"

#include <assert.h>

#define BYTES_PER_MB ((int64_t)1024 * 1024)
/* Assumed if the host's memory is unknown. */
#define UNKNOWN_MEMORY_MB 256

void held_bytes_init(struct held_bytes *held, int64_t memory_mb,
		     int64_t percent, int64_t item_max_bytes)
{
	int64_t total_mb = memory_mb ? memory_mb : UNKNOWN_MEMORY_MB;

	held->limit_bytes = total_mb * percent * BYTES_PER_MB / 100;
	held->item_max_bytes = item_max_bytes ? item_max_bytes
					      : held->limit_bytes;
	held->total_bytes = 0;
	held->peak_bytes = 0;
}

enum held_verdict held_bytes_check(const struct held_bytes *held,
				   int64_t own_bytes, int64_t next_bytes)
{
	if (next_bytes <= own_bytes || next_bytes <= HELD_BYTES_ITEM_MIN)
		return HELD_FITS;
	if (next_bytes > held->item_max_bytes)
		return HELD_ITEM_TOO_LARGE;
	if (held->total_bytes - own_bytes + next_bytes > held->limit_bytes)
		return HELD_HOST_FULL;
	return HELD_FITS;
}

void held_bytes_record(struct held_bytes *held, int64_t *own_bytes,
		       int64_t now_bytes)
{
	held->total_bytes += now_bytes - *own_bytes;
	*own_bytes = now_bytes;
	assert(held->total_bytes >= 0);
	if (held->total_bytes > held->peak_bytes)
		held->peak_bytes = held->total_bytes;
}

int64_t held_bytes_limit(const struct held_bytes *held,
			 enum held_verdict verdict)
{
	return verdict == HELD_HOST_FULL ? held->limit_bytes
					 : held->item_max_bytes;
}
