#include "private/aggregator.h"

#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#define ROW_FIELDS 13
#define REFRESH_FIELDS 6

/** Lead in report time above which a report replaces one of a later epoch. */
#define EPOCH_OVERRIDE_LEAD_MS 5000

static void store_row_(struct bw_aggregator *aggregator,
		       struct bw_summary *known, struct bw_summary *row);
static void read_hosts_(struct bw_reader *reader, struct bw_summary *row);
static void read_controls_(struct bw_reader *reader, struct bw_summary *row);

struct bw_summary *aggregator_row(const struct bw_aggregator *aggregator,
				  const char *domain)
{
	uint32_t low = 0;
	uint32_t high = aggregator->row_count;

	while (low < high) {
		uint32_t middle = (low + high) / 2;
		int order = strcmp(aggregator->rows[middle].domain, domain);

		if (!order)
			return &aggregator->rows[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

struct bw_summary *aggregator_row_by_tag(const struct bw_aggregator *aggregator,
					 uint64_t tag)
{
	uint32_t i;

	for (i = 0; i < aggregator->row_count; i++) {
		if (aggregator->rows[i].tag == tag)
			return &aggregator->rows[i];
	}
	return NULL;
}

/* The epoch decides between two reporting aggregators. One whose last report
 * is much older is replaced in spite of its higher epoch: it gave up the role
 * before the other one learned of that epoch. */
bool aggregator_is_newer(const struct bw_summary *a, const struct bw_summary *b)
{
	int64_t lead_ms = bw_time_diff_ms(a->reported, b->reported);

	if (a->epoch != b->epoch && lead_ms > EPOCH_OVERRIDE_LEAD_MS)
		return true;
	if (a->epoch != b->epoch && lead_ms < -EPOCH_OVERRIDE_LEAD_MS)
		return false;
	if (a->epoch != b->epoch)
		return a->epoch > b->epoch;
	return a->sequence > b->sequence;
}

bool aggregator_apply(struct bw_aggregator *aggregator, struct bw_summary *row)
{
	struct bw_summary *known = aggregator_row(aggregator, row->domain);
	uint32_t index = 0;

	if (known) {
		if (!aggregator_is_newer(row, known)) {
			aggregator->stats.stale_count++;
			free(row->load);
			row->load = NULL;
			return false;
		}
		store_row_(aggregator, known, row);
		return true;
	}
	if (aggregator->row_count == BW_SUMMARY_ROWS_MAX) {
		aggregator->stats.rows_dropped_count++;
		free(row->load);
		row->load = NULL;
		return false;
	}
	while (index < aggregator->row_count &&
	       strcmp(aggregator->rows[index].domain, row->domain) < 0)
		index++;
	known = &aggregator->rows[index];
	memmove(known + 1, known,
		(aggregator->row_count - index) * sizeof(*known));
	aggregator->row_count++;
	memset(known, 0, sizeof(*known));
	store_row_(aggregator, known, row);
	return true;
}

void aggregator_expire_rows(struct bw_aggregator *aggregator,
			    struct bw_time now)
{
	struct bw_summary *row;
	uint32_t i = 0;

	while (i < aggregator->row_count) {
		row = &aggregator->rows[i];
		if (bw_summary_age_ms(row, now) <
		    aggregator->config.row_expiry_ms) {
			i++;
			continue;
		}
		free(row->load);
		aggregator->row_count--;
		memmove(row, row + 1,
			(aggregator->row_count - i) * sizeof(*row));
	}
}

void aggregator_write_row(struct bw_writer *writer,
			  const struct bw_summary *row, struct bw_time now)
{
	uint32_t i;

	bw_write_array(writer, ROW_FIELDS);
	bw_write_str(writer, row->domain);
	bw_write_str(writer, row->region);
	bw_write_str(writer, row->aggregator);
	bw_write_uint(writer, row->epoch);
	bw_write_uint(writer, row->sequence);
	bw_write_uint(writer, row->content_sequence);
	bw_write_uint(writer, (uint64_t)bw_summary_age_ms(row, now));
	bw_write_array(writer, row->host_count);
	for (i = 0; i < row->host_count; i++) {
		bw_write_array(writer, 4);
		bw_write_str(writer, row->hosts[i].name);
		bw_write_str(writer, row->hosts[i].address);
		bw_write_uint(writer, row->hosts[i].port);
		bw_write_bool(writer, row->hosts[i].leaving);
	}
	bw_write_array(writer, row->control_count);
	for (i = 0; i < row->control_count; i++) {
		bw_write_array(writer, 2);
		bw_write_str(writer, row->controls[i].name);
		bw_write_str(writer, row->controls[i].address);
	}
	bw_write_uint(writer, row->revision_min);
	bw_write_uint(writer, row->revision_max);
	bw_write_uint(writer, row->up_count);
	bw_write_bin(writer, row->load, row->load_bytes);
}

void aggregator_write_refresh(struct bw_writer *writer,
			      const struct bw_summary *row, struct bw_time now)
{
	bw_write_array(writer, REFRESH_FIELDS);
	bw_write_uint(writer, row->tag);
	bw_write_uint(writer, row->sequence);
	bw_write_uint(writer, (uint64_t)bw_summary_age_ms(row, now));
	bw_write_uint(writer, row->revision_min);
	bw_write_uint(writer, row->revision_max);
	bw_write_uint(writer, row->up_count);
}

enum bw_status aggregator_read_row(struct bw_reader *reader,
				   struct bw_summary *row, struct bw_time now)
{
	const uint8_t *load;
	size_t load_bytes;
	uint64_t age_ms;

	memset(row, 0, sizeof(*row));
	if (bw_read_array(reader) != ROW_FIELDS)
		reader->failed = true;
	bw_read_name(reader, row->domain);
	bw_read_name(reader, row->region);
	bw_read_name(reader, row->aggregator);
	row->epoch = bw_read_uint(reader);
	row->sequence = bw_read_uint(reader);
	row->content_sequence = bw_read_uint(reader);
	age_ms = bw_read_uint(reader);
	read_hosts_(reader, row);
	read_controls_(reader, row);
	row->revision_min = bw_read_uint(reader);
	row->revision_max = bw_read_uint(reader);
	row->up_count = (uint32_t)bw_read_uint(reader);
	load = bw_read_bin(reader, &load_bytes);
	bw_read_end(reader);
	if (load_bytes > BW_SUMMARY_LOAD_MAX_BYTES || !row->domain[0] ||
	    age_ms > INT32_MAX)
		reader->failed = true;
	row->reported = bw_time_add(now, -(int64_t)(age_ms & INT32_MAX));
	if (reader->failed || !load_bytes)
		return BW_OK;
	row->load = malloc(load_bytes);
	if (!row->load)
		return BW_ENOMEM;
	memcpy(row->load, load, load_bytes);
	row->load_bytes = (uint32_t)load_bytes;
	return BW_OK;
}

void aggregator_read_refresh(struct bw_reader *reader, struct bw_summary *row,
			     struct bw_time now)
{
	uint64_t age_ms;

	memset(row, 0, sizeof(*row));
	if (bw_read_array(reader) != REFRESH_FIELDS)
		reader->failed = true;
	row->tag = bw_read_uint(reader);
	row->sequence = bw_read_uint(reader);
	age_ms = bw_read_uint(reader);
	row->revision_min = bw_read_uint(reader);
	row->revision_max = bw_read_uint(reader);
	row->up_count = (uint32_t)bw_read_uint(reader);
	bw_read_end(reader);
	if (age_ms > INT32_MAX)
		reader->failed = true;
	row->reported = bw_time_add(now, -(int64_t)(age_ms & INT32_MAX));
}

static void store_row_(struct bw_aggregator *aggregator,
		       struct bw_summary *known, struct bw_summary *row)
{
	uint64_t key[3];
	uint32_t i;

	key[0] = XXH3_64bits(row->domain, strlen(row->domain));
	key[1] = row->epoch;
	key[2] = row->content_sequence;
	row->tag = XXH3_64bits(key, sizeof(key));
	if (known->change_index && known->epoch == row->epoch &&
	    known->content_sequence == row->content_sequence)
		row->change_index = known->change_index;
	else
		row->change_index = ++aggregator->last_change_index;
	free(known->load);
	*known = *row;
	row->load = NULL;
	for (i = 0; i < known->control_count; i++)
		aggregator_add_control(aggregator, known->controls[i].name,
				       known->controls[i].address);
}

static void read_hosts_(struct bw_reader *reader, struct bw_summary *row)
{
	uint32_t count = bw_read_array(reader);
	uint64_t port;
	uint32_t i;

	if (count > BW_SUMMARY_HOSTS_MAX) {
		reader->failed = true;
		return;
	}
	for (i = 0; i < count; i++) {
		bw_read_array(reader);
		bw_read_name(reader, row->hosts[i].name);
		bw_read_text(reader, row->hosts[i].address,
			     BW_MEMBER_ADDRESS_MAX);
		port = bw_read_uint(reader);
		if (port > UINT16_MAX)
			reader->failed = true;
		row->hosts[i].port = (uint16_t)port;
		row->hosts[i].leaving = bw_read_bool(reader);
		bw_read_end(reader);
	}
	bw_read_end(reader);
	row->host_count = count;
}

static void read_controls_(struct bw_reader *reader, struct bw_summary *row)
{
	uint32_t count = bw_read_array(reader);
	uint32_t i;

	if (count > BW_SUMMARY_HOSTS_MAX) {
		reader->failed = true;
		return;
	}
	for (i = 0; i < count; i++) {
		bw_read_array(reader);
		bw_read_name(reader, row->controls[i].name);
		bw_read_text(reader, row->controls[i].address,
			     BW_MEMBER_ADDRESS_MAX);
		bw_read_end(reader);
	}
	bw_read_end(reader);
	row->control_count = count;
}
