/*
 * Host and path of a request. Guards against a 404 for requests that have a
 * route: with a long Host, or with the host in the request target.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwproxy/target.h"
#include "bwsteer/routing.h"
#include "harness.h"

static const struct bw_http_limits limits = { .head_max_bytes = 2048,
					      .body_max_bytes = 64 };

/* Reads a request, and prints host, path and query into result. */
static void read_(char result[512], const char *text)
{
	struct bw_http_reader reader;
	struct bw_http_target target;
	size_t used;

	bw_http_reader_init(&reader, HTTP_REQUEST, &limits);
	assert_int_equal(bw_http_reader_feed(&reader, (const uint8_t *)text,
					     strlen(text), &used),
			 BW_HTTP_COMPLETE);
	bw_http_target_read(&reader.message, &target);
	snprintf(result, 512, "%.*s|%.*s|%.*s", (int)target.host_bytes,
		 target.host ? target.host : "", (int)target.path_bytes,
		 target.path, (int)target.query_bytes, target.query);
	bw_http_reader_finish(&reader);
}

static void expect_(const char *target_and_host, const char *expected)
{
	char text[1024];
	char result[512];

	snprintf(text, sizeof(text), "GET %s\r\n\r\n", target_and_host);
	read_(result, text);
	assert_string_equal(result, expected);
}

/* Returns whether a request has a route for a host of 125 bytes or h.example.
 */
static bool is_routed_(const char *text)
{
	char host[BW_ROUTE_HOST_MAX] = "h.example";
	struct bw_routing *routing;
	struct bw_http_reader reader;
	struct bw_http_target target;
	bool routed;
	size_t used;

	if (strstr(text, "hhhh")) {
		memset(host, 'h', 125);
		host[125] = '\0';
	}
	routing = harness_routing(host, "/a/");
	bw_http_reader_init(&reader, HTTP_REQUEST, &limits);
	assert_int_equal(bw_http_reader_feed(&reader, (const uint8_t *)text,
					     strlen(text), &used),
			 BW_HTTP_COMPLETE);
	bw_http_target_read(&reader.message, &target);
	routed = target.host &&
		 bw_routing_find(routing, target.host, target.host_bytes,
				 target.path, target.path_bytes) != NULL;
	bw_http_reader_finish(&reader);
	bw_routing_unref(routing);
	return routed;
}

static void test_origin_form(void **state)
{
	(void)state;
	expect_("/a/?b=/c?d HTTP/1.1\r\nHost: h.example:80",
		"h.example:80|/a/|?b=/c?d");
	expect_("/a HTTP/1.0", "|/a|");
	expect_("/http://x/ HTTP/1.1\r\nHost: h", "h|/http://x/|");
}

/* Guards against a 404 for the form that clients use with proxies. */
static void test_absolute_form(void **state)
{
	(void)state;
	assert_true(is_routed_("GET http://h.example/a/ HTTP/1.1\r\n"
			       "Host: h.example\r\n\r\n"));
	expect_("http://h.example/a/?b=c HTTP/1.1\r\nHost: other",
		"h.example|/a/|?b=c");
	expect_("HTTPS://h.example:8080 HTTP/1.1\r\nHost: other",
		"h.example:8080|/|");
	expect_("http://h.example?b HTTP/1.1\r\nHost: other", "h.example|/|?b");
	expect_("http://u:p@h.example/a@b HTTP/1.1\r\nHost: other",
		"h.example|/a@b|");
}

/* Guards against a buffer for Host without room for the port. */
static void test_long_host_with_port(void **state)
{
	char text[400];
	char host[126];

	(void)state;
	memset(host, 'h', 125);
	host[125] = '\0';
	snprintf(text, sizeof(text), "GET /a/ HTTP/1.1\r\nHost: %s\r\n\r\n",
		 host);
	assert_true(is_routed_(text));
	snprintf(text, sizeof(text),
		 "GET /a/ HTTP/1.1\r\nHost: %s:8080\r\n\r\n", host);
	assert_true(is_routed_(text));
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_origin_form),
		cmocka_unit_test(test_absolute_form),
		cmocka_unit_test(test_long_host_with_port),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
