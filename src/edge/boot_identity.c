#include "edge/boot_identity.h"

#include <stdio.h>
#include <string.h>
#include <xxhash.h>

#include "edge/edge_clock.h"
#include "tamarackgw/clock.h"

#define BOOT_ID_FILE "/proc/sys/kernel/random/boot_id"
/* Of a UUID in text. */
#define BOOT_ID_LENGTH 36
/* The time of the boot is rounded to this, as the wall clock is adjusted. */
#define BOOT_TIME_STEP_US (8 * TGW_US_PER_S)

uint32_t boot_identity(const char *address)
{
	char text[BOOT_ID_LENGTH + 64 + 160];
	char id[BOOT_ID_LENGTH + 1] = "";
	FILE *file = fopen(BOOT_ID_FILE, "r");
	size_t length = 0;
	uint32_t hash;

	if (!file)
		return 0;
	length = fread(id, 1, BOOT_ID_LENGTH, file);
	fclose(file);
	if (length != BOOT_ID_LENGTH)
		return 0;
	snprintf(text, sizeof(text), "%s %lld %s", id,
		 (long long)((edge_wall_us() - edge_now_us()) /
			     BOOT_TIME_STEP_US),
		 address);
	hash = XXH32(text, strlen(text), 0);
	return hash ? hash : 1;
}
