#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <glib.h>

#include "bench.h"

#define WIDTH 480
#define HEIGHT 320
#define MARGIN 50
#define POINTS_MAX 64

/** Data points of one metric. */
struct series {
	double x[POINTS_MAX];
	double y[POINTS_MAX];
	uint32_t count;
	const char *axis;
	const char *unit;
};

static json_t *load_results_(const char *path)
{
	json_error_t error;
	json_t *root = json_load_file(path, 0, &error);

	if (!root)
		fprintf(stderr, "%s:%d: %s\n", path, error.line, error.text);
	return root;
}

/* Returns the name and sizes, which identify an entry; use g_free. */
static char *entry_key_(const json_t *entry)
{
	char *sizes = json_dumps(json_object_get(entry, "sizes"),
				 JSON_COMPACT | JSON_SORT_KEYS);
	char *text = g_strdup_printf(
		"%s %s", json_string_value(json_object_get(entry, "name")),
		sizes ? sizes : "");

	free(sizes);
	return text;
}

static const json_t *find_entry_(const json_t *entries, const char *key_text)
{
	const json_t *found = NULL;
	const json_t *entry;
	size_t i;
	char *other;

	json_array_foreach(entries, i, entry)
	{
		other = entry_key_(entry);
		if (!strcmp(other, key_text))
			found = entry;
		g_free(other);
	}
	return found;
}

static double entry_value_(const json_t *entry)
{
	return json_number_value(json_object_get(entry, "value"));
}

int bench_compare(const char *path_a, const char *path_b)
{
	json_t *a = load_results_(path_a);
	json_t *b = load_results_(path_b);
	const json_t *entry;
	const json_t *other;
	char *key_text;
	size_t i;

	if (!a || !b)
		return EXIT_FAILURE;
	json_array_foreach(json_object_get(a, "entries"), i, entry)
	{
		key_text = entry_key_(entry);
		other = find_entry_(json_object_get(b, "entries"), key_text);
		printf("%-72s %14.2f ", key_text, entry_value_(entry));
		if (!other)
			printf("%14s\n", "absent");
		else if (entry_value_(entry) == 0)
			printf("%14.2f\n", entry_value_(other));
		else
			printf("%14.2f %8.2fx\n", entry_value_(other),
			       entry_value_(other) / entry_value_(entry));
		g_free(key_text);
	}
	json_decref(a);
	json_decref(b);
	return EXIT_SUCCESS;
}

int bench_merge(const char *path, const char *lines_path)
{
	json_t *root = load_results_(path);
	FILE *lines = fopen(lines_path, "r");
	json_t *entry;
	int status;

	if (!root || !lines)
		return EXIT_FAILURE;
	while ((entry = json_loadf(lines, JSON_DISABLE_EOF_CHECK, NULL)))
		json_array_append_new(json_object_get(root, "entries"), entry);
	status = json_dump_file(root, path,
				JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	fclose(lines);
	json_decref(root);
	return status ? EXIT_FAILURE : EXIT_SUCCESS;
}

/* Returns the first size that differs between two entries: the x axis. */
static const char *find_axis_(json_t *entries, const char *name)
{
	json_t *first = NULL;
	json_t *entry;
	json_t *size;
	const char *key;
	size_t i;

	json_array_foreach(entries, i, entry)
	{
		if (strcmp(json_string_value(json_object_get(entry, "name")),
			   name))
			continue;
		if (!first)
			first = json_object_get(entry, "sizes");
		json_object_foreach(json_object_get(entry, "sizes"), key, size)
		{
			if (!json_equal(size, json_object_get(first, key)))
				return key;
		}
	}
	return NULL;
}

static void collect_points_(json_t *entries, const char *name,
			    struct series *series)
{
	json_t *entry;
	size_t i;

	series->count = 0;
	series->axis = find_axis_(entries, name);
	json_array_foreach(entries, i, entry)
	{
		if (!series->axis || series->count == POINTS_MAX ||
		    strcmp(json_string_value(json_object_get(entry, "name")),
			   name))
			continue;
		series->unit =
			json_string_value(json_object_get(entry, "unit"));
		series->x[series->count] = json_number_value(json_object_get(
			json_object_get(entry, "sizes"), series->axis));
		series->y[series->count++] = entry_value_(entry);
	}
}

static void write_svg_(const char *folder, const char *name,
		       const struct series *series)
{
	char *path = g_strdup_printf("%s/%s.svg", folder, name);
	FILE *file = fopen(path, "w");
	double x_max = 1e-9;
	double y_max = 1e-9;
	uint32_t i;

	g_free(path);
	if (!file)
		return;
	for (i = 0; i < series->count; i++) {
		x_max = MAX(x_max, series->x[i]);
		y_max = MAX(y_max, series->y[i]);
	}
	fprintf(file,
		"<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"%d\" "
		"height=\"%d\" font-family=\"sans-serif\" font-size=\"11\">\n"
		"<path d=\"M%d 20V%dH%d\" fill=\"none\" stroke=\"black\"/>\n"
		"<text x=\"%d\" y=\"15\">%s (%s), largest %.6g</text>\n"
		"<text x=\"%d\" y=\"%d\">%s, largest %.6g</text>\n",
		WIDTH, HEIGHT, MARGIN, HEIGHT - MARGIN, WIDTH - 20, MARGIN,
		name, series->unit, y_max, MARGIN, HEIGHT - 20, series->axis,
		x_max);
	for (i = 0; i < series->count; i++)
		fprintf(file,
			"<circle cx=\"%.1f\" cy=\"%.1f\" r=\"4\">"
			"<title>%.6g: %.6g</title></circle>\n",
			MARGIN + series->x[i] / x_max * (WIDTH - MARGIN - 30),
			HEIGHT - MARGIN -
				series->y[i] / y_max * (HEIGHT - MARGIN - 30),
			series->x[i], series->y[i]);
	fprintf(file, "</svg>\n");
	fclose(file);
}

int bench_plot(const char *path, const char *folder)
{
	json_t *root = load_results_(path);
	json_t *entries = json_object_get(root, "entries");
	GHashTable *seen_names = g_hash_table_new(g_str_hash, g_str_equal);
	struct series series = { .count = 0 };
	const char *name;
	json_t *entry;
	size_t i;
	char *key_text;

	g_mkdir_with_parents(folder, 0755);
	json_array_foreach(entries, i, entry)
	{
		name = json_string_value(json_object_get(entry, "name"));
		key_text = entry_key_(entry);
		printf("%-72s %14.2f %s\n", key_text, entry_value_(entry),
		       json_string_value(json_object_get(entry, "unit")));
		g_free(key_text);
		if (!g_hash_table_add(seen_names, (gpointer)name))
			continue;
		collect_points_(entries, name, &series);
		if (series.count > 1)
			write_svg_(folder, name, &series);
	}
	g_hash_table_destroy(seen_names);
	json_decref(root);
	return root ? EXIT_SUCCESS : EXIT_FAILURE;
}
