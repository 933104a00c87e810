#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include <glib.h>

#include "bench.h"

#define DEFAULT_SEED 1
#define US_PER_S 1e6
#define NS_PER_US 1e3

void bench_add(struct bench *bench, const char *name, const char *unit,
	       double value, json_t *sizes)
{
	char *text = json_dumps(sizes, JSON_COMPACT);

	printf("%-36s %-12s %14.2f  %s\n", name, unit, value, text);
	fflush(stdout);
	free(text);
	json_array_append_new(bench->entries,
			      json_pack("{s:s, s:s, s:f, s:o}", "name", name,
					"unit", unit, "value", value, "sizes",
					sizes));
}

double bench_cpu_us(void)
{
	struct timespec time;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
	return (double)time.tv_sec * US_PER_S +
	       (double)time.tv_nsec / NS_PER_US;
}

double bench_heap_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return (double)info.uordblks + (double)info.hblkhd;
}

void bench_load_chart(struct bw_chart *chart, const char *path,
		      const struct bw_chart_names *names)
{
	struct bw_yaml_error error;

	if (bw_chart_load(chart, path, names, &error) == BW_OK)
		return;
	fprintf(stderr, "%s:%u: %s\n", path, error.line, error.text);
	exit(EXIT_FAILURE);
}

/* Runs the benchmark of that name; NULL: all. */
static void run_selected_benchmarks_(struct bench *bench,
				     const char *benchmark_name)
{
	static const struct {
		const char *name;
		void (*run)(struct bench *bench);
	} benchmarks[] = {
		{ "blocks", bench_blocks }, { "sheet", bench_sheet },
		{ "plan", bench_plan },	    { "requests", bench_requests },
		{ "keys", bench_keys },	    { "member", bench_member },
		{ "agree", bench_agree },   { "lookup", bench_lookup },
		{ "log", bench_log },
	};
	size_t i;

	for (i = 0; i < sizeof(benchmarks) / sizeof(benchmarks[0]); i++) {
		if (!benchmark_name ||
		    !strcmp(benchmark_name, benchmarks[i].name))
			benchmarks[i].run(bench);
	}
}

static int run_benchmarks_(const char *out, const char *benchmark_name)
{
	struct bench bench = { .entries = json_array(), .seed = DEFAULT_SEED };
	json_t *root;
	int status;

	run_selected_benchmarks_(&bench, benchmark_name);
	root = json_pack("{s:i, s:I, s:o}", "version", 1, "seed",
			 (json_int_t)bench.seed, "entries", bench.entries);
	status = json_dump_file(root, out,
				JSON_INDENT(1) | JSON_REAL_PRECISION(6));
	json_decref(root);
	if (status)
		fprintf(stderr, "%s: cannot be written\n", out);
	return status ? EXIT_FAILURE : EXIT_SUCCESS;
}

int main(int argc, char **argv)
{
	gboolean compare = FALSE;
	char *plot_folder = NULL;
	char *lines_path = NULL;
	char *out_path = NULL;
	char *benchmark_name = NULL;
	char *load_url = NULL;
	double rate_per_s = 100;
	int seconds = 5;
	GOptionEntry entries[] = {
		{ "out", 0, 0, G_OPTION_ARG_FILENAME, &out_path, "Result file",
		  "FILE" },
		{ "part", 0, 0, G_OPTION_ARG_STRING, &benchmark_name,
		  "Measure one part only", "NAME" },
		{ "compare", 0, 0, G_OPTION_ARG_NONE, &compare,
		  "Compare the result files A and B", NULL },
		{ "plot", 0, 0, G_OPTION_ARG_FILENAME, &plot_folder,
		  "Print a table of result file A, write SVG to FOLDER",
		  "FOLDER" },
		{ "merge", 0, 0, G_OPTION_ARG_FILENAME, &lines_path,
		  "Add entries (JSON lines) to result file A", "FILE" },
		{ "load", 0, 0, G_OPTION_ARG_STRING, &load_url,
		  "Send look-ups to URL", "URL" },
		{ "rate", 0, 0, G_OPTION_ARG_DOUBLE, &rate_per_s,
		  "Look-ups per second", "RATE" },
		{ "seconds", 0, 0, G_OPTION_ARG_INT, &seconds,
		  "Duration of the load", "SECONDS" },
		{ NULL }
	};
	GOptionContext *context = g_option_context_new("[A [B]]");
	GError *error = NULL;
	int status = EXIT_FAILURE;

	g_option_context_add_main_entries(context, entries, NULL);
	if (!g_option_context_parse(context, &argc, &argv, &error))
		fprintf(stderr, "%s\n", error->message);
	else if (load_url && argc == 1 && rate_per_s > 0 && seconds > 0)
		status = bench_http_load(load_url, rate_per_s,
					 (uint32_t)seconds);
	else if (compare && argc == 3)
		status = bench_compare(argv[1], argv[2]);
	else if (plot_folder && argc == 2)
		status = bench_plot(argv[1], plot_folder);
	else if (lines_path && argc == 2)
		status = bench_merge(argv[1], lines_path);
	else if (out_path && argc == 1)
		status = run_benchmarks_(out_path, benchmark_name);
	else
		fprintf(stderr, "see --help\n");
	g_clear_error(&error);
	g_option_context_free(context);
	return status;
}
