/**
 * @file
 * Test scripts: commands and their expected output in one file.
 *
 * A line that starts with "> " is a command; the lines up to the next command
 * are the expected output. Lines that start with "#" and empty lines are
 * ignored.
 */
#ifndef SHARE_SCRIPT_H
#define SHARE_SCRIPT_H

#include "bwbase/buffer.h"

/** Maximum number of words of a command; further words are ignored. */
#define SCRIPT_ARGS_MAX 32

/**
 * Executes one command.
 * @param context the context passed to script_check
 * @param argc number of words, at least 1
 * @param argv the words
 * @param out receives the output, each line ended by a newline
 */
typedef void script_command_fn(void *context, int argc, char **argv,
			       struct bw_buffer *out);

/**
 * Runs a script. Fails the current cmocka test at the first command whose
 * output differs from the expected output.
 */
void script_check(const char *path, script_command_fn *command, void *context);

#endif
