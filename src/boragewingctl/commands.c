#include "commands.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include <sodium.h>

#include "bwbase/chart.h"
#include "bwsteer/sheet.h"

#include "explain.h"
#include "print.h"

#define PATH_BYTES 256
#define SECRET_BYTES 32
#define SUBMISSION_BYTES 64

static int cmd_sheet_check_(const struct options *options, char **arguments);
static int cmd_sheet_submit_(const struct options *options, char **arguments);
static int cmd_sheet_show_(const struct options *options, char **arguments);
static int cmd_sheet_accepted_(const struct options *options, char **arguments);
static int cmd_status_(const struct options *options, char **arguments);
static int cmd_hosts_(const struct options *options, char **arguments);
static int cmd_regions_(const struct options *options, char **arguments);
static int cmd_links_(const struct options *options, char **arguments);
static int cmd_services_(const struct options *options, char **arguments);
static int cmd_backends_(const struct options *options, char **arguments);
static int cmd_drains_(const struct options *options, char **arguments);
static int cmd_shifts_(const struct options *options, char **arguments);
static int cmd_dump_(const struct options *options, char **arguments);
static int cmd_leave_(const struct options *options, char **arguments);
static int cmd_group_add_(const struct options *options, char **arguments);
static int cmd_group_remove_(const struct options *options, char **arguments);
static int cmd_explain_(const struct options *options, char **arguments);
static int cmd_key_generate_(const struct options *options, char **arguments);
static int cmd_chart_draw_(const struct options *options, char **arguments);
static int read_sheet_(const char *path, struct bw_buffer *text,
		       struct bw_sheet **sheet);
static int show_view_(const struct options *options, const char *path,
		      void (*print)(const json_t *value));
static int print_view_(const struct options *options, const char *path,
		       void (*print)(const json_t *value));
static int post_request_(const struct options *options, const char *path,
			 const char *submission, const struct bw_buffer *body);
static int change_group_(const struct options *options, const char *operation,
			 const char *host);
static int get_exit_code_(const struct client_response *response);
static void print_failure_(const struct client_response *response);

const struct command commands[] = {
	{ "sheet check", "FILE", "check a sheet without contacting a host", 1,
	  false, cmd_sheet_check_ },
	{ "sheet submit", "FILE",
	  "check and submit a sheet; resubmitting the same sheet returns the "
	  "first result",
	  1, true, cmd_sheet_submit_ },
	{ "sheet show", "", "print the sheet in force at the host", 0, true,
	  cmd_sheet_show_ },
	{ "sheet accepted", "",
	  "show the revision accepted by the control majority", 0, true,
	  cmd_sheet_accepted_ },
	{ "status", "", "show the status of the host", 0, true, cmd_status_ },
	{ "hosts", "",
	  "show every failure domain and host with its revision in force", 0,
	  true, cmd_hosts_ },
	{ "regions", "", "show regions with slots and load", 0, true,
	  cmd_regions_ },
	{ "links", "", "show links between regions", 0, true, cmd_links_ },
	{ "services", "", "show services by failure domain", 0, true,
	  cmd_services_ },
	{ "backends", "", "show backend servers known to the host", 0, true,
	  cmd_backends_ },
	{ "drains", "", "show planned drains", 0, true, cmd_drains_ },
	{ "shifts", "", "show shares and shifts; --follow repeats", 0, true,
	  cmd_shifts_ },
	{ "dump", "", "print the state of the host's process", 0, true,
	  cmd_dump_ },
	{ "leave", "", "start a graceful shutdown of the host", 0, true,
	  cmd_leave_ },
	{ "group add", "HOST", "add a control host to the group", 1, true,
	  cmd_group_add_ },
	{ "group remove", "HOST", "remove a control host from the group", 1,
	  true, cmd_group_remove_ },
	{ "explain", "ID LOG...", "show how a request ended, from log files",
	  -2, false, cmd_explain_ },
	{ "key generate", "FILE", "write a new fleet key or token", 1, false,
	  cmd_key_generate_ },
	{ "chart draw", "FILE", "print a state chart as a Mermaid diagram", 1,
	  false, cmd_chart_draw_ },
	{ 0 }
};

