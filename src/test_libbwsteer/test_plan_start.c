#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/plan.h"
#include "script.h"
#include "sheet_builder.h"

#define REGIONS 3
#define DOMAINS 6
#define SERVICES 3

/** Planner with reports that the script sets. */
struct run {
	struct bw_chart chart;
	struct bw_sheet *sheet;
	struct bw_plan plan;
	struct bw_plan_report reports[DOMAINS];
	struct bw_plan_service_report services[DOMAINS][SERVICES];
	uint32_t demand[DOMAINS][SERVICES][REGIONS];
	int64_t now_ms;
};

static void set_report_(struct run *run, uint32_t domain, uint32_t healthy,
			uint32_t warming)
{
	uint32_t s;

	run->reports[domain].known = true;
	for (s = 0; s < run->sheet->services_count; s++) {
		run->services[domain][s].healthy_slots = healthy;
		run->services[domain][s].warming_slots = warming;
		run->services[domain][s].ramp = 100;
	}
}

static void print_rows_(const struct run *run, uint32_t service,
			struct bw_buffer *out)
{
	const struct bw_plan_service *entry = &run->plan.services[service];
	uint32_t r, i;

	for (r = 0; r < REGIONS; r++) {
		const uint16_t *row = bw_plan_shares(&run->plan, service, r);
		uint16_t shares[DOMAINS] = { 0 };

		for (i = 0; i < entry->site_count; i++)
			shares[run->plan.sites[entry->site_begin + i]] = row[i];
		for (i = 0; i < DOMAINS; i++)
			bw_buffer_printf(out, "%u%s", shares[i],
					 i + 1 < DOMAINS ? " " : "\n");
	}
}

static void steps_(struct run *run, uint32_t count)
{
	bool changed;

	while (count--) {
		run->now_ms += 1000;
		assert_int_equal(bw_plan_step(&run->plan, run->sheet,
					      run->reports, run->now_ms,
					      &changed),
				 BW_OK);
	}
}

static void command_(void *context, int argc, char **argv,
		     struct bw_buffer *out)
{
	struct run *run = context;
	uint32_t n[3] = { 0 }, i;

	for (i = 0; i < 3 && (int)i + 1 < argc; i++)
		n[i] = (uint32_t)atoi(argv[i + 1]);
	if (!strcmp(argv[0], "slots")) {
		set_report_(run, n[0], n[1], n[2]);
	} else if (!strcmp(argv[0], "demand")) {
		for (i = 0; i < SERVICES; i++)
			run->demand[n[0]][i][n[1]] = n[2];
	} else if (!strcmp(argv[0], "add-service")) {
		run->sheet->services_count++;
		run->sheet->revision++;
	} else if (!strcmp(argv[0], "revise")) {
		run->sheet->shift.cap_percent = n[0];
		run->sheet->revision++;
	} else if (!strcmp(argv[0], "drain")) {
		run->reports[n[0]].draining = true;
	} else if (!strcmp(argv[0], "steps")) {
		steps_(run, n[0]);
	} else if (!strcmp(argv[0], "rows")) {
		print_rows_(run, n[0], out);
	} else {
		fail_msg("unknown command %s", argv[0]);
	}
}

static void run_script_(const char *path)
{
	const struct sheet_size size = { REGIONS, 2, SERVICES, DOMAINS,
					 2,	  9, 4000 };
	struct run *run = calloc(1, sizeof(*run));
	struct bw_yaml_error error;
	uint32_t d, s;

	assert_int_equal(bw_chart_load(&run->chart, "charts/shift.yaml",
				       &bw_shift_chart_names, &error),
			 BW_OK);
	run->sheet = sheet_build(&size);
	run->sheet->services_count = SERVICES - 1;
	run->now_ms = 1700000000000;
	bw_plan_init(&run->plan, &run->chart);
	for (d = 0; d < DOMAINS; d++) {
		run->reports[d].services = run->services[d];
		for (s = 0; s < SERVICES; s++)
			run->services[d][s].demand = run->demand[d][s];
	}
	script_check(path, command_, run);
	run->sheet->services_count = SERVICES;
	bw_plan_finish(&run->plan);
	sheet_destroy(run->sheet);
	free(run);
}

/* Guards against a first plan that spreads callers over far regions, and
 * against shares that move while servers of a fresh deployment start. */
static void test_start(void **state)
{
	(void)state;
	run_script_("src/test_libbwsteer/scripts/plan_start.script");
}

/* Guards against a ledger that is lost when a sheet is replaced. */
static void test_revision(void **state)
{
	(void)state;
	run_script_("src/test_libbwsteer/scripts/plan_revision.script");
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_start),
		cmocka_unit_test(test_revision),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
