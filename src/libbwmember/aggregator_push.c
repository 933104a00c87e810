#include "private/aggregator.h"

#include <string.h>

/** Interval of pushes to one peer; changes in between are batched. */
#define PUSH_INTERVAL_MS 500

/** Time without a report after which an aggregator is no longer served. */
#define REPORT_TIMEOUT_MS 5000

/** Minimum capacity of a token bucket: one full row must fit. */
#define BURST_MIN_BYTES 8192

/** A packet of rows that is being filled. */
struct batch {
	struct bw_buffer rows;
	struct bw_buffer refreshes;
	uint32_t row_count;
	uint32_t refresh_count;
};

/** Send limits for a kind of peer. */
struct send_limits {
	uint32_t bytes_per_s;
	uint32_t refresh_ms; /**< time in which every row is refreshed */
};

static enum bw_status push_to_peer_(struct bw_aggregator *aggregator,
				    const char *name, uint64_t incarnation,
				    const struct send_limits *limits,
				    struct bw_time now, struct bw_outbox *out);
static void refill_tokens_(struct bw_aggregator_peer *peer,
			   uint32_t bytes_per_s, struct bw_time now);
static const struct bw_summary *
next_unsent_row_(const struct bw_aggregator *aggregator,
		 const struct bw_aggregator_peer *peer);
static enum bw_status add_row_(struct bw_aggregator *aggregator,
			       struct bw_aggregator_peer *peer,
			       struct batch *batch,
			       const struct bw_summary *row, struct bw_time now,
			       struct bw_outbox *out);
static enum bw_status add_refreshes_(struct bw_aggregator *aggregator,
				     struct bw_aggregator_peer *peer,
				     struct batch *batch, uint32_t refresh_ms,
				     struct bw_time now);
static enum bw_status send_batch_(struct batch *batch, const char *peer,
				  struct bw_outbox *out);

const char *bw_aggregator_next_served(const struct bw_aggregator *aggregator,
				      struct bw_time now, uint32_t *cursor)
{
	const struct bw_aggregator_peer *peer;

	while (*cursor < aggregator->peer_count) {
		peer = &aggregator->peers[(*cursor)++];
		if (peer->has_reported &&
		    bw_time_diff_ms(now, peer->reported) < REPORT_TIMEOUT_MS)
			return peer->name;
	}
	return NULL;
}

enum bw_status aggregator_push(struct bw_aggregator *aggregator,
			       struct bw_time now, struct bw_outbox *out)
{
	const struct bw_aggregator_config *config = &aggregator->config;
	const struct bw_member_host *self = &config->member->config.self;
	const struct send_limits relay_limits = { config->relay_bytes_per_s,
						  config->refresh_interval_ms };
	const struct send_limits host_limits = {
		config->host_bytes_per_s, config->host_refresh_interval_ms
	};
	const struct bw_member_record *record;
	enum bw_status status = BW_OK;
	const char *name;
	uint32_t cursor = 0;
	uint32_t i;

	if (self->is_control) {
		for (i = 0; i < aggregator->control_count; i++) {
			name = aggregator->controls[i].name;
			if (status == BW_OK && strcmp(name, self->name) != 0)
				status = push_to_peer_(aggregator, name, 0,
						       &relay_limits, now, out);
		}
		while (status == BW_OK && (name = bw_aggregator_next_served(
						   aggregator, now, &cursor)))
			status = push_to_peer_(aggregator, name, 0,
					       &relay_limits, now, out);
	}
	cursor = 0;
	while (status == BW_OK &&
	       (record = bw_aggregator_next_child(aggregator, &cursor)))
		status = push_to_peer_(aggregator, record->host.name,
				       record->host.incarnation, &host_limits,
				       now, out);
	return status;
}

enum bw_status aggregator_send_requested(struct bw_aggregator *aggregator,
					 struct bw_aggregator_peer *peer,
					 struct bw_reader *reader,
					 struct bw_time now,
					 struct bw_outbox *out)
{
	struct batch batch = { .row_count = 0 };
	const struct bw_summary *row;
	enum bw_status status = BW_OK;
	uint32_t count = bw_read_array(reader);
	uint32_t i;

	if (count > AGGREGATOR_REQUEST_MAX)
		return BW_EINVAL;
	for (i = 0; i < count && status == BW_OK; i++) {
		row = aggregator_row_by_tag(aggregator, bw_read_uint(reader));
		if (row && peer->tokens > 0)
			status = add_row_(aggregator, peer, &batch, row, now,
					  out);
	}
	if (status == BW_OK)
		status = send_batch_(&batch, peer->name, out);
	bw_buffer_finish(&batch.rows);
	bw_buffer_finish(&batch.refreshes);
	return status;
}

static enum bw_status push_to_peer_(struct bw_aggregator *aggregator,
				    const char *name, uint64_t incarnation,
				    const struct send_limits *limits,
				    struct bw_time now, struct bw_outbox *out)
{
	struct bw_aggregator_peer *peer =
		aggregator_peer(aggregator, name, now);
	struct batch batch = { .row_count = 0 };
	const struct bw_summary *row;
	enum bw_status status = BW_OK;

