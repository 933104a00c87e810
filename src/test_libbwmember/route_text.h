/**
 * @file
 * Configurations of random routes for tests of transfers.
 */
#ifndef TEST_LIBBWMEMBER_ROUTE_TEXT_H
#define TEST_LIBBWMEMBER_ROUTE_TEXT_H

#include "bwbase/buffer.h"
#include "bwbase/random.h"

/** Appends the text of random routes, about 100 bytes each. */
void route_text_add(struct bw_buffer *text, uint32_t count,
		    struct bw_random *random);

#endif
