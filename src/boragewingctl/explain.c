#include "explain.h"

#include <glib.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

#include "commands.h"

/** Context lines start this long before the first line of the request. */
#define CONTEXT_S 5.0

/** A log line. */
struct line {
	double time_s; /**< since midnight */
	json_t *fields;
};

/** Lines of all files, and the hosts and times of the request. */
struct search {
	const char *id;
	GArray *lines; /**< struct line */
	GHashTable *servers; /**< names of servers used by the request */
	char *host; /**< entry host of the request */
	double first_s; /**< time of its first line */
	double last_s; /**< time of its last line */
	uint32_t count; /**< number of its lines */
};

/** Explanation of an outcome. */
struct outcome {
	const char *event; /**< event of the last line */
	const char *cause; /**< cause of the last line; NULL: any */
	const char *explanation;
};

static int read_file_(struct search *search, const char *path);
static void add_line_(struct search *search, json_t *fields);
static double get_time_s_(const json_t *fields);
static const char *get_string_(const json_t *fields, const char *key);
static void find_request_lines_(struct search *search);
static bool is_relevant_(const struct search *search, const struct line *line);
static bool is_request_line_(const struct search *search, const json_t *fields);
static gint compare_times_(gconstpointer a, gconstpointer b);
static void print_line_(const json_t *fields);
static void print_outcome_(const struct search *search);
static const struct outcome *find_outcome_(const char *event,
					   const char *cause);
static void free_lines_(struct search *search);

static const struct outcome outcomes[] = {
	{ "rejected", "overload",
	  "It has not run. Its server was at capacity, and the expected wait "
	  "exceeded the remaining\ntime; see waiting, others and report_age_ms "
	  "of the load and sent lines." },
	{ "rejected", "deadline",
	  "It has not run. It was queued until no server could respond before "
	  "its deadline." },
	{ "rejected", "no_server",
	  "It has not run. No backend server was eligible: each was unknown, "
	  "draining, silent,\nevacuated or already tried; see the "
	  "server_changed lines." },
	{ "rejected", "crashes_servers",
	  "It has not run. Identical requests crashed several servers that ran "
	  "them; see the\nserver_crash_counted lines." },
	{ "rejected", "servers_paused",
	  "It has not run. All backend servers had asked for no requests until "
	  "after its deadline;\nsee the server_paused lines." },
	{ "rejected", "servers_leaving",
	  "It has not run. All backend servers that might have run it had said "
	  "that they leave;\nsee the server_leaving and server_leave_learned "
	  "lines." },
	{ "rejected", "servers_at_limit",
	  "It has not run. All backend servers were at the limits that they "
	  "had named, and the expected\nwait exceeded the remaining time; see "
	  "the server_limit_changed lines." },
	{ "rejected", "configuration_behind",
	  "It has not run. A configuration that this host did not have yet has "
	  "changed or removed its\nroute; see the routing_requested and "
	  "routing_in_force lines." },
	{ "rejected", "route_removed",
	  "It has not run. A newer configuration without its route came into "
	  "force while it waited;\nsee the routing_in_force lines." },
	{ "rejected", "key_withdrawn",
	  "It has not run. A newer configuration in which no customer has its "
	  "key came into force while\nit waited; see the routing_in_force "
	  "lines." },
	{ "rejected", "customer_share",
	  "It has not run. Its customer was beyond its share, and servers had "
	  "no room left for it in\ntime; see share_level." },
	{ "beyond_quota", NULL,
	  "It has not run. It was beyond the quota of its customer; see the "
	  "refused line." },
	{ "unknown_key", NULL,
	  "It has not run. No customer has its key in the configuration of "
	  "its host; with status 503 the\nhost was not sure that this was the "
	  "newest one." },
	{ "rejected", "host_stopping",
	  "It has not run. Its entry host was stopped, and the response was "
	  "not expected before its end;\nsee the host's stopping line." },
	{ "failed", "host_stopping",
	  "It may have run. Its entry host ended its stop before the server "
	  "responded." },
	{ "failed", "closed",
	  "It may have run. The connection to the server closed before the "
	  "response; a request\nthat is not idempotent is not retried." },
	{ "failed", "invalid",
	  "It may have run. The server sent an invalid response." },
	{ "timeout", "deadline",
	  "It was sent, and the server did not answer before the time limit "
	  "of the route or the\nclient; compare queue_ms with upstream_ms." },
	{ "cancelled", "client_gone", "The client closed its connection." },
	{ "answered", "", "Its server responded." },
	{ "invalid", "malformed",
	  "It has not run. Its entry host could not read it as HTTP/1.x; see "
	  "parser and\nreceived_bytes." },
	{ "invalid", "unknown_method",
	  "It has not run. Its method is CONNECT, or one that hosts do not "
	  "know." },
	{ "invalid", "head_too_large",
	  "It has not run. Its head exceeded limit. If limit_current is "
	  "larger, it began\nbefore the configuration in force." },
	{ "invalid", "body_too_large",
	  "It has not run. Its body exceeded limit. If limit_current is "
	  "larger, it began\nbefore the configuration in force." },
	{ "invalid", "no_memory",
	  "It has not run. Its host had no memory to read it; see "
	  "received_bytes." },
	{ "invalid", "head_timeout",
	  "It has not run. Its head did not arrive within limit ms of its "
	  "first byte; see\nreceived_bytes." },
	{ "invalid", "body_timeout",
	  "It has not run. No byte of its body arrived for limit ms; see "
	  "received_bytes." },
	{ "invalid", "body_memory",
	  "It has not run. The bodies of the requests on its entry host left "
	  "too little of limit\nbytes for its own." },
	{ "no_route", "no_configuration",
	  "It has not run. Its entry host had no configuration yet; see feed "
	  "and newest_version." },
	{ "no_route", "unconfirmed",
	  "It has not run. The version in force here has no route for it, but "
	  "the entry host\ncould not know that no newer one is: see "
	  "newest_version, and how many of the controls\nconfirmed_by counts." },
	{ "no_route", "host_missing",
	  "It has not run. It did not name a host." },
	{ "no_route", "host_unknown",
	  "It has not run. The version in force here has no route for its "
	  "host name. If\nnewest_version is larger, the entry host lagged "
	  "behind; see behind_ms, feed and\nfeed_silent_ms." },
	{ "no_route", "path_unknown",
	  "It has not run. The version in force here has routes for its host "
	  "name, but none\nfor its path. If newest_version is larger, the "
	  "entry host lagged behind; see\nbehind_ms, feed and feed_silent_ms." },
	{ "refused", NULL,
	  "A control host refused the call and changed nothing." },
	{ "redirected", NULL,
	  "A control host that is not the leader sent the caller to the "
	  "leader." },
};

