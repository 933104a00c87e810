/**
 * @file
 * Commands of the operators' client.
 */
#ifndef BORAGEWINGCTL_COMMANDS_H
#define BORAGEWINGCTL_COMMANDS_H

#include <stdbool.h>

#include "client.h"

/** Exit codes. */
enum exit_code {
	EXIT_DONE = 0,
	EXIT_REFUSED = 1, /**< sheet invalid or in conflict, change rejected */
	EXIT_USAGE = 2, /**< invalid options or files */
	EXIT_UNREACHABLE = 3, /**< host or control majority unreachable */
	EXIT_CREDENTIAL = 4 /**< token rejected */
};

/** Options shared by the commands. */
struct options {
	struct client client;
	char *submission; /**< NULL: derived from the sheet's content */
	bool json; /**< print the JSON of the response */
	bool follow; /**< repeat a view */
	double interval_s; /**< between repetitions of --follow */
	int repetitions; /**< of --follow; 0: unlimited */
};

/** One command. */
struct command {
	const char *name; /**< one or two words, for example "sheet submit" */
	const char *arguments; /**< for the help text */
	const char *help;
	int argument_count; /**< -N: at least N */
	bool needs_host; /**< --host and --token-file are required */
	int (*run)(const struct options *options, char **arguments);
};

/** All commands; the name of the last entry is NULL. */
extern const struct command commands[];

#endif
