/**
 * @file prompt_parts.h
 * The parts of a request's prompt that other requests may have, too, in their
 * order. The last part of a prompt is the request's own and is not among them.
 */
#ifndef STATE_PROMPT_PARTS_H
#define STATE_PROMPT_PARTS_H

#include <stddef.h>
#include <stdint.h>

/** Of a prompt with more shared parts, only the first ones are known. */
#define PROMPT_PARTS_MAX 8
/** Size of a part's id. A digest stands for a longer one, and for one that is
 * not made of letters, digits, "-", "_" and ".", as ids are not cut and then
 * compared. */
#define PROMPT_PART_ID_SIZE 24

struct prompt_parts {
	uint32_t count;
	char ids[PROMPT_PARTS_MAX][PROMPT_PART_ID_SIZE]; /**< lower case */
};

/** Room for prompt_parts_to_text(). */
#define PROMPT_PARTS_TEXT_SIZE (PROMPT_PARTS_MAX * PROMPT_PART_ID_SIZE + 2)

/** Adds a part unless there is no room. Ids are hexadecimal: upper and lower
 * case are the same.
 * @param id need not be null-terminated */
void prompt_parts_add(struct prompt_parts *parts, const char *id, size_t size);

/** Writes the ids with commas between them, for the log; "-" for none. */
void prompt_parts_to_text(const struct prompt_parts *parts,
			  char text[PROMPT_PARTS_TEXT_SIZE]);

#endif
