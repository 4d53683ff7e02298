/**
 * @file quarantine_report.h
 * The stored form of one host's report: the requests that it saw crash backend
 * servers, and those that were served since.
 */
#ifndef STATE_QUARANTINE_REPORT_H
#define STATE_QUARANTINE_REPORT_H

#include "base/buffer.h"
#include "state/quarantine_table.h"

struct quarantine_report {
	int64_t written_us; /**< wall time */
	struct quarantine_table table;
};

/** Appends the encoded report. */
void quarantine_report_encode(const struct quarantine_report *report,
			      struct buffer *value);

/** Decodes a report.
 * @param report is overwritten; its table has to be freed
 * @return OK; CORRUPT or NEWER_FORMAT with the table empty */
enum tgw_status quarantine_report_decode(struct quarantine_report *report,
					 const void *value, size_t size,
					 struct tgw_error *error);

#endif
