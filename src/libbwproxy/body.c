#include "bwproxy/body.h"

#include <assert.h>

bool bw_body_charge(struct bw_body *body, uint64_t total_bytes)
{
	struct bw_body_budget *budget = body->budget;
	uint64_t max_bytes;
	uint64_t more_bytes;

	if (!budget || total_bytes <= body->charged_bytes)
		return true;
	more_bytes = total_bytes - body->charged_bytes;
	max_bytes = budget->max_bytes;
	if (total_bytes > budget->ordinary_max_bytes)
		max_bytes -= budget->kept_back_bytes;
	if (!body->overdraws && (budget->used_bytes > max_bytes ||
				 more_bytes > max_bytes - budget->used_bytes)) {
		if (!budget->allows_overdraft || budget->overdrawn)
			return false;
		budget->overdrawn = body->overdraws = true;
	}
	budget->used_bytes += more_bytes;
	body->charged_bytes = total_bytes;
	return true;
}

void bw_body_move(struct bw_body *to, struct bw_body *from)
{
	*to = *from;
	bw_buffer_init(&from->bytes);
	from->charged_bytes = 0;
	from->overdraws = false;
}

void bw_body_finish(struct bw_body *body)
{
	bw_buffer_finish(&body->bytes);
	if (!body->budget)
		return;
	assert(body->budget->used_bytes >= body->charged_bytes);
	body->budget->used_bytes -= body->charged_bytes;
	body->charged_bytes = 0;
	if (body->overdraws)
		body->budget->overdrawn = false;
	body->overdraws = false;
}
