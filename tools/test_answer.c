#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "answer.h"

/* Guards against a checker that misses cut, foreign or damaged bodies. */
static void test_verify(void **state)
{
	struct bw_buffer body = { 0 };
	size_t size;
	size_t cut;

	(void)state;
	for (size = 1; size < 60; size += 7) {
		bw_buffer_clear(&body);
		assert_int_equal(answer_make(&body, "7-12", size), BW_OK);
		assert_int_equal(answer_verify("7-12", body.data,
					       body.size_bytes),
				 ANSWER_WHOLE);
		for (cut = 0; cut < body.size_bytes; cut++)
			assert_int_equal(answer_verify("7-12", body.data, cut),
					 ANSWER_CUT);
		assert_int_equal(answer_verify("7-13", body.data,
					       body.size_bytes),
				 ANSWER_FOREIGN);
		assert_int_equal(answer_verify("7-1", body.data,
					       body.size_bytes),
				 ANSWER_FOREIGN);
	}
	body.data[body.size_bytes - 1] ^= 1;
	assert_int_equal(answer_verify("7-12", body.data, body.size_bytes),
			 ANSWER_DAMAGED);
	bw_buffer_finish(&body);
}

int main(void)
{
	const struct CMUnitTest tests[] = { cmocka_unit_test(test_verify) };

	return cmocka_run_group_tests(tests, NULL, NULL);
}
