#include "bwmember/aggregator.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "private/aggregator.h"

#define DEFAULT_HYSTERESIS_MS 2000
#define DEFAULT_REPORT_INTERVAL_MS 1000
#define DEFAULT_REFRESH_INTERVAL_MS 5000
#define DEFAULT_HOST_REFRESH_INTERVAL_MS 6000
#define DEFAULT_ROW_EXPIRY_MS 60000
/** Interval at which unreferenced control hosts are removed. */
#define CONTROL_EXPIRY_INTERVAL_MS 10000

/** Time without a reference after which a control host is removed. */
#define CONTROL_EXPIRY_MS 60000

#define DEFAULT_HOST_BYTES_PER_S 5000
#define DEFAULT_RELAY_BYTES_PER_S 50000

static void set_default_(uint32_t *value, uint32_t default_value);
static void elect_aggregator_(struct bw_aggregator *aggregator,
			      struct bw_time now);
static bool current_is_eligible_(const struct bw_aggregator *aggregator);
static void start_epoch_(struct bw_aggregator *aggregator, struct bw_time now);
static void collect_controls_(struct bw_aggregator *aggregator);
static void expire_controls_(struct bw_aggregator *aggregator,
			     struct bw_time now);
static enum bw_status dispatch_packet_(struct bw_aggregator *aggregator,
				       const struct bw_packet *packet,
				       struct bw_reader *reader,
				       struct bw_time now,
				       struct bw_outbox *out);
static enum bw_status receive_rows_(struct bw_aggregator *aggregator,
				    const struct bw_packet *packet,
				    struct bw_reader *reader, bool is_report,
				    struct bw_time now, struct bw_outbox *out);
static void apply_refresh_(struct bw_summary *row,
			   const struct bw_summary *refresh);
static enum bw_status send_request_(struct bw_aggregator *aggregator,
				    const char *peer, const uint64_t *tags,
				    uint32_t count, struct bw_outbox *out);
static enum bw_status send_ack_(struct bw_aggregator *aggregator,
				const char *peer, const char *domain,
				struct bw_outbox *out);
static void receive_ack_(struct bw_aggregator *aggregator, const char *peer,
			 struct bw_reader *reader, struct bw_time now);

enum bw_status bw_aggregator_init(struct bw_aggregator *aggregator,
				  const struct bw_aggregator_config *config,
				  struct bw_time now)
{
	struct bw_aggregator_config *own = &aggregator->config;

	memset(aggregator, 0, sizeof(*aggregator));
	if (!config->member)
		return BW_EINVAL;
	*own = *config;
	set_default_(&own->hysteresis_ms, DEFAULT_HYSTERESIS_MS);
	set_default_(&own->report_interval_ms, DEFAULT_REPORT_INTERVAL_MS);
	set_default_(&own->refresh_interval_ms, DEFAULT_REFRESH_INTERVAL_MS);
	set_default_(&own->host_refresh_interval_ms,
		     DEFAULT_HOST_REFRESH_INTERVAL_MS);
	set_default_(&own->row_expiry_ms, DEFAULT_ROW_EXPIRY_MS);
	set_default_(&own->host_bytes_per_s, DEFAULT_HOST_BYTES_PER_S);
	set_default_(&own->relay_bytes_per_s, DEFAULT_RELAY_BYTES_PER_S);
	aggregator->rows =
		calloc(BW_SUMMARY_ROWS_MAX, sizeof(*aggregator->rows));
	aggregator->peers =
		calloc(AGGREGATOR_PEERS_MAX, sizeof(*aggregator->peers));
	if (!aggregator->rows || !aggregator->peers) {
		bw_aggregator_finish(aggregator);
		return BW_ENOMEM;
	}
	if (config->random_seed)
		bw_random_init(&aggregator->random, config->random_seed);
	else
		bw_random_init_system(&aggregator->random);
	aggregator->started = now;
	aggregator->clock = now;
	aggregator->next_control_expiry = now;
	aggregator->next_report = now;
	return BW_OK;
}

void bw_aggregator_finish(struct bw_aggregator *aggregator)
{
	uint32_t i;

	for (i = 0; i < aggregator->row_count; i++)
		free(aggregator->rows[i].load);
	free(aggregator->rows);
	free(aggregator->peers);
	free(aggregator->load);
	memset(aggregator, 0, sizeof(*aggregator));
}

