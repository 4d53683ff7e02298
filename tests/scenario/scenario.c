#include "scenario/scenario.h"

#include <ctype.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "tamarackgw/clock.h"

void scenario_fail(const struct scenario_step *step, const char *format, ...)
{
	va_list args;

	fflush(stdout);
	fprintf(stderr, "%s:%d: ", step->file, step->line);
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
	exit(2);
}

/* Splits the line in place into words and strips their quotes. */
static void split(struct scenario_step *step, char *line)
{
	char *at = line;

	step->word_count = 0;
	for (;;) {
		char end = ' ';

		while (isspace((unsigned char)*at))
			at++;
		if (!*at)
			return;
		if (step->word_count == SCENARIO_WORDS_MAX)
			scenario_fail(step, "more than %d words",
				      SCENARIO_WORDS_MAX);
		if (*at == '"') {
			end = '"';
			at++;
		}
		step->words[step->word_count++] = at;
		while (*at &&
		       (end == '"' ? *at != '"' : !isspace((unsigned char)*at)))
			at++;
		if (*at)
			*at++ = '\0';
	}
}

static void run_step(const struct scenario_step *step,
		     const struct scenario_verb *verbs, void *world)
{
	const struct scenario_verb *verb = verbs;

	while (verb->name && strcmp(verb->name, step->words[0]))
		verb++;
	if (!verb->name)
		scenario_fail(step, "unknown verb '%s'", step->words[0]);
	if (step->word_count - 1 < verb->min_words ||
	    step->word_count - 1 > verb->max_words)
		scenario_fail(step, "'%s' takes %zu to %zu words", verb->name,
			      verb->min_words, verb->max_words);
	verb->run(world, step);
}

int scenario_run(const char *path, const struct scenario_verb *verbs,
		 void *world)
{
	struct scenario_step step = {.file = path};
	char *line = NULL;
	size_t capacity = 0;
	ssize_t length;
	FILE *file = fopen(path, "r");

	if (!file) {
		perror(path);
		return 2;
	}
	while ((length = getline(&line, &capacity, file)) >= 0) {
		step.line++;
		while (length > 0 && isspace((unsigned char)line[length - 1]))
			line[--length] = '\0';
		if (!*line || *line == '#')
			continue;
		printf("> %s\n", line);
		split(&step, line);
		if (!step.word_count)
			continue;
		run_step(&step, verbs, world);
	}
	free(line);
	fclose(file);
	return 0;
}

int64_t scenario_number(const struct scenario_step *step, size_t word)
{
	char *end = NULL;
	long long value;

	if (word >= step->word_count)
		scenario_fail(step, "argument %zu, a number, is missing", word);
	value = strtoll(step->words[word], &end, 10);
	if (end == step->words[word] || *end)
		scenario_fail(step, "'%s' is not a number", step->words[word]);
	return value;
}

int64_t scenario_time_us(const struct scenario_step *step, size_t word)
{
	static const struct {
		const char *unit;
		int64_t factor_us;
	} units[] = {
		{"us", 1},
		{"ms", TGW_US_PER_MS},
		{"s", TGW_US_PER_S},
		{"m", 60 * TGW_US_PER_S},
		{"h", 3600 * TGW_US_PER_S},
	};
	char *end = NULL;
	long long value;

	if (word >= step->word_count)
		scenario_fail(step, "argument %zu, a duration, is missing",
			      word);
	value = strtoll(step->words[word], &end, 10);
	for (size_t i = 0; i < sizeof(units) / sizeof(units[0]); i++)
		if (end != step->words[word] && !strcmp(end, units[i].unit))
			return value * units[i].factor_us;
	scenario_fail(step, "'%s' is not a duration such as 250ms or 3s",
		      step->words[word]);
}

const char *scenario_option(const struct scenario_step *step, const char *name,
			    const char *fallback)
{
	size_t length = strlen(name);

	for (size_t i = 1; i < step->word_count; i++)
		if (!strncmp(step->words[i], name, length) &&
		    step->words[i][length] == '=')
			return step->words[i] + length + 1;
	return fallback;
}
