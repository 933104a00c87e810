/*
 * Log lines. Guards against lines that are no JSON because of a text from
 * outside, and against values that are lost with such a text.
 */
#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>
#include <jansson.h>

#include "bwbase/log.h"
#include "bwbase/random.h"

static struct bw_log log_;

static int set_up_(void **state)
{
	(void)state;
	bw_log_init_buffered(&log_, 2, 65536, BW_LOG_INFO, "host \"1\"");
	return 0;
}

static int tear_down_(void **state)
{
	(void)state;
	bw_log_finish(&log_);
	return 0;
}

/* Reads the only line, and empties the log. */
static json_t *take_line_(void)
{
	size_t size_bytes = log_.pending.size_bytes;
	json_t *line;

	assert_true(size_bytes > 1);
	assert_int_equal(log_.pending.data[size_bytes - 1], '\n');
	line = json_loadb((const char *)log_.pending.data, size_bytes,
			  JSON_REJECT_DUPLICATES, NULL);
	assert_non_null(line);
	bw_buffer_clear(&log_.pending);
	return line;
}

static const char *string_(const json_t *line, const char *key)
{
	return json_string_value(json_object_get(line, key));
}

static void test_values_of_each_type(void **state)
{
	json_t *line;

	(void)state;
	bw_log_event(&log_, BW_LOG_WARNING, "module", "event",
		     "{s:s,s:i, s:I,s:b,s:f,s:o,s:f,s:s}", "text", "a", "small",
		     -7, "large", (json_int_t)1 << 60, "flag", 1, "number",
		     0.25, "list", json_pack("[i,s]", 1, "b"), "nan", NAN,
		     "none", (const char *)NULL);
	line = take_line_();
	assert_string_equal(string_(line, "host"), "host \"1\"");
	assert_string_equal(string_(line, "level"), "warning");
	assert_string_equal(string_(line, "module"), "module");
	assert_string_equal(string_(line, "event"), "event");
	assert_int_equal(strlen(string_(line, "time")), 24);
	assert_string_equal(string_(line, "text"), "a");
	assert_int_equal(json_integer_value(json_object_get(line, "small")),
			 -7);
	assert_true(json_integer_value(json_object_get(line, "large")) ==
		    (json_int_t)1 << 60);
	assert_true(json_is_true(json_object_get(line, "flag")));
	assert_true(json_real_value(json_object_get(line, "number")) == 0.25);
	assert_int_equal(json_array_size(json_object_get(line, "list")), 2);
	assert_true(json_is_null(json_object_get(line, "nan")));
	assert_true(json_is_null(json_object_get(line, "none")));
	json_decref(line);
}

static void test_text_is_escaped(void **state)
{
	static const char text[] = "q\" b\\ n\n t\t e\x1b \xc3\xa9 \xe2\x82\xac"
				   " \xf0\x9f\x9a\x80";
	json_t *line;

	(void)state;
	bw_log_event(&log_, BW_LOG_INFO, "m", "e", "{s:s}", "text", text);
	line = take_line_();
	assert_string_equal(string_(line, "text"), text);
	json_decref(line);
}

static void test_invalid_characters_are_replaced(void **state)
{
	json_t *line;

	(void)state;
	bw_log_event(&log_, BW_LOG_INFO, "m", "e", "{s:s,s:i}", "text",
		     "a\xff"
		     "b\xc3(\xed\xa0\x80\xe2\x82",
		     "after", 1);
	line = take_line_();
	assert_string_equal(string_(line, "text"), "a?b?(?????");
	assert_int_equal(json_integer_value(json_object_get(line, "after")), 1);
	json_decref(line);
}

/* Any bytes give a valid line. */
static void test_random_texts(void **state)
{
	struct bw_random random;
	char text[24];
	uint32_t i;
	uint32_t k;

	(void)state;
	bw_random_init(&random, 1);
	for (i = 0; i < 20000; i++) {
		for (k = 0; k + 1 < sizeof(text); k++)
			text[k] = (char)bw_random_below(&random, 256);
		text[sizeof(text) - 1] = '\0';
		bw_log_event(&log_, BW_LOG_INFO, "m", "e", "{s:s}", "text",
			     text);
		json_decref(take_line_());
	}
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test_setup_teardown(test_values_of_each_type,
						set_up_, tear_down_),
		cmocka_unit_test_setup_teardown(test_text_is_escaped, set_up_,
						tear_down_),
		cmocka_unit_test_setup_teardown(
			test_invalid_characters_are_replaced, set_up_,
			tear_down_),
		cmocka_unit_test_setup_teardown(test_random_texts, set_up_,
						tear_down_),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