enum bw_status bw_aggregator_receive(struct bw_aggregator *aggregator,
				     const struct bw_packet *packet,
				     struct bw_time now, struct bw_outbox *out)
{
	struct bw_reader reader;
	enum bw_status status;

	aggregator->clock = now;
	status = bw_reader_init(&reader, packet->data, packet->size_bytes);
	if (status == BW_OK)
		status =
			dispatch_packet_(aggregator, packet, &reader, now, out);
	if (status == BW_OK)
		status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	if (status == BW_EINVAL || status == BW_EVERSION)
		aggregator->stats.malformed_count++;
	return status;
}

enum bw_status bw_aggregator_tick(struct bw_aggregator *aggregator,
				  struct bw_time now, struct bw_outbox *out)
{
	enum bw_status status = BW_OK;

	aggregator->clock = now;
	collect_controls_(aggregator);
	if (bw_time_reached(now, aggregator->next_control_expiry))
		expire_controls_(aggregator, now);
	elect_aggregator_(aggregator, now);
	aggregator_expire_rows(aggregator, now);
	if (bw_aggregator_is_self(aggregator) &&
	    bw_time_reached(now, aggregator->next_report))
		status = aggregator_report(aggregator, now, out);
	if (status == BW_OK)
		status = aggregator_push(aggregator, now, out);
	return status;
}

enum bw_status bw_aggregator_set_load(struct bw_aggregator *aggregator,
				      const void *load, size_t load_bytes)
{
	uint8_t *copy;

	if (load_bytes > BW_SUMMARY_LOAD_MAX_BYTES)
		return BW_EFULL;
	copy = malloc(load_bytes ? load_bytes : 1);
	if (!copy)
		return BW_ENOMEM;
	if (load_bytes)
		memcpy(copy, load, load_bytes);
	free(aggregator->load);
	aggregator->load = copy;
	aggregator->load_bytes = (uint32_t)load_bytes;
	return BW_OK;
}

const char *bw_aggregator_current(const struct bw_aggregator *aggregator)
{
	return aggregator->current;
}

bool bw_aggregator_is_self(const struct bw_aggregator *aggregator)
{
	return !strcmp(aggregator->current,
		       aggregator->config.member->config.self.name);
}

uint32_t bw_aggregator_count(const struct bw_aggregator *aggregator)
{
	return aggregator->row_count;
}

const struct bw_summary *
bw_aggregator_at(const struct bw_aggregator *aggregator, uint32_t index)
{
	assert(index < aggregator->row_count);
	return &aggregator->rows[index];
}

const struct bw_summary *
bw_aggregator_find(const struct bw_aggregator *aggregator, const char *domain)
{
	return aggregator_row(aggregator, domain);
}

int64_t bw_summary_age_ms(const struct bw_summary *summary, struct bw_time now)
{
	return bw_time_diff_ms(now, summary->reported);
}

uint32_t bw_aggregator_control_count(const struct bw_aggregator *aggregator)
{
	return aggregator->control_count;
}

const struct bw_summary_control *
bw_aggregator_control_at(const struct bw_aggregator *aggregator, uint32_t index)
{
	assert(index < aggregator->control_count);
	return &aggregator->controls[index];
}

bool bw_aggregator_is_control(const struct bw_aggregator *aggregator,
			      const char *name)
{
	return aggregator_control_index(aggregator, name) >= 0;
}

const char *bw_aggregator_ranked_control(const struct bw_aggregator *aggregator,
					 uint32_t rank)
{
	const char *domain = aggregator->config.member->config.self.domain;
	uint64_t weight[BW_AGGREGATOR_CONTROLS_MAX];
	uint32_t higher_count;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < aggregator->control_count; i++)
		weight[i] = XXH3_64bits_withSeed(
			aggregator->controls[i].name,
			strlen(aggregator->controls[i].name),
			XXH3_64bits(domain, strlen(domain)));
	for (i = 0; i < aggregator->control_count; i++) {
		higher_count = 0;
		for (j = 0; j < aggregator->control_count; j++)
			higher_count += weight[j] > weight[i];
		if (higher_count == rank)
			return aggregator->controls[i].name;
	}
	return NULL;
}

