#include "script.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define LINE_BYTES 4096

/** A command and the expected output read so far. */
struct step {
	char command[LINE_BYTES];
	uint32_t line_number;
	struct bw_buffer expected;
};

static void run_step_(const char *path, struct step *step,
		      script_command_fn *command, void *context);
static int split_words_(char *text, char **argv);

void script_check(const char *path, script_command_fn *command, void *context)
{
	FILE *file = fopen(path, "r");
	char line[LINE_BYTES];
	struct step step = { .line_number = 0 };
	uint32_t line_number = 0;

	if (!file)
		fail_msg("cannot open script %s", path);
	while (fgets(line, sizeof(line), file)) {
		line_number++;
		if (line[0] == '#' || line[0] == '\n')
			continue;
		if (!strncmp(line, "> ", 2)) {
			run_step_(path, &step, command, context);
			strcpy(step.command, line + 2);
			step.line_number = line_number;
			continue;
		}
		bw_buffer_append(&step.expected, line, strlen(line));
	}
	run_step_(path, &step, command, context);
	bw_buffer_finish(&step.expected);
	fclose(file);
}

static void run_step_(const char *path, struct step *step,
		      script_command_fn *command, void *context)
{
	char *argv[SCRIPT_ARGS_MAX];
	struct bw_buffer out;
	int argc;

	if (!step->line_number)
		return;
	bw_buffer_init(&out);
	argc = split_words_(step->command, argv);
	command(context, argc, argv, &out);
	if (out.size_bytes != step->expected.size_bytes ||
	    (out.size_bytes &&
	     memcmp(out.data, step->expected.data, out.size_bytes)))
		fail_msg("%s:%u: expected:\n%.*sgot:\n%.*s", path,
			 step->line_number, (int)step->expected.size_bytes,
			 step->expected.data ? (char *)step->expected.data : "",
			 (int)out.size_bytes, out.data ? (char *)out.data : "");
	bw_buffer_finish(&out);
	bw_buffer_clear(&step->expected);
}

static int split_words_(char *text, char **argv)
{
	char *save = NULL;
	char *word = strtok_r(text, " \n", &save);
	int argc = 0;

	while (word && argc < SCRIPT_ARGS_MAX) {
		argv[argc++] = word;
		word = strtok_r(NULL, " \n", &save);
	}
	return argc;
}
