#include "private/aggregator.h"

#include <string.h>

static uint32_t self_position_(const struct bw_aggregator *aggregator);
static const struct bw_member_record *
host_at_(const struct bw_aggregator *aggregator, uint32_t position);

const struct bw_member_record *
bw_aggregator_next_child(const struct bw_aggregator *aggregator,
			 uint32_t *cursor)
{
	if (!aggregator->current[0] || *cursor >= BW_AGGREGATOR_CHILDREN_MAX)
		return NULL;
	(*cursor)++;
	return host_at_(aggregator, self_position_(aggregator) *
						    BW_AGGREGATOR_CHILDREN_MAX +
					    *cursor);
}

const struct bw_member_record *
bw_aggregator_parent(const struct bw_aggregator *aggregator)
{
	if (!aggregator->current[0] || bw_aggregator_is_self(aggregator))
		return NULL;
	return host_at_(aggregator, (self_position_(aggregator) - 1) /
					    BW_AGGREGATOR_CHILDREN_MAX);
}

/* Returns the position of this host: the aggregator is 0, the others follow in
 * byte order of names. */
static uint32_t self_position_(const struct bw_aggregator *aggregator)
{
	const struct bw_member *member = aggregator->config.member;
	const struct bw_member_record *record;
	uint32_t position = 1;
	uint32_t i;

	if (bw_aggregator_is_self(aggregator))
		return 0;
	for (i = 0; i < bw_member_count(member); i++) {
		record = bw_member_at(member, i);
		if (!strcmp(record->host.name, member->config.self.name))
			break;
		if (bw_member_state_is_up(record->state) &&
		    strcmp(record->host.name, aggregator->current) != 0)
			position++;
	}
	return position;
}

static const struct bw_member_record *
host_at_(const struct bw_aggregator *aggregator, uint32_t position)
{
	const struct bw_member *member = aggregator->config.member;
	const struct bw_member_record *record;
	uint32_t i;

	if (!position)
		return bw_member_find(member, aggregator->current);
	for (i = 0; i < bw_member_count(member); i++) {
		record = bw_member_at(member, i);
		if (bw_member_state_is_up(record->state) &&
		    strcmp(record->host.name, aggregator->current) != 0 &&
		    !--position)
			return record;
	}
	return NULL;
}
