#include "ctl/command_line.h"

#include <argtable2.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "ctl/command_table.h"
#include "transport/secret_file.h"

#define PROGRAM "tamarackgwctl"
#define MAX_ERRORS 8

/* Definitions and values of the options. argtable2 takes the struct as an array
 * of pointers that ends with an arg_end. */
struct arguments {
	struct arg_str *store;
	struct arg_str *host;
	struct arg_str *who;
	struct arg_str *reason;
	struct arg_file *key_file;
	struct arg_lit *json;
	struct arg_lit *dry_run;
	struct arg_lit *help;
	struct arg_lit *version;
	struct arg_end *end;
};

/* The options, which all commands accept. */
static const struct {
	const char *name;
	bool has_value;
} options[] = {
	{"--store", true},    {"--host", true},	    {"--as", true},
	{"--reason", true},   {"--key-file", true}, {"--json", false},
	{"--dry-run", false}, {"--help", false},    {"--version", false},
	{"-h", false},
};

static void fill_arguments(struct arguments *arguments)
{
	arguments->store = arg_str0(NULL, "store", "URL",
				    "the platform's store (TGW_STORE)");
	arguments->host = arg_strn(NULL, "host", "URL", 0, CTL_HOSTS_MAX,
				   "a host's caller address (TGW_HOSTS, "
				   "separated by spaces)");
	arguments->who =
		arg_str0(NULL, "as", "NAME", "who you are (TGW_OPERATOR)");
	arguments->reason = arg_str0(NULL, "reason", "TEXT",
				     "reason; required for each change");
	arguments->key_file = arg_file0(NULL, "key-file", "FILE",
					"file with your operator key");
	arguments->json = arg_lit0(NULL, "json", "print JSON");
	arguments->dry_run = arg_lit0(NULL, "dry-run",
				      "show what would change, and change "
				      "nothing");
	arguments->help = arg_lit0("h", "help", "print this help");
	arguments->version = arg_lit0(NULL, "version", "print the version");
	arguments->end = arg_end(MAX_ERRORS);
}

/* Whether a word is one of the options above, "--name" or "--name=value".
 * value_follows receives whether the next word is the option's value. */
static bool is_option(const char *word, bool *value_follows)
{
	for (size_t i = 0; i < sizeof(options) / sizeof(options[0]); i++) {
		size_t length = strlen(options[i].name);

		if (strncmp(word, options[i].name, length) != 0)
			continue;
		if (word[length] == '=' && options[i].has_value) {
			*value_follows = false;
			return true;
		}
		if (!word[length]) {
			*value_follows = options[i].has_value;
			return true;
		}
	}
	return false;
}

/* Splits argv into options with their values, and other words. Returns the
 * number of entries in line->options. */
static int split_words(struct command_line *line, int argc, char **argv)
{
	int count = 1;

	line->options = xcalloc((size_t)argc + 1, sizeof(char *));
	line->words = xcalloc((size_t)argc + 1, sizeof(char *));
	line->options[0] = argv[0];
	for (int i = 1; i < argc; i++) {
		bool value_follows = false;

		if (!is_option(argv[i], &value_follows)) {
			line->words[line->word_count++] = argv[i];
			continue;
		}
		line->options[count++] = argv[i];
		if (value_follows && i + 1 < argc)
			line->options[count++] = argv[++i];
	}
	return count;
}

static void set_hosts(struct command_line *line, struct ctl *ctl)
{
	const struct arg_str *host = line->arguments->host;
	const char *environment = getenv("TGW_HOSTS");
	char *rest = NULL;

	for (int i = 0; i < host->count; i++)
		ctl->hosts[ctl->host_count++] = host->sval[i];
	if (ctl->host_count || !environment)
		return;
	line->hosts_copy = xstrdup(environment);
	for (char *url = strtok_r(line->hosts_copy, " ,\t\n", &rest);
	     url && ctl->host_count < CTL_HOSTS_MAX;
	     url = strtok_r(NULL, " ,\t\n", &rest))
		ctl->hosts[ctl->host_count++] = url;
}

static bool read_key(struct command_line *line, struct ctl *ctl)
{
	const struct arg_file *file = line->arguments->key_file;
	struct tgw_error error;

	if (!file->count)
		return true;
	if (secret_file_read(file->filename[0], &line->key, &error) != TGW_OK) {
		ctl_report(&error);
		return false;
	}
	while (line->key.size &&
	       strchr("\r\n ", line->key.data[line->key.size - 1]))
		line->key.data[--line->key.size] = '\0';
	ctl->operator_key = line->key.data;
	return true;
}

static const char *option_or_environment(const struct arg_str *option,
					 const char *variable)
{
	const char *value = getenv(variable);

	if (option->count)
		return option->sval[0];
	return value && *value ? value : NULL;
}

bool command_line_parse(struct command_line *line, struct ctl *ctl, int argc,
			char **argv)
{
	struct arguments *arguments = xcalloc(1, sizeof(*arguments));
	int count = split_words(line, argc, argv);

	line->arguments = arguments;
	fill_arguments(arguments);
	if (arg_parse(count, line->options, (void **)arguments) > 0) {
		arg_print_errors(stderr, arguments->end, PROGRAM);
		fprintf(stderr, "Try '" PROGRAM " --help'.\n");
		return false;
	}
	line->wants_help = arguments->help->count > 0;
	line->wants_version = arguments->version->count > 0;
	line->store_url = option_or_environment(arguments->store, "TGW_STORE");
	ctl->json = arguments->json->count > 0;
	ctl->dry_run = arguments->dry_run->count > 0;
	ctl->who = option_or_environment(arguments->who, "TGW_OPERATOR");
	ctl->reason = arguments->reason->count ? arguments->reason->sval[0]
					       : NULL;
	set_hosts(line, ctl);
	return read_key(line, ctl);
}

void command_line_print_help(const struct command_line *line)
{
	const char *group = line->word_count ? line->words[0] : NULL;

	printf("Usage: " PROGRAM " [OPTIONS] COMMAND [WORDS]\n\n"
	       "Publishes templates, teams and servers, and shows the state of "
	       "the fleet.\n\nCommands:\n");
	if (!command_table_print(group))
		command_table_print(NULL);
	printf("\nOptions:\n");
	arg_print_glossary(stdout, (void **)line->arguments, "  %-22s %s\n");
	printf("\nExit codes: 0 done, 1 failed, 2 wrong use, 3 another "
	       "operator's change\ncame first, 4 the change may have been stored or "
	       "not, 5 the store or a host does\nnot answer.\n");
}

void command_line_clear(struct command_line *line)
{
	arg_freetable((void **)line->arguments,
		      sizeof(*line->arguments) / sizeof(void *));
	free(line->arguments);
	free(line->options);
	free(line->words);
	free(line->hosts_copy);
	if (line->key.data)
		explicit_bzero(line->key.data, line->key.capacity);
	buffer_free(&line->key);
}
