#include "state/link_load.h"

#include <string.h>

#include "tamarackgw/clock.h"

#define BYTES_PER_S_PER_MBPS (1000 * 1000 / 8)
/* Each measurement moves the average by one part in so many. */
#define SMOOTHING 4

void link_load_init(struct link_load *load, int64_t link_mbps)
{
	memset(load, 0, sizeof(*load));
	load->capacity_bytes_per_s = link_mbps * BYTES_PER_S_PER_MBPS;
}

static int64_t average(int64_t before, uint64_t bytes, int64_t elapsed_us)
{
	int64_t rate = (int64_t)bytes * TGW_US_PER_S / elapsed_us;

	return before + (rate - before) / SMOOTHING;
}

void link_load_update(struct link_load *load, const struct link_bytes *bytes,
		      int64_t now_us)
{
	int64_t elapsed_us = now_us - load->measured_us;
	struct link_bytes last = load->measured;

	if (load->measured_us && elapsed_us <= 0)
		return;
	if (load->measured_us) {
		load->received_bytes_per_s =
			average(load->received_bytes_per_s,
				bytes->received_bytes - last.received_bytes,
				elapsed_us);
		load->sent_bytes_per_s = average(
			load->sent_bytes_per_s,
			bytes->sent_bytes - last.sent_bytes, elapsed_us);
	}
	load->measured = *bytes;
	load->measured_us = now_us;
}

uint32_t link_load_percent(const struct link_load *load)
{
	int64_t busier = load->received_bytes_per_s > load->sent_bytes_per_s
				 ? load->received_bytes_per_s
				 : load->sent_bytes_per_s;

	if (!load->capacity_bytes_per_s)
		return 0;
	return (uint32_t)(busier * 100 / load->capacity_bytes_per_s);
}