int explain_request(const char *id, char **paths)
{
	struct search search = { .id = id };
	int code = EXIT_USAGE;
	guint i;

	search.lines = g_array_new(FALSE, FALSE, sizeof(struct line));
	search.servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, g_free, NULL);
	for (; *paths; paths++) {
		if (read_file_(&search, *paths))
			goto out;
	}
	g_array_sort(search.lines, compare_times_);
	find_request_lines_(&search);
	code = EXIT_REFUSED;
	if (!search.count) {
		fprintf(stderr, "boragewingctl: no log line of request %s\n",
			id);
		goto out;
	}
	for (i = 0; i < search.lines->len; i++) {
		const struct line *line =
			&g_array_index(search.lines, struct line, i);

		if (is_relevant_(&search, line))
			print_line_(line->fields);
	}
	print_outcome_(&search);
	code = EXIT_DONE;
out:
	free_lines_(&search);
	return code;
}

static int read_file_(struct search *search, const char *path)
{
	FILE *file = fopen(path, "r");
	char *text = NULL;
	size_t capacity = 0;

	if (!file) {
		fprintf(stderr, "boragewingctl: cannot open %s\n", path);
		return 1;
	}
	while (getline(&text, &capacity, file) >= 0) {
		/* Log collectors may prepend a prefix to each line. */
		const char *start = strchr(text, '{');
		json_t *fields =
			start ? json_loads(start, JSON_DISABLE_EOF_CHECK, NULL)
			      : NULL;

		if (json_is_object(fields))
			add_line_(search, fields);
		else
			json_decref(fields);
	}
	free(text);
	fclose(file);
	return 0;
}

static void add_line_(struct search *search, json_t *fields)
{
	struct line line = { .time_s = get_time_s_(fields), .fields = fields };

	g_array_append_val(search->lines, line);
}

static double get_time_s_(const json_t *fields)
{
	const char *clock = strchr(get_string_(fields, "time"), 'T');
	int hours;
	int minutes;
	double seconds;

	if (!clock ||
	    sscanf(clock, "T%d:%d:%lf", &hours, &minutes, &seconds) != 3)
		return 0.0;
	return 3600.0 * hours + 60.0 * minutes + seconds;
}

