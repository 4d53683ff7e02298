/**
 * @file scenario.h
 * The scenario language: each line is one step, a verb and its arguments.
 *
 * Empty lines and lines that start with '#' are ignored. Words may be enclosed
 * in double quotes. Each step is echoed as "> step" before it runs, followed
 * by what the step prints, so that the .expected file beside the scenario
 * reads like a transcript. Durations are written 500us, 250ms, 3s, 5m or 1h.
 */
#ifndef SCENARIO_SCENARIO_H
#define SCENARIO_SCENARIO_H

#include <stddef.h>
#include <stdint.h>

#define SCENARIO_WORDS_MAX 24

/** One parsed step. */
struct scenario_step {
	const char *file;
	int line;
	size_t word_count;
	char *words[SCENARIO_WORDS_MAX]; /**< words[0] is the verb */
};

/** A verb that the scenarios of one area understand. */
struct scenario_verb {
	const char *name;
	size_t min_words; /**< arguments, without the verb */
	size_t max_words;
	void (*run)(void *world, const struct scenario_step *step);
};

/** Runs a scenario file. The verb table ends with an entry whose name is NULL.
 * @return the exit code for the process */
int scenario_run(const char *path, const struct scenario_verb *verbs,
		 void *world);

/** Prints the step's file and line with a message, and ends the process. */
_Noreturn void scenario_fail(const struct scenario_step *step,
			     const char *format, ...)
	__attribute__((format(printf, 2, 3)));

int64_t scenario_time_us(const struct scenario_step *step, size_t word);
int64_t scenario_number(const struct scenario_step *step, size_t word);

/** @return the value of the step's argument "name=value", or the fallback */
const char *scenario_option(const struct scenario_step *step, const char *name,
			    const char *fallback);

#endif
