#include "private/aggregator.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

/** Time without an ack after which the next control host gets reports too. */
#define CONTROL_ACK_TIMEOUT_MS 2500

/** Age of another aggregator's report for the own domain above which that
 * aggregator is considered stopped and its epoch is exceeded. While it reports,
 * as the other half of a partition does, both keep their epochs. */
#define OTHER_AGGREGATOR_TIMEOUT_MS 3000

static enum bw_status build_row_(struct bw_aggregator *aggregator,
				 struct bw_summary *row, struct bw_time now);
static void fill_hosts_(const struct bw_member *member, struct bw_summary *row);
static void add_host_(struct bw_summary *row,
		      const struct bw_member_host *host);
static uint64_t hash_row_(const struct bw_summary *row);
static enum bw_status send_report_(struct bw_aggregator *aggregator,
				   uint32_t control_index,
				   const struct bw_summary *row,
				   struct bw_time now, struct bw_outbox *out);

enum bw_status aggregator_report(struct bw_aggregator *aggregator,
				 struct bw_time now, struct bw_outbox *out)
{
	const struct bw_member_host *self =
		&aggregator->config.member->config.self;
	const struct bw_summary *row;
	struct bw_summary own;
	enum bw_status status;
	const char *control;
	uint32_t rank;
	int index;

	aggregator->next_report =
		bw_time_add(now, aggregator->config.report_interval_ms);
	status = build_row_(aggregator, &own, now);
	if (status != BW_OK)
		return status;
	aggregator_apply(aggregator, &own);
	row = aggregator_row(aggregator, self->domain);
	if (self->is_control || !row || strcmp(row->aggregator, self->name))
		return BW_OK;
	for (rank = 0; status == BW_OK; rank++) {
		control = bw_aggregator_ranked_control(aggregator, rank);
		if (!control)
			return BW_OK;
		index = aggregator_control_index(aggregator, control);
		status = send_report_(aggregator, (uint32_t)index, row, now,
				      out);
		if (aggregator->control_acked[index].has_ack
			    ? bw_time_diff_ms(now,
					      aggregator->control_acked[index]
						      .acked_at) <
				      CONTROL_ACK_TIMEOUT_MS
			    : bw_time_diff_ms(now, aggregator->elected_at) <
				      CONTROL_ACK_TIMEOUT_MS * (rank + 1))
			return status;
	}
	return status;
}

static enum bw_status build_row_(struct bw_aggregator *aggregator,
				 struct bw_summary *row, struct bw_time now)
{
	const struct bw_member *member = aggregator->config.member;
	const struct bw_member_host *self = &member->config.self;
	const struct bw_summary *known =
		aggregator_row(aggregator, self->domain);
	uint64_t hash;

	if (known && strcmp(known->aggregator, self->name) != 0 &&
	    known->epoch >= aggregator->epoch &&
	    bw_summary_age_ms(known, now) > OTHER_AGGREGATOR_TIMEOUT_MS) {
		aggregator->epoch = known->epoch + 1;
		aggregator->content_hash = 0;
	}
	memset(row, 0, sizeof(*row));
	memcpy(row->domain, self->domain, BW_NAME_MAX);
	memcpy(row->region, self->region, BW_NAME_MAX);
	memcpy(row->aggregator, self->name, BW_NAME_MAX);
	memcpy(row->source, self->name, BW_NAME_MAX);
	row->epoch = aggregator->epoch;
	row->sequence = ++aggregator->sequence;
	row->reported = now;
	fill_hosts_(member, row);
	if (aggregator->load_bytes) {
		row->load = malloc(aggregator->load_bytes);
		if (!row->load)
			return BW_ENOMEM;
		memcpy(row->load, aggregator->load, aggregator->load_bytes);
		row->load_bytes = aggregator->load_bytes;
	}
	hash = hash_row_(row);
	if (hash != aggregator->content_hash)
		aggregator->content_sequence = row->sequence;
	aggregator->content_hash = hash;
	row->content_sequence = aggregator->content_sequence;
	return BW_OK;
}

static void fill_hosts_(const struct bw_member *member, struct bw_summary *row)
{
	const struct bw_member_record *record;
	const struct bw_member_host *host;
	struct bw_summary_control *control;
	uint32_t pass;
	uint32_t i;

	row->revision_min = UINT64_MAX;
	for (i = 0; i < bw_member_count(member); i++) {
		record = bw_member_at(member, i);
		host = &record->host;
		if (host->is_control && bw_member_state_is_up(record->state) &&
		    row->control_count < BW_SUMMARY_HOSTS_MAX) {
			control = &row->controls[row->control_count++];
			memcpy(control->name, host->name, BW_NAME_MAX);
			memcpy(control->address, host->address,
			       BW_MEMBER_ADDRESS_MAX);
		}
		if (!bw_member_state_is_up(record->state))
			continue;
		row->up_count++;
		if (host->revision < row->revision_min)
			row->revision_min = host->revision;
		if (host->revision > row->revision_max)
			row->revision_max = host->revision;
	}
	/* Alive hosts come before leaving and suspect ones, which should get no
	 * new work. */
	for (pass = 0; pass < 2; pass++) {
		for (i = 0; i < bw_member_count(member); i++) {
			record = bw_member_at(member, i);
			if (bw_member_state_is_up(record->state) &&
			    (record->state == BW_MEMBER_ALIVE) == (pass == 0))
				add_host_(row, &record->host);
		}
	}
}

static void add_host_(struct bw_summary *row, const struct bw_member_host *host)
{
	struct bw_summary_host *entry;

	if (!host->entry_port || row->host_count == BW_SUMMARY_HOSTS_MAX)
		return;
	entry = &row->hosts[row->host_count++];
	memcpy(entry->name, host->name, BW_NAME_MAX);
	memcpy(entry->address, host->entry_address, BW_MEMBER_ADDRESS_MAX);
	entry->port = host->entry_port;
	entry->leaving = host->leaving;
}

/* Revisions and the host count are excluded: refresh entries carry them. */
static uint64_t hash_row_(const struct bw_summary *row)
{
	uint64_t key[4];

	key[0] = XXH3_64bits(row->hosts, sizeof(row->hosts));
	key[1] = XXH3_64bits(row->controls, sizeof(row->controls));
	key[2] = XXH3_64bits(row->load, row->load_bytes);
	key[3] = row->epoch;
	return XXH3_64bits(key, sizeof(key));
}

static enum bw_status send_report_(struct bw_aggregator *aggregator,
				   uint32_t control_index,
				   const struct bw_summary *row,
				   struct bw_time now, struct bw_outbox *out)
{
	bool content_acked =
		aggregator->control_acked[control_index].epoch == row->epoch &&
		aggregator->control_acked[control_index].content_sequence ==
			row->content_sequence;
	struct bw_buffer body = { 0 };
	struct bw_writer writer;
	enum bw_status status;

	bw_writer_init(&writer, &body);
	bw_write_array(&writer, 4);
	bw_write_uint(&writer, AGGREGATOR_WIRE_VERSION);
	bw_write_uint(&writer, AGGREGATOR_REPORT);
	bw_write_array(&writer, content_acked ? 0 : 1);
	if (!content_acked)
		aggregator_write_row(&writer, row, now);
	bw_write_array(&writer, content_acked ? 1 : 0);
	if (content_acked)
		aggregator_write_refresh(&writer, row, now);
	status = writer.status;
	if (status == BW_OK)
		status = bw_outbox_add(out,
				       aggregator->controls[control_index].name,
				       BW_CHANNEL_SUMMARY, body.data,
				       body.size_bytes);
	bw_buffer_finish(&body);
	return status;
}
