#include "print.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#define CELL_BYTES 96
#define COLUMNS_MAX 16
#define TIME_BYTES 32

static void format_cell_(const json_t *value, char text[CELL_BYTES]);
static void print_rows_(const json_t *rows);
static size_t column_width_(const json_t *rows, const char *key);
static void format_time_(json_int_t wall_ms, char text[TIME_BYTES]);
static json_int_t get_integer_(const json_t *object, const char *key);
static const char *get_string_(const json_t *object, const char *key);

void print_json(const json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2) | JSON_SORT_KEYS);
	putchar('\n');
}

void print_members(const json_t *value)
{
	char cell[CELL_BYTES];
	char time_text[TIME_BYTES];
	const char *key;
	json_t *member;

	json_object_foreach((json_t *)value, key, member)
	{
		if (strstr(key, "wall_ms") && json_is_integer(member)) {
			format_time_(json_integer_value(member), time_text);
			/* prints the key without its suffix "_wall_ms" */
			printf("%-20.*s %s\n", (int)(strlen(key) - 8), key,
			       time_text);
			continue;
		}
		format_cell_(member, cell);
		printf("%-20s %s\n", key, cell);
	}
}

void print_table(const json_t *value)
{
	const char *key;
	json_t *member;

	json_object_foreach((json_t *)value, key, member)
	{
		if (json_is_array(member))
			print_rows_(member);
	}
}

void print_hosts(const json_t *value)
{
	json_t *domains = json_object_get(value, "failure_domains");
	char time_text[TIME_BYTES];
	json_t *domain;
	json_t *host;
	size_t i;
	size_t j;

	printf("%-20s %-20s %-10s %-12s %-25s %s\n", "FAILURE DOMAIN", "HOST",
	       "REVISION", "PLAN", "IN FORCE SINCE", "STATE");
	json_array_foreach(domains, i, domain)
	{
		if (!json_array_size(json_object_get(domain, "hosts")))
			printf("%-20s %-20s\n",
			       get_string_(domain, "failure_domain"), "-");
		json_array_foreach(json_object_get(domain, "hosts"), j, host)
		{
			format_time_(get_integer_(host, "since_wall_ms"),
				     time_text);
			printf("%-20s %-20s %-10lld %-12lld %-25s %s\n",
			       get_string_(domain, "failure_domain"),
			       get_string_(host, "host"),
			       (long long)get_integer_(host, "revision"),
			       (long long)get_integer_(host, "plan_version"),
			       time_text,
			       json_is_true(json_object_get(host, "leaving"))
				       ? "leaving"
				       : "running");
		}
	}
}

void print_services(const json_t *value)
{
	json_t *service;
	size_t i;

	json_array_foreach(json_object_get(value, "services"), i, service)
	{
		printf("%s%s\n", i ? "\n" : "",
		       get_string_(service, "service"));
		print_rows_(json_object_get(service, "placements"));
	}
}

void print_shifts(const json_t *value)
{
	char cell[CELL_BYTES];
	const char *region;
	const char *domain;
	json_t *service;
	json_t *shares;
	json_t *share;
	size_t i;

	printf("plan version %lld\n",
	       (long long)get_integer_(value, "plan_version"));
	json_array_foreach(json_object_get(value, "services"), i, service)
	{
		format_cell_(json_object_get(service, "moved_percent"), cell);
		printf("%s: %s, moved %s percent of ",
		       get_string_(service, "service"),
		       get_string_(service, "state"), cell);
		format_cell_(json_object_get(service, "cap_percent"), cell);
		printf("%s in the window\n", cell);
		json_object_foreach(json_object_get(service, "shares"), region,
				    shares)
		{
			printf("  %-16s", region);
			json_object_foreach(shares, domain, share)
			{
				printf(" %s=%.1f%%", domain,
				       (double)json_integer_value(share) /
					       10.0);
			}
			putchar('\n');
		}
	}
}

static void print_rows_(const json_t *rows)
{
	const json_t *first = json_array_get(rows, 0);
	const char *columns[COLUMNS_MAX];
	char cell[CELL_BYTES];
	const char *key;
	json_t *unused;
	json_t *row;
	size_t count = 0;
	size_t i;
	size_t c;

	if (!first) {
		printf("(none)\n");
		return;
	}
	json_object_foreach((json_t *)first, key, unused)
	{
		if (count < COLUMNS_MAX)
			columns[count++] = key;
	}
	for (c = 0; c < count; c++)
		printf("%-*s ", (int)column_width_(rows, columns[c]),
		       columns[c]);
	putchar('\n');
	json_array_foreach(rows, i, row)
	{
		for (c = 0; c < count; c++) {
			format_cell_(json_object_get(row, columns[c]), cell);
			printf("%-*s ", (int)column_width_(rows, columns[c]),
			       cell);
		}
		putchar('\n');
	}
}

static size_t column_width_(const json_t *rows, const char *key)
{
	size_t width = strlen(key);
	char cell[CELL_BYTES];
	json_t *row;
	size_t i;

	json_array_foreach(rows, i, row)
	{
		format_cell_(json_object_get(row, key), cell);
		if (strlen(cell) > width)
			width = strlen(cell);
	}
	return width;
}

static void format_cell_(const json_t *value, char text[CELL_BYTES])
{
	switch (value ? json_typeof(value) : JSON_NULL) {
	case JSON_STRING:
		snprintf(text, CELL_BYTES, "%s", json_string_value(value));
		break;
	case JSON_INTEGER:
		snprintf(text, CELL_BYTES, "%lld",
			 (long long)json_integer_value(value));
		break;
	case JSON_REAL:
		snprintf(text, CELL_BYTES, "%.1f", json_real_value(value));
		break;
	case JSON_TRUE:
		strcpy(text, "yes");
		break;
	case JSON_FALSE:
		strcpy(text, "no");
		break;
	case JSON_ARRAY:
		snprintf(text, CELL_BYTES, "%s - %s",
			 json_string_value(json_array_get(value, 0)),
			 json_string_value(json_array_get(value, 1)));
		break;
	default:
		strcpy(text, "-");
		break;
	}
}

static void format_time_(json_int_t wall_ms, char text[TIME_BYTES])
{
	time_t seconds = (time_t)(wall_ms / 1000);
	struct tm tm;
	size_t length;

	if (!wall_ms) {
		strcpy(text, "-");
		return;
	}
	gmtime_r(&seconds, &tm);
	length = strftime(text, TIME_BYTES, "%Y-%m-%dT%H:%M:%S", &tm);
	snprintf(text + length, TIME_BYTES - length, ".%03dZ",
		 (int)(wall_ms % 1000));
}

static json_int_t get_integer_(const json_t *object, const char *key)
{
	return json_integer_value(json_object_get(object, key));
}

static const char *get_string_(const json_t *object, const char *key)
{
	const char *text = json_string_value(json_object_get(object, key));

	return text ? text : "-";
}