	if (!bw_time_reached(now, peer->next_push))
		return BW_OK;
	peer->next_push = bw_time_add(now, PUSH_INTERVAL_MS);
	if (incarnation && peer->incarnation != incarnation) {
		peer->incarnation = incarnation;
		peer->sent_change_index = 0;
	}
	refill_tokens_(peer, limits->bytes_per_s, now);
	if (peer->tokens > 0)
		status = add_refreshes_(aggregator, peer, &batch,
					limits->refresh_ms, now);
	while (status == BW_OK && peer->tokens > 0) {
		row = next_unsent_row_(aggregator, peer);
		if (!row)
			break;
		peer->sent_change_index = row->change_index;
		if (strcmp(row->source, name) != 0)
			status = add_row_(aggregator, peer, &batch, row, now,
					  out);
	}
	if (status == BW_OK)
		status = send_batch_(&batch, name, out);
	bw_buffer_finish(&batch.rows);
	bw_buffer_finish(&batch.refreshes);
	return status;
}

static void refill_tokens_(struct bw_aggregator_peer *peer,
			   uint32_t bytes_per_s, struct bw_time now)
{
	int64_t capacity = bytes_per_s > BURST_MIN_BYTES ? bytes_per_s
							 : BURST_MIN_BYTES;

	peer->tokens +=
		bw_time_diff_ms(now, peer->refilled) * bytes_per_s / 1000;
	peer->refilled = now;
	if (peer->tokens > capacity)
		peer->tokens = capacity;
}

/* Returns the row with the oldest unsent change, so that none starves. */
static const struct bw_summary *
next_unsent_row_(const struct bw_aggregator *aggregator,
		 const struct bw_aggregator_peer *peer)
{
	const struct bw_summary *row;
	const struct bw_summary *chosen = NULL;
	uint32_t i;

	if (peer->sent_change_index == aggregator->last_change_index)
		return NULL;
	for (i = 0; i < aggregator->row_count; i++) {
		row = &aggregator->rows[i];
		if (row->change_index > peer->sent_change_index &&
		    (!chosen || row->change_index < chosen->change_index))
			chosen = row;
	}
	return chosen;
}

static enum bw_status add_row_(struct bw_aggregator *aggregator,
			       struct bw_aggregator_peer *peer,
			       struct batch *batch,
			       const struct bw_summary *row, struct bw_time now,
			       struct bw_outbox *out)
{
	size_t before = batch->rows.size_bytes;
	struct bw_writer writer;

	bw_writer_init(&writer, &batch->rows);
	aggregator_write_row(&writer, row, now);
	if (writer.status != BW_OK)
		return writer.status;
	batch->row_count++;
	aggregator->stats.rows_sent_count++;
	peer->tokens -= (int64_t)(batch->rows.size_bytes - before);
	if (batch->rows.size_bytes < AGGREGATOR_PACKET_BYTES)
		return BW_OK;
	return send_batch_(batch, peer->name, out);
}

static enum bw_status add_refreshes_(struct bw_aggregator *aggregator,
				     struct bw_aggregator_peer *peer,
				     struct batch *batch, uint32_t refresh_ms,
				     struct bw_time now)
{
	uint32_t push_count = refresh_ms / PUSH_INTERVAL_MS;
	uint32_t count =
		aggregator->row_count / (push_count ? push_count : 1) + 1;
	const struct bw_summary *row;
	struct bw_writer writer;

	bw_writer_init(&writer, &batch->refreshes);
	if (count > aggregator->row_count)
		count = aggregator->row_count;
	while (count--) {
		if (peer->refresh_index >= aggregator->row_count)
			peer->refresh_index = 0;
		row = &aggregator->rows[peer->refresh_index++];
		/* The source gets refreshes too: it may have lost the row. */
		if (row->change_index > peer->sent_change_index)
			continue;
		aggregator_write_refresh(&writer, row, now);
		batch->refresh_count++;
	}
	peer->tokens -= (int64_t)batch->refreshes.size_bytes;
	return writer.status;
}

static enum bw_status send_batch_(struct batch *batch, const char *peer,
				  struct bw_outbox *out)
{
	struct bw_buffer body = { 0 };
	struct bw_writer writer;
	enum bw_status status;

	if (!batch->row_count && !batch->refresh_count)
		return BW_OK;
	bw_writer_init(&writer, &body);
	bw_write_array(&writer, 4);
	bw_write_uint(&writer, AGGREGATOR_WIRE_VERSION);
	bw_write_uint(&writer, AGGREGATOR_ROWS);
	bw_write_array(&writer, batch->row_count);
	status = bw_buffer_append(&body, batch->rows.data,
				  batch->rows.size_bytes);
	bw_write_array(&writer, batch->refresh_count);
	if (status == BW_OK)
		status = bw_buffer_append(&body, batch->refreshes.data,
					  batch->refreshes.size_bytes);
	if (status == BW_OK)
		status = writer.status;
	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_SUMMARY, body.data,
				       body.size_bytes);
	bw_buffer_finish(&body);
	bw_buffer_clear(&batch->rows);
	bw_buffer_clear(&batch->refreshes);
	batch->row_count = 0;
	batch->refresh_count = 0;
	return status;
}