static const char *get_string_(const json_t *fields, const char *key)
{
	const char *value = json_string_value(json_object_get(fields, key));

	return value ? value : "";
}

static void find_request_lines_(struct search *search)
{
	guint i;

	for (i = 0; i < search->lines->len; i++) {
		const struct line *line =
			&g_array_index(search->lines, struct line, i);
		const char *server = get_string_(line->fields, "server");

		if (!is_request_line_(search, line->fields))
			continue;
		if (!search->count++) {
			search->host =
				g_strdup(get_string_(line->fields, "host"));
			search->first_s = line->time_s;
		}
		search->last_s = line->time_s;
		if (*server)
			g_hash_table_add(search->servers, g_strdup(server));
	}
}

/*
 * Selects the lines of the request and, within its time window, lines about
 * its servers and the state of its entry host.
 */
static bool is_relevant_(const struct search *search, const struct line *line)
{
	const char *module = get_string_(line->fields, "module");

	if (is_request_line_(search, line->fields))
		return true;
	if (line->time_s < search->first_s - CONTEXT_S ||
	    line->time_s > search->last_s)
		return false;
	if (!strcmp(module, "registry"))
		return g_hash_table_contains(
			search->servers, get_string_(line->fields, "server"));
	return strcmp(module, "request") != 0 && search->host &&
	       !strcmp(get_string_(line->fields, "host"), search->host);
}

static bool is_request_line_(const struct search *search, const json_t *fields)
{
	return !strcmp(get_string_(fields, "request"), search->id);
}

static gint compare_times_(gconstpointer a, gconstpointer b)
{
	const struct line *left = a;
	const struct line *right = b;

	if (left->time_s < right->time_s)
		return -1;
	return left->time_s > right->time_s;
}

static void print_line_(const json_t *fields)
{
	static const char *const leading_keys[] = { "time", "host", "module",
						    "event" };
	const char *key;
	json_t *value;
	size_t i;

	for (i = 0; i < sizeof(leading_keys) / sizeof(leading_keys[0]); i++)
		printf("%s ", get_string_(fields, leading_keys[i]));
	json_object_foreach((json_t *)fields, key, value)
	{
		char *text;

		for (i = 0; i < sizeof(leading_keys) / sizeof(leading_keys[0]);
		     i++) {
			if (!strcmp(key, leading_keys[i]))
				break;
		}
		if (i < sizeof(leading_keys) / sizeof(leading_keys[0]) ||
		    !strcmp(key, "level") || !strcmp(key, "request"))
			continue;
		text = json_dumps(value, JSON_ENCODE_ANY | JSON_COMPACT |
						 JSON_REAL_PRECISION(4));
		printf(" %s=%s", key, text ? text : "");
		free(text);
	}
	putchar('\n');
}

static void print_outcome_(const struct search *search)
{
	const struct outcome *outcome = NULL;
	const char *cause = "";
	guint i;

	for (i = 0; i < search->lines->len; i++) {
		const struct line *line =
			&g_array_index(search->lines, struct line, i);
		const struct outcome *found;

		if (!is_request_line_(search, line->fields))
			continue;
		/* Lines about the server may follow the end of a request. */
		found = find_outcome_(get_string_(line->fields, "event"),
				      get_string_(line->fields, "cause"));
		if (!found)
			continue;
		outcome = found;
		cause = get_string_(line->fields, "cause");
	}
	if (outcome)
		printf("\ncause: %s, %s\n%s\n", outcome->event,
		       *cause ? cause : "none", outcome->explanation);
	else
		printf("\nThe log files do not show how the request ended.\n");
}

static const struct outcome *find_outcome_(const char *event, const char *cause)
{
	size_t i;

	for (i = 0; i < sizeof(outcomes) / sizeof(outcomes[0]); i++) {
		const struct outcome *outcome = &outcomes[i];

		if (!strcmp(event, outcome->event) &&
		    (!outcome->cause || !strcmp(cause, outcome->cause)))
			return outcome;
	}
	return NULL;
}

static void free_lines_(struct search *search)
{
	guint i;

	for (i = 0; i < search->lines->len; i++)
		json_decref(
			g_array_index(search->lines, struct line, i).fields);
	g_array_free(search->lines, TRUE);
	g_hash_table_destroy(search->servers);
	g_free(search->host);
}