enum bw_status bw_aggregator_dump(const struct bw_aggregator *aggregator,
				  json_t *into)
{
	json_t *rows = json_array();
	const struct bw_summary *row;
	uint32_t i;

	for (i = 0; i < aggregator->row_count; i++) {
		row = &aggregator->rows[i];
		json_array_append_new(
			rows,
			json_pack("{s:s,s:s,s:I,s:I,s:I,s:I,s:I,s:I}", "domain",
				  row->domain, "aggregator", row->aggregator,
				  "epoch", (json_int_t)row->epoch, "sequence",
				  (json_int_t)row->sequence, "revision_min",
				  (json_int_t)row->revision_min, "revision_max",
				  (json_int_t)row->revision_max, "living",
				  (json_int_t)row->up_count, "reported_ms",
				  (json_int_t)row->reported.ms));
	}
	if (json_object_set_new(into, "rows", rows) ||
	    json_object_set_new(into, "aggregator",
				json_string(aggregator->current)))
		return BW_ENOMEM;
	return BW_OK;
}

struct bw_aggregator_peer *aggregator_peer(struct bw_aggregator *aggregator,
					   const char *name, struct bw_time now)
{
	struct bw_aggregator_peer *peer;
	uint32_t i;

	for (i = 0; i < aggregator->peer_count; i++) {
		peer = &aggregator->peers[i];
		if (strcmp(peer->name, name) != 0)
			continue;
		peer->last_used = now;
		return peer;
	}
	/* Replaced hosts leave peers behind: the least recently used one is
	 * overwritten when the table is full. */
	peer = aggregator->peers;
	for (i = 1; i < aggregator->peer_count; i++) {
		if (aggregator->peers[i].last_used.ms < peer->last_used.ms)
			peer = &aggregator->peers[i];
	}
	if (aggregator->peer_count < AGGREGATOR_PEERS_MAX)
		peer = &aggregator->peers[aggregator->peer_count++];
	memset(peer, 0, sizeof(*peer));
	bw_name_set(peer->name, name);
	peer->last_used = now;
	peer->refilled = bw_time_add(now, -1000);
	peer->next_push = now;
	return peer;
}

void aggregator_add_control(struct bw_aggregator *aggregator, const char *name,
			    const char *address)
{
	int index = aggregator_control_index(aggregator, name);

	if (index < 0) {
		if (aggregator->control_count == BW_AGGREGATOR_CONTROLS_MAX)
			return;
		index = (int)aggregator->control_count++;
		bw_name_set(aggregator->controls[index].name, name);
	}
	aggregator->control_seen[index] = aggregator->clock;
	if (address[0])
		memcpy(aggregator->controls[index].address, address,
		       BW_MEMBER_ADDRESS_MAX);
}

static void set_default_(uint32_t *value, uint32_t default_value)
{
	if (!*value)
		*value = default_value;
}

/* Elects the host with the lowest name that has been alive for the hysteresis
 * time. A suspect aggregator keeps its role, so that a refuted suspicion
 * causes no change. */
static void elect_aggregator_(struct bw_aggregator *aggregator,
			      struct bw_time now)
{
	const struct bw_member *member = aggregator->config.member;
	const struct bw_member_record *record;
	bool was_self = bw_aggregator_is_self(aggregator);
	bool keep = current_is_eligible_(aggregator);
	uint32_t i;

	for (i = 0; i < bw_member_count(member); i++) {
		record = bw_member_at(member, i);
		if (keep && !strcmp(record->host.name, aggregator->current))
			return;
		if (record->state != BW_MEMBER_ALIVE ||
		    bw_time_diff_ms(now, record->since) <
			    aggregator->config.hysteresis_ms)
			continue;
		memcpy(aggregator->current, record->host.name, BW_NAME_MAX);
		if (!was_self && bw_aggregator_is_self(aggregator))
			start_epoch_(aggregator, now);
		return;
	}
	if (!keep)
		memset(aggregator->current, 0, BW_NAME_MAX);
}

static bool current_is_eligible_(const struct bw_aggregator *aggregator)
{
	const struct bw_member_record *record;

	if (!aggregator->current[0])
		return false;
	record = bw_member_find(aggregator->config.member, aggregator->current);
	return record && (record->state == BW_MEMBER_ALIVE ||
			  record->state == BW_MEMBER_SUSPECT);
}

