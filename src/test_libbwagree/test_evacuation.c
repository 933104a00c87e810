/*
 * Evacuations in the replicated state. Guards against evacuations that a
 * snapshot leaves out, and against repeated commands that change the state.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

#include "bwagree/state.h"

static enum bw_outcome_kind apply_evacuate_(struct bw_state *state,
					    uint64_t index, const char *domain,
					    bool active)
{
	struct bw_outcome outcome;
	struct bw_buffer command;

	bw_buffer_init(&command);
	assert_int_equal(bw_command_evacuate(&command, domain, active), BW_OK);
	assert_int_equal(bw_command_kind(command.data, command.size_bytes),
			 BW_COMMAND_EVACUATE);
	assert_int_equal(bw_state_apply(state, index, command.data,
					command.size_bytes, &outcome),
			 BW_OK);
	bw_buffer_finish(&command);
	return outcome.kind;
}

static void test_repeated_commands(void **context)
{
	struct bw_state state;
	struct bw_buffer command;

	(void)context;
	bw_state_init(&state, 4, 4);
	assert_int_equal(apply_evacuate_(&state, 1, "a", true),
			 BW_OUTCOME_EVACUATION_SET);
	assert_int_equal(apply_evacuate_(&state, 2, "b", true),
			 BW_OUTCOME_EVACUATION_SET);
	assert_int_equal(state.evacuated_count, 2);
	assert_int_equal(state.evacuation_index, 2);
	/* A repeated command is acknowledged and changes nothing. */
	assert_int_equal(apply_evacuate_(&state, 3, "a", true),
			 BW_OUTCOME_EVACUATION_SET);
	assert_int_equal(state.evacuation_index, 2);
	assert_int_equal(apply_evacuate_(&state, 4, "a", false),
			 BW_OUTCOME_EVACUATION_SET);
	assert_int_equal(state.evacuated_count, 1);
	assert_string_equal(state.evacuated[0], "b");
	assert_int_equal(apply_evacuate_(&state, 5, "c", false),
			 BW_OUTCOME_EVACUATION_SET);
	assert_int_equal(state.evacuation_index, 4);
	bw_buffer_init(&command);
	assert_int_equal(bw_command_evacuate(&command, "", true), BW_EINVAL);
	bw_buffer_finish(&command);
	bw_state_finish(&state);
}

static void test_snapshot_keeps_evacuations(void **context)
{
	struct bw_state state;
	struct bw_state restored;
	struct bw_buffer saved;

	(void)context;
	bw_state_init(&state, 4, 4);
	apply_evacuate_(&state, 1, "a", true);
	apply_evacuate_(&state, 2, "b", true);
	bw_buffer_init(&saved);
	assert_int_equal(bw_state_save(&state, &saved), BW_OK);
	bw_state_init(&restored, 4, 4);
	assert_int_equal(bw_state_restore(&restored, saved.data,
					  saved.size_bytes),
			 BW_OK);
	assert_int_equal(restored.evacuated_count, 2);
	assert_string_equal(restored.evacuated[1], "b");
	assert_int_equal(restored.evacuation_index, 2);
	bw_buffer_finish(&saved);
	bw_state_finish(&state);
	bw_state_finish(&restored);
}

/* Guards against more evacuations than the state has space for. */
static void test_evacuation_limit(void **context)
{
	struct bw_state state;
	char domain[8];
	uint64_t i;

	(void)context;
	bw_state_init(&state, 4, 4);
	for (i = 0; i < BW_EVACUATIONS_MAX; i++) {
		snprintf(domain, sizeof(domain), "d%u", (unsigned int)i);
		assert_int_equal(apply_evacuate_(&state, i + 1, domain, true),
				 BW_OUTCOME_EVACUATION_SET);
	}
	assert_int_equal(apply_evacuate_(&state, i + 1, "x", true),
			 BW_OUTCOME_FULL);
	bw_state_finish(&state);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_repeated_commands),
		cmocka_unit_test(test_snapshot_keeps_evacuations),
		cmocka_unit_test(test_evacuation_limit),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
