#include <glib.h>
#include <stdio.h>
#include <string.h>

#include "standin.h"

static bool validate_(struct options *options);

static const char *const fault_names_[FAULT_COUNT] = { "none", "late",
						       "wrong-length", "reset",
						       "short-body" };
static const char *const service_time_names_[] = { "fixed", "uniform",
						   "exponential" };

bool options_parse(struct options *o, int argc, char **argv)
{
	GOptionEntry entries[] = {
		{ "service", 0, 0, G_OPTION_ARG_STRING, &o->service,
		  "Service name", "NAME" },
		{ "failure-domain", 0, 0, G_OPTION_ARG_STRING,
		  &o->failure_domain, "Failure domain", "NAME" },
		{ "id-prefix", 0, 0, G_OPTION_ARG_STRING, &o->id_prefix,
		  "Ids are PREFIX-1 to PREFIX-COUNT", "PREFIX" },
		{ "address", 0, 0, G_OPTION_ARG_STRING, &o->address,
		  "Loopback address to listen on", "IP" },
		{ "entry", 0, 0, G_OPTION_ARG_STRING_ARRAY, &o->entries,
		  "Entry host to announce to; may be repeated", "IP:PORT" },
		{ "ledger", 0, 0, G_OPTION_ARG_FILENAME, &o->ledger_path,
		  "File that each run is appended to", "FILE" },
		{ "count", 0, 0, G_OPTION_ARG_INT, &o->count, "Instances",
		  "N" },
		{ "port-base", 0, 0, G_OPTION_ARG_INT, &o->port_base,
		  "Port of the first instance; 0: any", "PORT" },
		{ "slots", 0, 0, G_OPTION_ARG_INT, &o->slots,
		  "Concurrent runs per instance", "N" },
		{ "connections", 0, 0, G_OPTION_ARG_INT, &o->connections,
		  "Connections per instance", "N" },
		{ "service-ms", 0, 0, G_OPTION_ARG_INT, &o->service_ms,
		  "Mean service time", "MS" },
		{ "service-time", 0, 0, G_OPTION_ARG_STRING,
		  &o->service_time_name, "fixed, uniform or exponential",
		  "SHAPE" },
		{ "cold-start-ms", 0, 0, G_OPTION_ARG_INT, &o->cold_start_ms,
		  "Slow phase after a start", "MS" },
		{ "cold-factor", 0, 0, G_OPTION_ARG_INT, &o->cold_factor,
		  "Service time factor at its beginning", "N" },
		{ "crash-marker", 0, 0, G_OPTION_ARG_STRING, &o->crash_marker,
		  "Crash on a field value or body with this text", "TEXT" },
		{ "crash-process", 0, 0, G_OPTION_ARG_NONE, &o->crash_process,
		  "A marker ends the whole process", NULL },
		{ "restart-ms", 0, 0, G_OPTION_ARG_INT, &o->restart_ms,
		  "Time until a crashed instance returns; 0: never", "MS" },
		{ "lie-percent", 0, 0, G_OPTION_ARG_INT, &o->lie_percent,
		  "Heartbeats that report no load", "P" },
		{ "fail-fast", 0, 0, G_OPTION_ARG_NONE, &o->fail_fast,
		  "Respond 500 at once", NULL },
		{ "fault", 0, 0, G_OPTION_ARG_STRING, &o->fault_name,
		  "late, wrong-length, reset or short-body", "FAULT" },
		{ "fault-percent", 0, 0, G_OPTION_ARG_INT, &o->fault_percent,
		  "Responses with the fault", "P" },
		{ "late-ms", 0, 0, G_OPTION_ARG_INT, &o->late_ms,
		  "Delay of the fault late", "MS" },
		{ "answer-bytes", 0, 0, G_OPTION_ARG_INT, &o->answer_bytes,
		  "Size of a response body", "N" },
		{ "drain-ms", 0, 0, G_OPTION_ARG_INT, &o->drain_ms,
		  "Shortest time from drain to leave", "MS" },
		{ "max-s", 0, 0, G_OPTION_ARG_INT, &o->max_s,
		  "End after this time", "S" },
		{ "seed", 0, 0, G_OPTION_ARG_INT, &o->seed, "Random seed",
		  "N" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new("- backend servers");
	GError *error = NULL;
	bool ok;

	memset(o, 0, sizeof(*o));
	o->count = 1;
	o->slots = 5;
	o->connections = 360;
	o->service_ms = 10;
	o->cold_factor = 5;
	o->fault_percent = 100;
	o->late_ms = 2000;
	o->answer_bytes = 1024;
	o->drain_ms = 2000;
	o->max_s = 3600;
	o->seed = 1;
	g_option_context_add_main_entries(context, entries, NULL);
	ok = g_option_context_parse(context, &argc, &argv, &error);
	if (!ok)
		fprintf(stderr, "%s\n", error->message);
	g_clear_error(&error);
	g_option_context_free(context);
	return ok && validate_(o);
}

void options_finish(struct options *options)
{
	g_free(options->service);
	g_free(options->failure_domain);
	g_free(options->id_prefix);
	g_free(options->address);
	g_strfreev(options->entries);
	g_free(options->ledger_path);
	g_free(options->crash_marker);
	g_free(options->fault_name);
	g_free(options->service_time_name);
}

static bool validate_(struct options *options)
{
	int i;

	if (!options->service || !options->failure_domain) {
		fprintf(stderr, "--service and --failure-domain are needed\n");
		return false;
	}
	if (!options->id_prefix)
		options->id_prefix = g_strdup(options->service);
	if (!options->address)
		options->address = g_strdup("127.0.0.1");
	for (i = 0; options->fault_name && i < FAULT_COUNT; i++) {
		if (!strcmp(fault_names_[i], options->fault_name))
			options->fault = (enum fault)i;
	}
	options->service_time = SERVICE_EXPONENTIAL;
	for (i = 0; options->service_time_name && i < 3; i++) {
		if (!strcmp(service_time_names_[i], options->service_time_name))
			options->service_time = (enum service_time)i;
	}
	if ((options->fault_name &&
	     strcmp(fault_names_[options->fault], options->fault_name) != 0) ||
	    options->count < 1 || options->count > INSTANCES_MAX ||
	    options->slots < 1 || options->connections < 1 ||
	    options->service_ms < 0 || options->answer_bytes < 0 ||
	    options->max_s < 1 || options->cold_factor < 1 ||
	    strncmp(options->address, "127.", 4) != 0) {
		fprintf(stderr, "an option is out of range\n");
		return false;
	}
	return true;
}
