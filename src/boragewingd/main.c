/*
 * boragewingd: the daemon. Serves lookups, forwards requests and, on control
 * hosts, runs a replica of the replicated log.
 */
#include <errno.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>
#include <ev.h>
#include <glib.h>
#include <sodium.h>

#include "gate.h"
#include "host.h"
#include "settings.h"

/** Exit code for invalid options, settings or files, or an address in use. */
#define EXIT_SETTINGS 2

/** Command line. */
struct options {
	char *settings_path;
	gboolean check_settings;
	gboolean gateway;
	int metrics_port;
};

static int parse_options_(int *argc, char ***argv, struct options *options);
static int run_host_(const struct settings *settings,
		     const char *settings_path);
static FILE *open_log_(const struct settings *settings);
static void print_settings_error_(const char *path,
				  const struct bw_yaml_error *error);

int main(int argc, char **argv)
{
	struct options options = { 0 };
	struct bw_yaml_error error = { 0 };
	struct settings *settings = NULL;
	int code = EXIT_SETTINGS;

	/* Makes a write above the file size limit fail with EFBIG. */
	signal(SIGXFSZ, SIG_IGN);
	if (parse_options_(&argc, &argv, &options))
		goto out;
	if (options.gateway) {
		code = sodium_init() < 0 ? EXIT_SETTINGS
					 : gate_run(options.settings_path,
						    options.metrics_port,
						    options.check_settings);
		g_free(options.settings_path);
		return code;
	}
	if (sodium_init() < 0 || curl_global_init(CURL_GLOBAL_DEFAULT)) {
		fprintf(stderr,
			"boragewingd: cannot initialize libsodium or libcurl\n");
		goto out;
	}
	if (settings_load(options.settings_path, &settings, &error) != BW_OK) {
		print_settings_error_(options.settings_path, &error);
		goto out;
	}
	if (options.check_settings) {
		printf("%s: ok\n", options.settings_path);
		code = EXIT_SUCCESS;
		goto out;
	}
	code = run_host_(settings, options.settings_path);
out:
	settings_free(settings);
	g_free(options.settings_path);
	curl_global_cleanup();
	return code;
}

static int parse_options_(int *argc, char ***argv, struct options *options)
{
	const GOptionEntry entries[] = {
		{ "settings", 's', 0, G_OPTION_ARG_FILENAME,
		  &options->settings_path, "Settings file (YAML)", "FILE" },
		{ "check-settings", 0, 0, G_OPTION_ARG_NONE,
		  &options->check_settings,
		  "Check the settings and exit with 0 or 2", NULL },
		{ "gateway", 0, 0, G_OPTION_ARG_NONE, &options->gateway,
		  "Run on the platform of docs/platform.md; --settings "
		  "defaults to the platform's file",
		  NULL },
		{ "metrics-port", 0, 0, G_OPTION_ARG_INT,
		  &options->metrics_port, "With --gateway: port of the metrics",
		  "PORT" },
		{ 0 }
	};
	GOptionContext *context =
		g_option_context_new("- traffic steering daemon");
	GError *error = NULL;
	int failed = 0;

	g_option_context_add_main_entries(context, entries, NULL);
	g_option_context_set_description(
		context,
		"Signals: TERM or INT starts a graceful shutdown, a second "
		"one stops at once; USR1\nwrites a dump of the state to the "
		"log. Exit codes: 0 after a shutdown, 1 after an\ninternal "
		"failure, 2 for invalid options, settings or files, or an "
		"address in use.");
	if (!g_option_context_parse(context, argc, argv, &error)) {
		fprintf(stderr, "boragewingd: %s\n", error->message);
		g_error_free(error);
		failed = 1;
	} else if ((!options->settings_path && !options->gateway) ||
		   *argc > 1) {
		fprintf(stderr, "boragewingd: --settings FILE is required; "
				"see --help\n");
		failed = 1;
	}
	g_option_context_free(context);
	return failed;
}

static int run_host_(const struct settings *settings, const char *settings_path)
{
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct host *host = calloc(1, sizeof(*host));
	struct bw_yaml_error error;
	struct bw_log log;
	FILE *stream = open_log_(settings);
	int code = EXIT_FAILURE;

	if (!host || !stream || !loop) {
		fprintf(stderr, "boragewingd: %s: %s\n",
			settings->log.file ? settings->log.file : "start",
			strerror(errno));
		free(host);
		return EXIT_SETTINGS;
	}
	bw_log_init(&log, stream, (enum bw_log_level)settings->log_level,
		    settings->host.name);
	if (host_init(host, settings, loop, &log, &error) != BW_OK) {
		print_settings_error_(settings_path, &error);
		code = EXIT_SETTINGS;
	} else {
		ev_run(loop, 0);
		code = EXIT_SUCCESS;
		bw_log_event(&log, BW_LOG_INFO, "host", "stopped", NULL);
	}
	host_finish(host);
	free(host);
	if (stream != stderr)
		fclose(stream);
	return code;
}

static FILE *open_log_(const struct settings *settings)
{
	if (!settings->log.file)
		return stderr;
	return fopen(settings->log.file, "a");
}

static void print_settings_error_(const char *path,
				  const struct bw_yaml_error *error)
{
	if (error->line)
		fprintf(stderr, "boragewingd: %s:%u: %s\n", path, error->line,
			error->text);
	else
		fprintf(stderr, "boragewingd: %s: %s\n", path, error->text);
}
