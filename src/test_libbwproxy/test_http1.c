/*
 * Reader of HTTP/1.1 messages. Guards against truncated messages that are
 * reported as complete, and against results that depend on how the stream was
 * split into reads.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwproxy/http1.h"

static const struct bw_http_limits limits = { .head_max_bytes = 512,
					      .body_max_bytes = 64 };

/* Feeds text in two pieces and returns the last result. */
static enum bw_http_progress feed_split_(struct bw_http_reader *reader,
					 const char *text, size_t split,
					 size_t *unread_bytes)
{
	const uint8_t *data = (const uint8_t *)text;
	size_t size = strlen(text);
	enum bw_http_progress progress;
	size_t used;

	progress = bw_http_reader_feed(reader, data, split, &used);
	if (progress != BW_HTTP_INCOMPLETE) {
		*unread_bytes = size - used;
		return progress;
	}
	assert_int_equal(used, split);
	progress =
		bw_http_reader_feed(reader, data + split, size - split, &used);
	*unread_bytes = size - split - used;
	return progress;
}

static void expect_result_(enum http_parser_type type, const char *text,
			   enum bw_http_progress progress, const char *body,
			   size_t unread_bytes)
{
	size_t split;

	for (split = 0; split <= strlen(text); split++) {
		struct bw_http_reader reader;
		size_t unread = 0;

		bw_http_reader_init(&reader, type, &limits);
		assert_int_equal(feed_split_(&reader, text, split, &unread),
				 progress);
		if (progress == BW_HTTP_COMPLETE) {
			assert_int_equal(unread, unread_bytes);
			assert_int_equal(reader.message.body.size_bytes,
					 strlen(body));
			assert_memory_equal(reader.message.body.data, body,
					    strlen(body));
		}
		bw_http_reader_finish(&reader);
	}
}

static void test_complete(void **state)
{
	(void)state;
	expect_result_(HTTP_REQUEST, "GET /a?b HTTP/1.1\r\nHost: x\r\n\r\n",
		       BW_HTTP_COMPLETE, "", 0);
	expect_result_(HTTP_REQUEST,
		       "POST /a HTTP/1.1\r\nContent-Length: 3\r\n\r\nabcGET /",
		       BW_HTTP_COMPLETE, "abc", 5);
	expect_result_(HTTP_REQUEST,
		       "PUT /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "2\r\nab\r\n3\r\ncde\r\n0\r\nT: 1\r\n\r\n",
		       BW_HTTP_COMPLETE, "abcde", 0);
	expect_result_(HTTP_RESPONSE,
		       "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1",
		       BW_HTTP_COMPLETE, "ok", 8);
	expect_result_(HTTP_RESPONSE, "HTTP/1.1 204 No Content\r\n\r\n",
		       BW_HTTP_COMPLETE, "", 0);
}

static void test_incomplete(void **state)
{
	(void)state;
	expect_result_(HTTP_RESPONSE,
		       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabcd",
		       BW_HTTP_INCOMPLETE, "", 0);
	expect_result_(HTTP_RESPONSE,
		       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "2\r\nab\r\n",
		       BW_HTTP_INCOMPLETE, "", 0);
	expect_result_(HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n\r\nabc",
		       BW_HTTP_INCOMPLETE, "", 0);
}

