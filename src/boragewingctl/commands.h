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
	EXIT_REFUSED = 1, /**< sheet invalid or in conflict, change refused */
	EXIT_USAGE = 2, /**< wrong options or files */
	EXIT_UNREACHABLE = 3, /**< host or control majority not reached */
	EXIT_CREDENTIAL = 4 /**< token refused */
};

/** Options shared by the commands. */
struct options {
	struct client client;
	char *submission; /**< NULL: derived from the sheet's content */
	bool json; /**< print the host's JSON as it is */
	bool follow;
	double interval_s; /**< of --follow */
	int repetitions; /**< of --follow; 0: no end */
};

/** One command. */
struct command {
	const char *words; /**< for example "sheet submit" */
	const char *arguments; /**< for the help text */
	const char *help;
	int argument_count; /**< negative: at least so many */
	bool needs_host;
	int (*run)(const struct options *options, char **arguments);
};

/** All commands; the last entry has no words. */
extern const struct command commands[];

#endif
