#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "payload.h"

/* Guards against a check that accepts a truncated body, a corrupted body or
 * the body of another request. */
static void test_verify(void **state)
{
	struct bw_buffer body = { 0 };
	size_t size;
	size_t cut;

	(void)state;
	for (size = 1; size < 60; size += 7) {
		bw_buffer_clear(&body);
		assert_int_equal(payload_append(&body, "7-12", size), BW_OK);
		assert_int_equal(payload_verify("7-12", body.data,
						body.size_bytes),
				 PAYLOAD_INTACT);
		for (cut = 0; cut < body.size_bytes; cut++)
			assert_int_equal(payload_verify("7-12", body.data, cut),
					 PAYLOAD_WRONG_SIZE);
		assert_int_equal(payload_verify("7-13", body.data,
						body.size_bytes),
				 PAYLOAD_OTHER_REQUEST);
		assert_int_equal(payload_verify("7-1", body.data,
						body.size_bytes),
				 PAYLOAD_OTHER_REQUEST);
	}
	body.data[body.size_bytes - 1] ^= 1;
	assert_int_equal(payload_verify("7-12", body.data, body.size_bytes),
			 PAYLOAD_CORRUPT);
	bw_buffer_finish(&body);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_verify) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
