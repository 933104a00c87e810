#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/chart.h"
#include "bwbase/codec.h"
#include "bwbase/metrics.h"
#include "bwbase/random.h"
#include "script.h"

static const char *const states_[] = { "idle", "running" };
static const char *const events_[] = { "start", "stop" };
static const char *const actions_[] = { "begin" };

static const struct bw_chart_names names_ = { states_, 2,	 events_,
					      2,       actions_, 1 };

static int index_of_(const char *const *names, int count, const char *name)
{
	int i;

	for (i = 0; i < count; i++) {
		if (!strcmp(names[i], name))
			return i;
	}
	fail_msg("unknown name %s", name);
	return -1;
}

static void chart_command_(void *context, int argc, char **argv,
			   struct bw_buffer *out)
{
	struct bw_chart *chart = context;
	struct bw_chart_step step;
	struct bw_yaml_error error;
	char path[256];
	enum bw_status status;

	if (!strcmp(argv[0], "load")) {
		assert_int_equal(argc, 2);
		snprintf(path, sizeof(path), "src/test_libbwbase/charts/%s",
			 argv[1]);
		status = bw_chart_load(chart, path, &names_, &error);
		if (status == BW_OK)
			bw_buffer_printf(out, "ok\n");
		else
			bw_buffer_printf(out, "%s line %u: %s\n",
					 bw_status_string[status], error.line,
					 error.text);
		return;
	}
	assert_int_equal(argc, 3);
	status = bw_chart_next(chart, (uint8_t)index_of_(states_, 2, argv[1]),
			       (uint8_t)index_of_(events_, 2, argv[2]), &step);
	if (status != BW_OK)
		bw_buffer_printf(out, "rejected\n");
	else
		bw_buffer_printf(out, "%s action=%s\n", states_[step.state],
				 step.action == BW_CHART_NO_ACTION
					 ? "none"
					 : actions_[step.action]);
}

/* Guards against loading charts that do not match the names in the program. */
static void test_chart_script(void **state)
{
	struct bw_chart chart;

	(void)state;
	script_check("src/test_libbwbase/scripts/chart.script", chart_command_,
		     &chart);
}

/* Guards against allocating memory by a forged element count. */
static void test_codec_rejects_forged_counts(void **state)
{
	static const uint8_t forged[] = { 0xdd, 0xff, 0xff, 0xff, 0xff, 0x01 };
	struct bw_reader reader;

	(void)state;
	assert_int_equal(bw_reader_init(&reader, forged, sizeof(forged)),
			 BW_EINVAL);
	bw_reader_finish(&reader);
}

/* Guards against reads past the end and against accepting truncated input. */
static void test_codec_round_trip(void **state)
{
	struct bw_buffer buffer;
	struct bw_writer writer;
	struct bw_reader reader;
	char name[BW_NAME_MAX];
	size_t length;

	(void)state;
	bw_buffer_init(&buffer);
	bw_writer_init(&writer, &buffer);
	bw_write_array(&writer, 4);
	bw_write_uint(&writer, UINT64_MAX);
	bw_write_int(&writer, -5);
	bw_write_str(&writer, "khomas-a");
	bw_write_array(&writer, 1);
	bw_write_bool(&writer, true);
	assert_int_equal(writer.status, BW_OK);

	assert_int_equal(
		bw_reader_init(&reader, buffer.data, buffer.size_bytes), BW_OK);
	assert_int_equal(bw_read_array(&reader), 4);
	assert_true(bw_read_uint(&reader) == UINT64_MAX);
	assert_int_equal(bw_read_int(&reader), -5);
	bw_read_name(&reader, name);
	assert_string_equal(name, "khomas-a");
	assert_int_equal(bw_read_array(&reader), 1);
	assert_true(bw_read_bool(&reader));
	assert_int_equal(bw_reader_status(&reader), BW_OK);
	assert_false(bw_read_bool(&reader));
	assert_int_equal(bw_reader_status(&reader), BW_EINVAL);
	bw_reader_finish(&reader);

	for (length = 0; length < buffer.size_bytes; length++) {
		assert_int_equal(bw_reader_init(&reader, buffer.data, length),
				 BW_EINVAL);
		bw_reader_finish(&reader);
	}
	bw_buffer_finish(&buffer);
}

/* Guards against labels or buckets that Prometheus cannot parse. */
static void test_metrics_text(void **state)
{
	struct bw_metrics metrics;
	struct bw_metric *latency;
	struct bw_buffer out;

	(void)state;
	bw_metrics_init(&metrics);
	bw_buffer_init(&out);
	bw_metric_add(bw_metrics_get(&metrics, BW_METRIC_COUNTER,
				     "bw_requests_total", "Requests.",
				     "rank=\"urgent\""),
		      3);
	latency = bw_metrics_get(&metrics, BW_METRIC_HISTOGRAM,
				 "bw_latency_seconds", "Latency.", "");
	bw_metric_observe(latency, 60);
	bw_metric_observe(latency, 40000000);
	assert_int_equal(bw_histogram_quantile_us(&latency->u.histogram, 0.25),
			 100);
	assert_int_equal(bw_metrics_print(&metrics, &out), BW_OK);
	bw_buffer_append(&out, "", 1);
	assert_non_null(strstr((char *)out.data,
			       "bw_requests_total{rank=\"urgent\"} 3\n"));
	assert_non_null(strstr((char *)out.data,
			       "bw_latency_seconds_bucket{le=\"0.0001\"} 1\n"));
	assert_non_null(strstr((char *)out.data,
			       "bw_latency_seconds_bucket{le=\"+Inf\"} 2\n"));
	assert_non_null(
		strstr((char *)out.data, "bw_latency_seconds_count 2\n"));
	bw_buffer_finish(&out);
	bw_metrics_finish(&metrics);
}

/* Guards against an outbox that exceeds its limit or does not count drops. */
static void test_outbox_is_bounded(void **state)
{
	struct bw_outbox out;

	(void)state;
	bw_outbox_init(&out, 1);
	assert_int_equal(bw_outbox_add(&out, "a", BW_CHANNEL_KEYS, "x", 1),
			 BW_OK);
	assert_int_equal(bw_outbox_add(&out, "a", BW_CHANNEL_KEYS, "x", 1),
			 BW_EFULL);
	assert_int_equal(out.dropped_count, 1);
	bw_outbox_finish(&out);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_chart_script),
		cmocka_unit_test(test_codec_rejects_forged_counts),
		cmocka_unit_test(test_codec_round_trip),
		cmocka_unit_test(test_metrics_text),
		cmocka_unit_test(test_outbox_is_bounded),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