static int cmd_sheet_check_(const struct options *options, char **arguments)
{
	struct bw_buffer text;
	struct bw_sheet *sheet = NULL;
	int code;

	(void)options;
	bw_buffer_init(&text);
	code = read_sheet_(arguments[0], &text, &sheet);
	if (code == EXIT_DONE)
		printf("%s: revision %llu of %s is valid\n", arguments[0],
		       (unsigned long long)sheet->revision, sheet->deployment);
	bw_sheet_free(sheet);
	bw_buffer_finish(&text);
	return code;
}

/*
 * The default submission id is derived from the content, so that a repeated
 * submission of the same file is recognized without client-side state.
 */
static int cmd_sheet_submit_(const struct options *options, char **arguments)
{
	char submission[SUBMISSION_BYTES];
	struct bw_buffer text;
	struct bw_sheet *sheet = NULL;
	int code;

	bw_buffer_init(&text);
	code = read_sheet_(arguments[0], &text, &sheet);
	if (code == EXIT_DONE) {
		strcpy(submission, "sheet-");
		sodium_bin2hex(submission + 6, sizeof(submission) - 6,
			       sheet->hash, sizeof(sheet->hash));
		code = post_request_(options, "/v1/sheet",
				     options->submission ? options->submission
							 : submission,
				     &text);
	}
	bw_sheet_free(sheet);
	bw_buffer_finish(&text);
	return code;
}

static int cmd_sheet_show_(const struct options *options, char **arguments)
{
	struct client_response response;
	int code;

	(void)arguments;
	client_request(&options->client, "GET", "/v1/sheet", NULL, NULL, 0,
		       &response);
	code = get_exit_code_(&response);
	if (code == EXIT_DONE)
		fwrite(response.body.data, 1, response.body.size_bytes, stdout);
	else
		print_failure_(&response);
	client_response_finish(&response);
	return code;
}

static int cmd_sheet_accepted_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/accepted", print_members);
}

static int cmd_status_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/status", print_members);
}

static int cmd_hosts_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/hosts", print_hosts);
}

static int cmd_regions_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/regions", print_table);
}

static int cmd_links_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/links", print_table);
}

static int cmd_services_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/services", print_services);
}

static int cmd_backends_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/backends", print_table);
}

static int cmd_drains_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/drains", print_table);
}

static int cmd_shifts_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/shifts", print_shifts);
}

static int cmd_dump_(const struct options *options, char **arguments)
{
	(void)arguments;
	return show_view_(options, "/v1/dump", print_json);
}

static int cmd_leave_(const struct options *options, char **arguments)
{
	(void)arguments;
	return post_request_(options, "/v1/leave", NULL, NULL);
}

static int cmd_group_add_(const struct options *options, char **arguments)
{
	return change_group_(options, "add", arguments[0]);
}

static int cmd_group_remove_(const struct options *options, char **arguments)
{
	return change_group_(options, "remove", arguments[0]);
}

static int change_group_(const struct options *options, const char *operation,
			 const char *host)
{
	char path[PATH_BYTES];

	snprintf(path, sizeof(path), "/v1/group/%s?host=%s", operation, host);
	return post_request_(options, path, NULL, NULL);
}

static int cmd_explain_(const struct options *options, char **arguments)
{
	(void)options;
	return explain_request(arguments[0], arguments + 1);
}

/* Never overwrites an existing file, since the fleet may be using its key. */
static int cmd_key_generate_(const struct options *options, char **arguments)
{
	uint8_t secret[SECRET_BYTES];
	char text[2 * SECRET_BYTES + 1];
	int fd = open(arguments[0], O_WRONLY | O_CREAT | O_EXCL, S_IRUSR);
	int code = EXIT_DONE;

	(void)options;
	if (fd < 0) {
		fprintf(stderr, "%s: %s\n", arguments[0], strerror(errno));
		return EXIT_USAGE;
	}
	randombytes_buf(secret, sizeof(secret));
	sodium_bin2hex(text, sizeof(text), secret, sizeof(secret));
	if (dprintf(fd, "%s\n", text) < 0 || fsync(fd)) {
		fprintf(stderr, "%s: %s\n", arguments[0], strerror(errno));
		code = EXIT_USAGE;
	}
	close(fd);
	sodium_memzero(secret, sizeof(secret));
	sodium_memzero(text, sizeof(text));
	return code;
}

