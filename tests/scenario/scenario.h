/**
 * @file scenario.h
 * The scenario language: one step a line, a verb and its words.
 *
 * Empty lines and lines that start with '#' are passed over. Words may be
 * quoted with double quotes. Each step is echoed as "> step" before it runs,
 * and what the step prints follows, so that the output beside the file reads
 * like a transcript. Amounts of time are written 250ms, 3s, 5m or 1h.
 */
#ifndef SCENARIO_SCENARIO_H
#define SCENARIO_SCENARIO_H

#include <stddef.h>
#include <stdint.h>

#define SCENARIO_WORDS_MAX 24

/** One step as it was read. */
struct scenario_step {
	const char *file;
	int line;
	size_t word_count;
	char *words[SCENARIO_WORDS_MAX]; /**< the verb is words[0] */
};

/** A verb of an area's language. */
struct scenario_verb {
	const char *name;
	size_t min_words; /**< after the verb */
	size_t max_words;
	void (*run)(void *world, const struct scenario_step *step);
};

/** Runs a file. The table ends with an entry whose name is NULL.
 * @return the process's exit code */
int scenario_run(const char *path, const struct scenario_verb *verbs,
		 void *world);

/** Ends the process with the step's place and a message. */
_Noreturn void scenario_fail(const struct scenario_step *step,
			     const char *format, ...)
	__attribute__((format(printf, 2, 3)));

int64_t scenario_time_us(const struct scenario_step *step, size_t word);
int64_t scenario_number(const struct scenario_step *step, size_t word);

/** @return the value of a word "name=value" of the step, or the default */
const char *scenario_option(const struct scenario_step *step, const char *name,
			    const char *otherwise);

#endif
