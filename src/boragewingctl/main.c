/*
 * boragewingctl: the operators' client.
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <glib.h>
#include <sodium.h>

#include "bwbase/yaml.h"

#include "commands.h"

#define TOKEN_MAX_BYTES 256
#define DEFAULT_TIMEOUT_S 15
#define DEFAULT_INTERVAL_S 1.0
#define COMMAND_NAME_BYTES 64

static int parse_options_(int *argc, char ***argv, struct options *options,
			  char **token_file);
static char *build_description_(void);
static const struct command *find_command_(int argc, char **argv,
					   int *word_count);
static int read_token_(const char *path, char token[TOKEN_MAX_BYTES]);
static bool argument_count_matches_(int count, int expected);

int main(int argc, char **argv)
{
	struct options options = { .interval_s = DEFAULT_INTERVAL_S };
	char token[TOKEN_MAX_BYTES] = "";
	const struct command *command;
	char *token_file = NULL;
	int word_count = 0;
	int code = EXIT_USAGE;

	options.client.timeout_s = DEFAULT_TIMEOUT_S;
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT))
		return EXIT_USAGE;
	if (parse_options_(&argc, &argv, &options, &token_file))
		goto out;
	command = find_command_(argc - 1, argv + 1, &word_count);
	if (!command) {
		fprintf(stderr, "boragewingctl: unknown command; --help lists "
				"all commands\n");
		goto out;
	}
	if (!argument_count_matches_(argc - 1 - word_count,
				     command->argument_count)) {
		fprintf(stderr, "boragewingctl: usage: %s %s\n", command->name,
			command->arguments);
		goto out;
	}
	if (command->needs_host && (!options.client.host || !token_file)) {
		fprintf(stderr,
			"boragewingctl: %s needs --host and "
			"--token-file\n",
			command->name);
		goto out;
	}
	if (token_file && read_token_(token_file, token))
		goto out;
	options.client.token = token;
	code = command->run(&options, argv + 1 + word_count);
out:
	sodium_memzero(token, sizeof(token));
	g_free(token_file);
	g_free(options.submission);
	g_free((char *)options.client.host);
	curl_global_cleanup();
	return code;
}

static int parse_options_(int *argc, char ***argv, struct options *options,
			  char **token_file)
{
	gboolean json = FALSE;
	gboolean follow = FALSE;
	const GOptionEntry entries[] = {
		{ "host", 'H', 0, G_OPTION_ARG_STRING, &options->client.host,
		  "Operators' address of any host", "ADDRESS:PORT" },
		{ "token-file", 't', 0, G_OPTION_ARG_FILENAME, token_file,
		  "File with the operators' token", "FILE" },
		{ "json", 'j', 0, G_OPTION_ARG_NONE, &json,
		  "Print JSON instead of tables", NULL },
		{ "submission", 0, 0, G_OPTION_ARG_STRING, &options->submission,
		  "Submission id (default: from the sheet's content)", "ID" },
		{ "follow", 'f', 0, G_OPTION_ARG_NONE, &follow,
		  "Repeat a view until interrupted", NULL },
		{ "interval", 'i', 0, G_OPTION_ARG_DOUBLE, &options->interval_s,
		  "Seconds between repetitions", "S" },
		{ "count", 'n', 0, G_OPTION_ARG_INT, &options->repetitions,
		  "End after so many repetitions", "N" },
		{ 0 }
	};
	GOptionContext *context = g_option_context_new("COMMAND [ARGUMENT]");
	char *description = build_description_();
	GError *error = NULL;
	int failed = 0;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_description(context, description);
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "boragewingctl: %s\n", error->message);
		g_error_free(error);
		failed = 1;
	}
	options->json = json;
	options->follow = follow;
	g_free(description);
	g_option_context_free(context);
	return failed;
}

static char *build_description_(void)
{
	GString *text = g_string_new("Commands:\n");
	const struct command *command;

	for (command = commands; command->name; command++)
		g_string_append_printf(text, "  %-14s %-5s %s\n", command->name,
				       command->arguments, command->help);
	g_string_append(
		text,
		"\nExit codes: 0 done; 1 rejected (sheet invalid or in "
		"conflict); 2 invalid options or\nfiles; 3 host or control "
		"majority unreachable, the outcome of a submission is then\n"
		"unknown and submitting it again is safe; 4 token rejected.");
	return g_string_free(text, FALSE);
}

static const struct command *find_command_(int argc, char **argv,
					   int *word_count)
{
	const struct command *command;
	char two_word_name[COMMAND_NAME_BYTES] = "";

	if (argc < 1)
		return NULL;
	if (argc > 1)
		snprintf(two_word_name, sizeof(two_word_name), "%s %s", argv[0],
			 argv[1]);
	for (command = commands; command->name; command++) {
		if (!strcmp(command->name, two_word_name)) {
			*word_count = 2;
			return command;
		}
		if (!strcmp(command->name, argv[0])) {
			*word_count = 1;
			return command;
		}
	}
	return NULL;
}

static int read_token_(const char *path, char token[TOKEN_MAX_BYTES])
{
	struct bw_yaml_error error;
	struct bw_buffer text;
	int failed = 1;

	bw_buffer_init(&text);
	if (bw_file_read(path, TOKEN_MAX_BYTES - 1, &text, &error) == BW_OK) {
		memcpy(token, text.data ? (char *)text.data : "",
		       text.size_bytes);
		token[text.size_bytes] = '\0';
		token[strcspn(token, "\r\n")] = '\0';
		failed = 0;
	} else {
		fprintf(stderr, "boragewingctl: %s\n", error.text);
	}
	bw_buffer_finish(&text);
	return failed;
}

static bool argument_count_matches_(int count, int expected)
{
	return expected < 0 ? count >= -expected : count == expected;
}
