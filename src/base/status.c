#include "tamarackgw/status.h"

#include <stdarg.h>
#include <stdio.h>

static const char *const status_names[TGW_STATUS_COUNT] = {
	[TGW_OK] = "ok",
	[TGW_CONFLICT] = "conflict",
	[TGW_NOT_FOUND] = "not_found",
	[TGW_UNAVAILABLE] = "unavailable",
	[TGW_UNKNOWN] = "unknown",
	[TGW_INVALID] = "invalid",
	[TGW_EXHAUSTED] = "exhausted",
	[TGW_BUSY] = "busy",
	[TGW_DENIED] = "denied",
	[TGW_CORRUPT] = "corrupt",
	[TGW_NEWER_FORMAT] = "newer_format",
	[TGW_TIMEOUT] = "timeout",
	[TGW_CANCELLED] = "cancelled",
	[TGW_QUARANTINED] = "quarantined",
	[TGW_TOO_LARGE] = "too_large",
	[TGW_INTERNAL] = "internal",
};

const char *tgw_status_name(enum tgw_status status)
{
	if ((unsigned int)status >= TGW_STATUS_COUNT)
		return "internal";
	return status_names[status];
}

enum tgw_status tgw_error_set(struct tgw_error *error, enum tgw_status status,
			      const char *format, ...)
{
	va_list args;

	if (!error)
		return status;
	error->status = status;
	va_start(args, format);
	vsnprintf(error->message, sizeof(error->message), format, args);
	va_end(args);
	return status;
}

void tgw_error_clear(struct tgw_error *error)
{
	error->status = TGW_OK;
	error->message[0] = '\0';
}