static void start_epoch_(struct bw_aggregator *aggregator, struct bw_time now)
{
	const struct bw_summary *row = aggregator_row(
		aggregator, aggregator->config.member->config.self.domain);
	int64_t wall_ms = aggregator->config.wall_ms +
			  bw_time_diff_ms(now, aggregator->started);

	aggregator->epoch = (uint64_t)wall_ms;
	if (row && row->epoch >= aggregator->epoch)
		aggregator->epoch = row->epoch + 1;
	aggregator->sequence = 0;
	aggregator->content_sequence = 0;
	aggregator->content_hash = 0;
	aggregator->elected_at = now;
	aggregator->next_report = now;
	aggregator->stats.takeover_count++;
}

static void collect_controls_(struct bw_aggregator *aggregator)
{
	const struct bw_member *member = aggregator->config.member;
	const struct bw_member_record *record;
	const struct bw_member_seed *seed;
	uint32_t i;

	for (i = 0; i < member->config.seed_count; i++) {
		seed = &member->config.seeds[i];
		if (seed->is_control)
			aggregator_add_control(aggregator, seed->name,
					       seed->address);
	}
	for (i = 0; i < bw_member_count(member); i++) {
		record = bw_member_at(member, i);
		if (record->host.is_control)
			aggregator_add_control(aggregator, record->host.name,
					       record->host.address);
	}
}

/* Removes control hosts that no seed, row or record refers to, so that
 * replaced ones do not fill the table. */
static void expire_controls_(struct bw_aggregator *aggregator,
			     struct bw_time now)
{
	const struct bw_summary *row;
	uint32_t last;
	uint32_t i;
	uint32_t j;

	aggregator->next_control_expiry =
		bw_time_add(now, CONTROL_EXPIRY_INTERVAL_MS);
	for (i = 0; i < aggregator->row_count; i++) {
		row = &aggregator->rows[i];
		for (j = 0; j < row->control_count; j++)
			aggregator_add_control(aggregator,
					       row->controls[j].name,
					       row->controls[j].address);
	}
	i = 0;
	while (i < aggregator->control_count) {
		if (bw_time_diff_ms(now, aggregator->control_seen[i]) <
		    CONTROL_EXPIRY_MS) {
			i++;
			continue;
		}
		last = --aggregator->control_count;
		aggregator->controls[i] = aggregator->controls[last];
		aggregator->control_acked[i] = aggregator->control_acked[last];
		aggregator->control_seen[i] = aggregator->control_seen[last];
		memset(&aggregator->controls[last], 0,
		       sizeof(*aggregator->controls));
		memset(&aggregator->control_acked[last], 0,
		       sizeof(*aggregator->control_acked));
	}
}

int aggregator_control_index(const struct bw_aggregator *aggregator,
			     const char *name)
{
	uint32_t i;

	for (i = 0; i < aggregator->control_count; i++) {
		if (!strcmp(aggregator->controls[i].name, name))
			return (int)i;
	}
	return -1;
}

static enum bw_status dispatch_packet_(struct bw_aggregator *aggregator,
				       const struct bw_packet *packet,
				       struct bw_reader *reader,
				       struct bw_time now,
				       struct bw_outbox *out)
{
	struct bw_aggregator_peer *peer;

	bw_read_array(reader);
	if (bw_read_uint(reader) != AGGREGATOR_WIRE_VERSION)
		return BW_EVERSION;
	switch (bw_read_uint(reader)) {
	case AGGREGATOR_REPORT:
		return receive_rows_(aggregator, packet, reader, true, now,
				     out);
	case AGGREGATOR_ROWS:
		return receive_rows_(aggregator, packet, reader, false, now,
				     out);
	case AGGREGATOR_ACK:
		receive_ack_(aggregator, packet->peer, reader, now);
		return BW_OK;
	case AGGREGATOR_REQUEST:
		peer = aggregator_peer(aggregator, packet->peer, now);
		return aggregator_send_requested(aggregator, peer, reader, now,
						 out);
	default:
		return BW_EVERSION;
	}
}