/* Guards against accepting malformed, ambiguous or oversized messages. */
static void test_rejected(void **state)
{
	(void)state;
	expect_result_(HTTP_RESPONSE, "garbage\r\n\r\n", BW_HTTP_MALFORMED, "",
		       0);
	expect_result_(HTTP_REQUEST,
		       "GET / HTTP/1.1\r\nContent-Length: x\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	/* Ambiguous framing allows request smuggling. */
	expect_result_(HTTP_REQUEST,
		       "POST / HTTP/1.1\r\nContent-Length: 3\r\n"
		       "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST,
		       "POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n"
		       "0123456789012345678901234567890123456789"
		       "01234567890123456789012345",
		       BW_HTTP_BODY_TOO_LARGE, "", 0);
}

/* Guards against fields that another reader takes for different ones. */
static void test_space_before_colon(void **state)
{
	struct bw_http_reader reader;
	size_t unread_bytes;
	char value[16];

	(void)state;
	expect_result_(HTTP_REQUEST,
		       "POST / HTTP/1.1\r\nTransfer-Encoding : chunked\r\n"
		       "\r\n0\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST,
		       "POST / HTTP/1.1\r\nContent-Length : 2\r\n\r\nab",
		       BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST, "GET / HTTP/1.1\r\nHo st: x\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST, "GET / HTTP/1.1\r\n Host: x\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	bw_http_reader_init(&reader, HTTP_RESPONSE, &limits);
	assert_int_equal(
		feed_split_(&reader,
			    "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n"
			    "Load : 3\r\n\r\n2\r\nab\r\n0\r\n\r\n",
			    20, &unread_bytes),
		BW_HTTP_COMPLETE);
	assert_int_equal(reader.message.body.size_bytes, 2);
	assert_true(
		bw_http_find(&reader.message, "Load", value, sizeof(value)));
	assert_string_equal(value, "3");
	assert_true(bw_http_field_is_hop_by_hop(&reader.message,
						&reader.message.fields[0]));
	bw_http_reader_finish(&reader);
}

/* Guards against a method token that counts as garbage, and garbage that counts
 * as a method, whichever bytes arrived. */
static void test_methods(void **state)
{
	(void)state;
	expect_result_(HTTP_REQUEST, "M-SEARCH / HTTP/1.1\r\n\r\n",
		       BW_HTTP_COMPLETE, "", 0);
	expect_result_(HTTP_REQUEST, "QUERY / HTTP/1.1\r\n\r\n",
		       BW_HTTP_UNKNOWN_METHOD, "", 0);
	expect_result_(HTTP_REQUEST, "\r\nGE / HTTP/1.1\r\n\r\n",
		       BW_HTTP_UNKNOWN_METHOD, "", 0);
	expect_result_(HTTP_REQUEST, "get / HTTP/1.1\r\n\r\n",
		       BW_HTTP_UNKNOWN_METHOD, "", 0);
	expect_result_(HTTP_REQUEST, "1* / HTTP/1.1\r\n\r\n",
		       BW_HTTP_UNKNOWN_METHOD, "", 0);
	expect_result_(HTTP_REQUEST, "CONNECT a:1 HTTP/1.1\r\n\r\n",
		       BW_HTTP_UNKNOWN_METHOD, "", 0);
	expect_result_(HTTP_REQUEST, "SSH-2.0-x\r\n", BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST, "\x16\x03 / HTTP/1.1\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST, "\r\n / HTTP/1.1\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
	expect_result_(HTTP_REQUEST, "QU\x01RY / HTTP/1.1\r\n\r\n",
		       BW_HTTP_MALFORMED, "", 0);
}

static void test_end_of_stream(void **state)
{
	static const char without_length[] = "HTTP/1.1 200 OK\r\n\r\nabc";
	static const char with_length[] =
		"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nabc";
	struct bw_http_reader reader;
	size_t unread_bytes;

	(void)state;
	bw_http_reader_init(&reader, HTTP_RESPONSE, &limits);
	feed_split_(&reader, without_length, 9, &unread_bytes);
	assert_int_equal(bw_http_reader_end(&reader), BW_HTTP_COMPLETE);
	bw_http_reader_next(&reader);
	feed_split_(&reader, with_length, 9, &unread_bytes);
	assert_int_equal(bw_http_reader_end(&reader), BW_HTTP_MALFORMED);
	bw_http_reader_next(&reader);
	assert_int_equal(bw_http_reader_end(&reader), BW_HTTP_MALFORMED);
	bw_http_reader_finish(&reader);
}

/* Guards against look-ups that are case-sensitive or truncate a value, and
 * against hop-by-hop fields that are not recognised. */
static void test_fields(void **state)
{
	static const char text[] =
		"GET / HTTP/1.1\r\nHost: x\r\nX-One: 1\r\n"
		"Connection: close, X-Two\r\nX-Two: 2\r\nKeep-Alive: 5\r\n\r\n";
	struct bw_http_reader reader;
	const struct bw_http_message *message = &reader.message;
	char value[8];
	size_t unread_bytes;

	(void)state;
	bw_http_reader_init(&reader, HTTP_REQUEST, &limits);
	assert_int_equal(feed_split_(&reader, text, 20, &unread_bytes),
			 BW_HTTP_COMPLETE);
	assert_int_equal(message->field_count, 5);
	assert_true(bw_http_find(message, "x-one", value, sizeof(value)));
	assert_string_equal(value, "1");
	assert_false(bw_http_find(message, "X-Three", value, sizeof(value)));
	assert_false(bw_http_find(message, "Connection", value, 8));
	assert_false(bw_http_field_is_hop_by_hop(message, &message->fields[1]));
	assert_true(bw_http_field_is_hop_by_hop(message, &message->fields[2]));
	assert_true(bw_http_field_is_hop_by_hop(message, &message->fields[3]));
	assert_true(bw_http_field_is_hop_by_hop(message, &message->fields[4]));
	assert_false(message->keep_alive);
	bw_http_reader_finish(&reader);
}

/* Guards against optional white space that counts as part of a value, however
 * the stream was split. */
static void test_white_space(void **state)
{
	static const char text[] =
		"GET / HTTP/1.1\r\nHost: \t x \t\r\nA:\r\nB: \t \r\n"
		"C:c \td\r\nConnection:close\t, \tX-One \t,X-Two \r\n"
		"X-One: 1\r\nX-Two: 2\t \r\n\r\n";
	static const char *const values[] = {
		"x", "", "", "c \td", "close\t, \tX-One \t,X-Two", "1", "2"
	};
	size_t split;

	(void)state;
	for (split = 0; split <= strlen(text); split++) {
		struct bw_http_reader reader;
		const struct bw_http_message *message = &reader.message;
		size_t unread_bytes;
		uint32_t i;

		bw_http_reader_init(&reader, HTTP_REQUEST, &limits);
		assert_int_equal(feed_split_(&reader, text, split,
					     &unread_bytes),
				 BW_HTTP_COMPLETE);
		assert_int_equal(message->field_count, 7);
		for (i = 0; i < message->field_count; i++) {
			struct bw_http_span value = message->fields[i].value;

			assert_int_equal(value.size_bytes, strlen(values[i]));
			assert_memory_equal(bw_http_text(message, value),
					    values[i], value.size_bytes);
			assert_int_equal(bw_http_field_is_hop_by_hop(
						 message, &message->fields[i]),
					 i >= 4);
		}
		bw_http_reader_finish(&reader);
	}
}

/* Guards against a request that offers an upgrade and is rejected or read
 * without its body, and against an offer that is forwarded. */
static void test_upgrade_offer(void **state)
{
	static const char text[] = "POST / HTTP/1.1\r\n"
				   "Connection: Upgrade, HTTP2-Settings\r\n"
				   "HTTP2-Settings: AAM\r\nUpgrade: h2c\r\n"
				   "Content-Length: 3\r\n\r\nabc";
	struct bw_http_reader reader;
	size_t unread_bytes;
	uint32_t i;

	(void)state;
	expect_result_(HTTP_REQUEST,
		       "GET / HTTP/1.1\r\nConnection: Upgrade\r\n"
		       "Upgrade: h2c\r\n\r\nGET /",
		       BW_HTTP_COMPLETE, "", 5);
	expect_result_(HTTP_REQUEST, text, BW_HTTP_COMPLETE, "abc", 0);
	expect_result_(HTTP_REQUEST,
		       "POST / HTTP/1.1\r\nConnection: Upgrade\r\n"
		       "Upgrade: x\r\nTransfer-Encoding: chunked\r\n\r\n"
		       "3\r\nabc\r\n0\r\n\r\n",
		       BW_HTTP_COMPLETE, "abc", 0);
	bw_http_reader_init(&reader, HTTP_REQUEST, &limits);
	assert_int_equal(feed_split_(&reader, text, 20, &unread_bytes),
			 BW_HTTP_COMPLETE);
	assert_true(reader.message.keep_alive);
	for (i = 0; i < reader.message.field_count; i++)
		assert_true(bw_http_field_is_hop_by_hop(
			&reader.message, &reader.message.fields[i]));
	bw_http_reader_finish(&reader);
}

/* Guards against a head within its limit of bytes that is rejected for the
 * number of its fields, and against separators that the limit does not count.
 */
static void test_many_fields(void **state)
{
	char text[1024] = "GET / HTTP/1.1\r\n";
	size_t length = strlen(text);
	int i;

	(void)state;
	/* The target and 102 fields of 5 bytes are 511 bytes. */
	for (i = 0; i < 102; i++)
		length += (size_t)snprintf(text + length, sizeof(text) - length,
					   "a:b\r\n");
	snprintf(text + length, sizeof(text) - length, "\r\n");
	expect_result_(HTTP_REQUEST, text, BW_HTTP_COMPLETE, "", 0);
	snprintf(text + length, sizeof(text) - length, "a:b\r\n\r\n");
	expect_result_(HTTP_REQUEST, text, BW_HTTP_HEAD_TOO_LARGE, "", 0);
}

/* Feeds a piece again and again and returns the last result. */
static enum bw_http_progress feed_endless_(enum http_parser_type type,
					   const char *head, const char *piece)
{
	enum bw_http_progress progress = BW_HTTP_INCOMPLETE;
	struct bw_http_reader reader;
	size_t used;
	int i;

	bw_http_reader_init(&reader, type, &limits);
	if (*head)
		progress = bw_http_reader_feed(&reader, (const uint8_t *)head,
					       strlen(head), &used);
	for (i = 0; i < 20000 && progress == BW_HTTP_INCOMPLETE; i++)
		progress = bw_http_reader_feed(&reader, (const uint8_t *)piece,
					       strlen(piece), &used);
	bw_http_reader_finish(&reader);
	return progress;
}

/* Guards against a message that is read without end because it has no body. */
static void test_endless(void **state)
{
	static const struct {
		enum http_parser_type type;
		const char *head;
		const char *piece;
	} cases[] = {
		{ HTTP_REQUEST, "", "\r\n" },
		{ HTTP_REQUEST, "Q", "a" },
		{ HTTP_REQUEST, "GET /", "a" },
		{ HTTP_REQUEST, "GET / HTTP/1.1\r\n", "a" },
		{ HTTP_REQUEST, "GET / HTTP/1.1\r\na:", " " },
		{ HTTP_REQUEST, "GET / HTTP/1.1\r\na:", "b" },
		{ HTTP_REQUEST, "GET / HTTP/1.1\r\n", "a: b\r\n" },
		{ HTTP_REQUEST,
		  "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n1;",
		  "a" },
		{ HTTP_REQUEST,
		  "GET / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
		  "a: b\r\n" },
		{ HTTP_RESPONSE, "HTTP/1.1 200 ", "OK" },
		{ HTTP_RESPONSE, "HTTP/1.1 200 OK\r\n", "a: b\r\n" },
	};
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(cases) / sizeof(cases[0]); i++)
		assert_int_equal(feed_endless_(cases[i].type, cases[i].head,
					       cases[i].piece),
				 BW_HTTP_HEAD_TOO_LARGE);
}

/* Guards against a limit of overhead that adds up over the chunks of a body. */
static void test_small_chunks(void **state)
{
	static const char head[] =
		"POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n";
	static const char chunk[] = "0001;a=b\r\nx\r\n";
	struct bw_http_limits large = { .head_max_bytes = 512,
					.body_max_bytes = 100000 };
	enum bw_http_progress progress;
	struct bw_http_reader reader;
	size_t used;
	int i;

	(void)state;
	bw_http_reader_init(&reader, HTTP_REQUEST, &large);
	progress = bw_http_reader_feed(&reader, (const uint8_t *)head,
				       strlen(head), &used);
	for (i = 0; i < 20000 && progress == BW_HTTP_INCOMPLETE; i++)
		progress = bw_http_reader_feed(&reader, (const uint8_t *)chunk,
					       strlen(chunk), &used);
	assert_int_equal(progress, BW_HTTP_INCOMPLETE);
	assert_int_equal(reader.message.body.size_bytes, 20000);
	bw_http_reader_finish(&reader);
}

/* Guards against fields of a message that outlive it. */
static void test_field_memory(void **state)
{
	char text[1024] = "GET / HTTP/1.1\r\n";
	struct bw_http_reader reader;
	size_t length = strlen(text);
	size_t unread_bytes;
	int i;

	(void)state;
	bw_http_reader_init(&reader, HTTP_REQUEST, &limits);
	for (i = 0; i < 100; i++)
		length += (size_t)snprintf(text + length, sizeof(text) - length,
					   "a: b\r\n");
	snprintf(text + length, sizeof(text) - length, "\r\n");
	assert_int_equal(feed_split_(&reader, text, 20, &unread_bytes),
			 BW_HTTP_COMPLETE);
	assert_int_equal(reader.message.field_count, 100);
	bw_http_reader_next(&reader);
	assert_int_equal(reader.message.field_count, 0);
	assert_true(reader.message.field_capacity < 100);
	assert_int_equal(feed_split_(&reader, "GET / HTTP/1.1\r\nc: d\r\n\r\n",
				     20, &unread_bytes),
			 BW_HTTP_COMPLETE);
	assert_int_equal(reader.message.field_count, 1);
	assert_int_equal(reader.message.fields[0].value.size_bytes, 1);
	bw_http_reader_finish(&reader);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_complete),
		cmocka_unit_test(test_incomplete),
		cmocka_unit_test(test_rejected),
		cmocka_unit_test(test_space_before_colon),
		cmocka_unit_test(test_methods),
		cmocka_unit_test(test_end_of_stream),
		cmocka_unit_test(test_fields),
		cmocka_unit_test(test_upgrade_offer),
		cmocka_unit_test(test_white_space),
		cmocka_unit_test(test_many_fields),
		cmocka_unit_test(test_field_memory),
		cmocka_unit_test(test_endless),
		cmocka_unit_test(test_small_chunks),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