static int cmd_chart_draw_(const struct options *options, char **arguments)
{
	struct bw_yaml_error error;
	struct bw_buffer out;
	int code = EXIT_DONE;

	(void)options;
	bw_buffer_init(&out);
	if (bw_chart_draw(arguments[0], &out, &error) == BW_OK) {
		fwrite(out.data, 1, out.size_bytes, stdout);
	} else {
		fprintf(stderr, "%s:%u: %s\n", arguments[0], error.line,
			error.text);
		code = EXIT_USAGE;
	}
	bw_buffer_finish(&out);
	return code;
}

static int read_sheet_(const char *path, struct bw_buffer *text,
		       struct bw_sheet **sheet)
{
	struct bw_yaml_error error;
	struct bw_sheet_errors errors;
	enum bw_status status;
	uint32_t i;

	status = bw_file_read(path, BW_SHEET_MAX_BYTES, text, &error);
	if (status != BW_OK) {
		fprintf(stderr, "%s\n", error.text);
		return EXIT_USAGE;
	}
	bw_sheet_errors_init(&errors);
	status = bw_sheet_load(text->data, text->size_bytes, sheet, &errors);
	for (i = 0; i < errors.count; i++)
		fprintf(stderr, "%s:%u: %s\n", path, errors.items[i].line,
			errors.items[i].text);
	bw_sheet_errors_finish(&errors);
	return status == BW_OK ? EXIT_DONE : EXIT_REFUSED;
}

static int show_view_(const struct options *options, const char *path,
		      void (*print)(const json_t *value))
{
	struct timespec pause;
	int code;
	int i = 0;

	do {
		code = print_view_(options, path, print);
		fflush(stdout);
		if (!options->follow ||
		    (options->repetitions && ++i >= options->repetitions))
			break;
		pause.tv_sec = (time_t)options->interval_s;
		pause.tv_nsec =
			(long)((options->interval_s - (double)pause.tv_sec) *
			       1e9);
		nanosleep(&pause, NULL);
	} while (code == EXIT_DONE || code == EXIT_UNREACHABLE);
	return code;
}

static int print_view_(const struct options *options, const char *path,
		       void (*print)(const json_t *value))
{
	struct client_response response;
	int code;

	client_request(&options->client, "GET", path, NULL, NULL, 0, &response);
	code = get_exit_code_(&response);
	if (code != EXIT_DONE || !response.json)
		print_failure_(&response);
	else if (options->json)
		print_json(response.json);
	else
		print(response.json);
	client_response_finish(&response);
	return code;
}

static int post_request_(const struct options *options, const char *path,
			 const char *submission, const struct bw_buffer *body)
{
	struct client_response response;
	int code;

	client_request(&options->client, "POST", path, submission,
		       body ? body->data : NULL, body ? body->size_bytes : 0,
		       &response);
	code = get_exit_code_(&response);
	if (options->json && response.json)
		print_json(response.json);
	else if (response.json && response.status_code < 400)
		print_members(response.json);
	else
		print_failure_(&response);
	client_response_finish(&response);
	return code;
}

static int get_exit_code_(const struct client_response *response)
{
	if (!response->status_code || response->status_code == 503)
		return EXIT_UNREACHABLE;
	if (response->status_code == 401)
		return EXIT_CREDENTIAL;
	return response->status_code < 400 ? EXIT_DONE : EXIT_REFUSED;
}

static void print_failure_(const struct client_response *response)
{
	const char *error =
		json_string_value(json_object_get(response->json, "error"));
	const char *detail =
		json_string_value(json_object_get(response->json, "detail"));

	if (!response->status_code)
		fprintf(stderr, "host not reached: %s\n", response->error);
	else if (error)
		fprintf(stderr, "%s%s%s\n", error, detail ? ": " : "",
			detail ? detail : "");
	else if (response->json)
		print_members(response->json);
	else
		fprintf(stderr, "unexpected HTTP status %ld\n",
			response->status_code);
}