static enum bw_status receive_rows_(struct bw_aggregator *aggregator,
				    const struct bw_packet *packet,
				    struct bw_reader *reader, bool is_report,
				    struct bw_time now, struct bw_outbox *out)
{
	uint64_t lost_tags[AGGREGATOR_REQUEST_MAX];
	struct bw_aggregator_peer *peer;
	struct bw_summary row;
	struct bw_summary *known;
	enum bw_status status = BW_OK;
	uint32_t lost_count = 0;
	char domain[BW_NAME_MAX] = "";

	if (is_report) {
		peer = aggregator_peer(aggregator, packet->peer, now);
		peer->reported = now;
		peer->has_reported = true;
	}
	bw_read_array(reader);
	while (bw_read_more(reader) && status == BW_OK) {
		status = aggregator_read_row(reader, &row, now);
		if (reader->failed)
			return BW_EINVAL;
		if (status != BW_OK)
			return status;
		memcpy(row.source, packet->peer, BW_NAME_MAX);
		memcpy(domain, row.domain, BW_NAME_MAX);
		aggregator_apply(aggregator, &row);
	}
	bw_read_end(reader);
	bw_read_array(reader);
	while (bw_read_more(reader)) {
		aggregator_read_refresh(reader, &row, now);
		if (reader->failed)
			return BW_EINVAL;
		known = aggregator_row_by_tag(aggregator, row.tag);
		if (known) {
			apply_refresh_(known, &row);
			memcpy(domain, known->domain, BW_NAME_MAX);
		} else if (lost_count < AGGREGATOR_REQUEST_MAX) {
			lost_tags[lost_count++] = row.tag;
		}
	}
	if (lost_count)
		status = send_request_(aggregator, packet->peer, lost_tags,
				       lost_count, out);
	if (is_report && status == BW_OK)
		status = send_ack_(aggregator, packet->peer, domain, out);
	return status;
}

static void apply_refresh_(struct bw_summary *row,
			   const struct bw_summary *refresh)
{
	if (refresh->sequence <= row->sequence)
		return;
	row->sequence = refresh->sequence;
	row->reported = refresh->reported;
	row->revision_min = refresh->revision_min;
	row->revision_max = refresh->revision_max;
	row->up_count = refresh->up_count;
}

static enum bw_status send_request_(struct bw_aggregator *aggregator,
				    const char *peer, const uint64_t *tags,
				    uint32_t count, struct bw_outbox *out)
{
	struct bw_buffer body = { 0 };
	struct bw_writer writer;
	enum bw_status status;
	uint32_t i;

	aggregator->stats.rows_requested_count += count;
	bw_writer_init(&writer, &body);
	bw_write_array(&writer, 3);
	bw_write_uint(&writer, AGGREGATOR_WIRE_VERSION);
	bw_write_uint(&writer, AGGREGATOR_REQUEST);
	bw_write_array(&writer, count);
	for (i = 0; i < count; i++)
		bw_write_uint(&writer, tags[i]);
	status = writer.status;
	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_SUMMARY, body.data,
				       body.size_bytes);
	bw_buffer_finish(&body);
	return status;
}

static enum bw_status send_ack_(struct bw_aggregator *aggregator,
				const char *peer, const char *domain,
				struct bw_outbox *out)
{
	const struct bw_summary *row = aggregator_row(aggregator, domain);
	struct bw_buffer body = { 0 };
	struct bw_writer writer;
	enum bw_status status;

	bw_writer_init(&writer, &body);
	bw_write_array(&writer, 4);
	bw_write_uint(&writer, AGGREGATOR_WIRE_VERSION);
	bw_write_uint(&writer, AGGREGATOR_ACK);
	bw_write_uint(&writer, row ? row->epoch : 0);
	bw_write_uint(&writer, row ? row->content_sequence : 0);
	status = writer.status;
	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_SUMMARY, body.data,
				       body.size_bytes);
	bw_buffer_finish(&body);
	return status;
}

static void receive_ack_(struct bw_aggregator *aggregator, const char *peer,
			 struct bw_reader *reader, struct bw_time now)
{
	int index = aggregator_control_index(aggregator, peer);
	uint64_t epoch = bw_read_uint(reader);
	uint64_t content_sequence = bw_read_uint(reader);

	if (index < 0 || reader->failed)
		return;
	aggregator->control_acked[index].has_ack = true;
	aggregator->control_acked[index].acked_at = now;
	aggregator->control_acked[index].epoch = epoch;
	aggregator->control_acked[index].content_sequence = content_sequence;
}
