#include <stdlib.h>
#include <string.h>

#include "bwbase/codec.h"
#include "private/plan_internal.h"

#define FORMAT_VERSION 1
#define PLAN_FIELDS 10
#define SERVICE_FIELDS 7

/** Reads variable-length integers from a byte array. */
struct varint_reader {
	const uint8_t *data;
	size_t size_bytes;
	bool failed;
};

static enum bw_status write_varint_(struct bw_buffer *out, uint64_t value);
static uint64_t read_varint_(struct varint_reader *in, uint64_t limit);
static void write_limits_(struct bw_writer *writer,
			  const struct bw_shift_limits *limits);
static void read_limits_(struct bw_reader *reader,
			 struct bw_shift_limits *limits);
static void write_names_(struct bw_writer *writer,
			 const char (*names)[BW_NAME_MAX], uint32_t count);
static enum bw_status write_service_(struct bw_writer *writer,
				     const struct bw_plan *plan,
				     uint32_t service,
				     struct bw_buffer *scratch);
static enum bw_status pack_ledger_(const struct bw_plan *plan,
				   const struct bw_plan_service *entry,
				   struct bw_buffer *out);
static enum bw_status pack_sites_(const struct bw_plan *plan,
				  const struct bw_plan_service *entry,
				  struct bw_buffer *out);
static enum bw_status pack_shares_(const struct bw_plan *plan,
				   const struct bw_plan_service *entry,
				   struct bw_buffer *out);
static enum bw_status pack_weights_(const struct bw_plan *plan,
				    uint32_t service, struct bw_buffer *out);
static enum bw_status read_plan_(struct bw_reader *reader,
				 struct bw_plan *plan);
static void read_service_(struct bw_reader *reader, struct bw_plan *plan,
			  uint32_t service);
static bool unpack_ledger_(const struct bw_plan *plan,
			   struct bw_plan_service *entry,
			   struct varint_reader *in);
static bool unpack_sites_(struct bw_plan *plan, struct bw_plan_service *entry,
			  struct varint_reader *in);
static bool unpack_shares_(struct bw_plan *plan,
			   const struct bw_plan_service *entry,
			   struct varint_reader *in);
static bool unpack_weights_(struct bw_plan *plan, uint32_t service,
			    struct varint_reader *in);
static struct varint_reader open_varints_(struct bw_reader *reader);

enum bw_status bw_plan_encode(const struct bw_plan *plan, struct bw_buffer *out)
{
	struct bw_buffer scratch;
	struct bw_writer writer;
	enum bw_status status = BW_OK;
	uint32_t i;

	bw_buffer_init(&scratch);
	bw_writer_init(&writer, out);
	bw_write_array(&writer, PLAN_FIELDS);
	bw_write_uint(&writer, FORMAT_VERSION);
	bw_write_uint(&writer, plan->version);
	bw_write_uint(&writer, plan->revision);
	bw_write_int(&writer, plan->clock_ms);
	write_limits_(&writer, &plan->limits);
	write_limits_(&writer, &plan->previous_limits);
	bw_write_int(&writer, plan->previous_limits_until_ms);
	write_names_(&writer, (const char(*)[BW_NAME_MAX])plan->regions,
		     plan->region_count);
	write_names_(&writer, (const char(*)[BW_NAME_MAX])plan->domains,
		     plan->domain_count);
	bw_write_array(&writer, plan->service_count);
	for (i = 0; i < plan->service_count && status == BW_OK; i++)
		status = write_service_(&writer, plan, i, &scratch);
	bw_buffer_finish(&scratch);
	return status != BW_OK ? status : writer.status;
}

enum bw_status bw_plan_decode(struct bw_plan *plan, const void *data,
			      size_t size_bytes)
{
	struct bw_reader reader;
	struct bw_plan decoded;
	enum bw_status status;

	bw_plan_init(&decoded, plan->chart);
	status = bw_reader_init(&reader, data, size_bytes);
	if (status == BW_OK)
		status = read_plan_(&reader, &decoded);
	bw_reader_finish(&reader);
	if (status != BW_OK) {
		bw_plan_finish(&decoded);
		return status;
	}
	bw_plan_finish(plan);
	*plan = decoded;
	return BW_OK;
}

static enum bw_status write_varint_(struct bw_buffer *out, uint64_t value)
{
	uint8_t bytes[10];
	size_t count = 0;

	while (value >= 0x80) {
		bytes[count++] = (uint8_t)(value | 0x80);
		value >>= 7;
	}
	bytes[count++] = (uint8_t)value;
	return bw_buffer_append(out, bytes, count);
}

static uint64_t read_varint_(struct varint_reader *in, uint64_t limit)
{
	uint64_t value = 0;
	uint32_t shift;
	uint8_t byte;

	for (shift = 0; shift < 63 && in->size_bytes; shift += 7) {
		byte = *in->data++;
		in->size_bytes--;
		value |= (uint64_t)(byte & 0x7f) << shift;
		if (byte & 0x80)
			continue;
		if (value <= limit)
			return value;
		break;
	}
	in->failed = true;
	return 0;
}

static void write_limits_(struct bw_writer *writer,
			  const struct bw_shift_limits *limits)
{
	bw_write_array(writer, 3);
	bw_write_uint(writer, limits->cap);
	bw_write_uint(writer, limits->window_ms);
	bw_write_uint(writer, limits->ttl_ms);
}

static void read_limits_(struct bw_reader *reader,
			 struct bw_shift_limits *limits)
{
	bw_read_array(reader);
	limits->cap = (uint32_t)bw_read_uint(reader);
	limits->window_ms = (uint32_t)bw_read_uint(reader);
	limits->ttl_ms = (uint32_t)bw_read_uint(reader);
	bw_read_end(reader);
}

static void write_names_(struct bw_writer *writer,
			 const char (*names)[BW_NAME_MAX], uint32_t count)
{
	uint32_t i;

	bw_write_array(writer, count);
	for (i = 0; i < count; i++)
		bw_write_str(writer, names[i]);
}

static enum bw_status write_service_(struct bw_writer *writer,
				     const struct bw_plan *plan,
				     uint32_t service,
				     struct bw_buffer *scratch)
{
	const struct bw_plan_service *entry = &plan->services[service];
	enum bw_status status;
	uint32_t packed_field;

	bw_write_array(writer, SERVICE_FIELDS);
	bw_write_str(writer, entry->name);
	bw_write_uint(writer, entry->state);
	bw_write_int(writer, entry->last_step_ms);
	for (packed_field = 0; packed_field < 4; packed_field++) {
		bw_buffer_clear(scratch);
		if (packed_field == 0)
			status = pack_ledger_(plan, entry, scratch);
		else if (packed_field == 1)
			status = pack_sites_(plan, entry, scratch);
		else if (packed_field == 2)
			status = pack_shares_(plan, entry, scratch);
		else
			status = pack_weights_(plan, service, scratch);
		if (status != BW_OK)
			return status;
		bw_write_bin(writer, scratch->data, scratch->size_bytes);
	}
	return writer->status;
}

static enum bw_status pack_ledger_(const struct bw_plan *plan,
				   const struct bw_plan_service *entry,
				   struct bw_buffer *out)
{
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < entry->ledger.count && status == BW_OK; i++) {
		const struct bw_shift_entry *shift_entry =
			&entry->ledger.entries[i];

		status = write_varint_(
			out, (uint64_t)(plan->clock_ms - shift_entry->at_ms));
		if (status == BW_OK)
			status = write_varint_(out, shift_entry->amount);
	}
	return status;
}

static enum bw_status pack_sites_(const struct bw_plan *plan,
				  const struct bw_plan_service *entry,
				  struct bw_buffer *out)
{
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < entry->site_count && status == BW_OK; i++)
		status = write_varint_(out, plan->sites[entry->site_begin + i]);
	return status;
}

/* Omits the last share of a row, which follows from the sum. */
static enum bw_status pack_shares_(const struct bw_plan *plan,
				   const struct bw_plan_service *entry,
				   struct bw_buffer *out)
{
	enum bw_status status = BW_OK;
	uint32_t r, i;

	for (r = 0; r < plan->region_count; r++) {
		for (i = 0; i + 1 < entry->site_count && status == BW_OK; i++)
			status = write_varint_(
				out, plan->shares[entry->share_begin +
						  r * entry->site_count + i]);
	}
	return status;
}

/* A service with one site has no shifts and needs no weights. */
static enum bw_status pack_weights_(const struct bw_plan *plan,
				    uint32_t service, struct bw_buffer *out)
{
	enum bw_status status = BW_OK;
	uint32_t r;

	if (plan->services[service].site_count < 2)
		return BW_OK;
	for (r = 0; r < plan->region_count && status == BW_OK; r++)
		status = write_varint_(
			out, plan->weights[service * plan->region_count + r]);
	return status;
}

static enum bw_status read_plan_(struct bw_reader *reader, struct bw_plan *plan)
{
	uint32_t i;

	bw_read_array(reader);
	if (bw_read_uint(reader) != FORMAT_VERSION)
		return BW_EINVAL;
	plan->version = bw_read_uint(reader);
	plan->revision = bw_read_uint(reader);
	plan->clock_ms = bw_read_int(reader);
	read_limits_(reader, &plan->limits);
	read_limits_(reader, &plan->previous_limits);
	plan->previous_limits_until_ms = bw_read_int(reader);
	/* The counts come later in the message: allocate the maximum. */
	plan->region_count = BW_PLAN_REGIONS_MAX;
	plan->site_count = 2 * BW_PLAN_SITES_MAX;
	plan->service_count = BW_PLAN_SITES_MAX;
	if (bw_plan_allocate(plan) != BW_OK)
		return BW_ENOMEM;
	plan->region_count = bw_read_array(reader);
	if (plan->region_count > BW_PLAN_REGIONS_MAX)
		return BW_EINVAL;
	for (i = 0; i < plan->region_count; i++)
		bw_read_name(reader, plan->regions[i]);
	bw_read_end(reader);
	plan->domain_count = bw_read_array(reader);
	if (plan->domain_count > BW_PLAN_DOMAINS_MAX)
		return BW_EINVAL;
	for (i = 0; i < plan->domain_count; i++)
		bw_read_name(reader, plan->domains[i]);
	bw_read_end(reader);
	plan->service_count = bw_read_array(reader);
	if (plan->service_count > BW_PLAN_SITES_MAX)
		return BW_EINVAL;
	plan->site_count = 0;
	for (i = 0; i < plan->service_count; i++)
		read_service_(reader, plan, i);
	return bw_reader_status(reader);
}

static void read_service_(struct bw_reader *reader, struct bw_plan *plan,
			  uint32_t service)
{
	struct bw_plan_service *entry = &plan->services[service];
	struct varint_reader in;
	uint64_t state;
	bool valid;

	bw_read_array(reader);
	bw_read_name(reader, entry->name);
	state = bw_read_uint(reader);
	valid = state < BW_SHIFT_STATE_COUNT;
	entry->state = valid ? (uint8_t)state : 0;
	entry->last_step_ms = bw_read_int(reader);
	in = open_varints_(reader);
	valid = valid && unpack_ledger_(plan, entry, &in);
	in = open_varints_(reader);
	valid = valid && unpack_sites_(plan, entry, &in);
	in = open_varints_(reader);
	valid = valid && unpack_shares_(plan, entry, &in);
	in = open_varints_(reader);
	valid = valid && unpack_weights_(plan, service, &in);
	bw_read_end(reader);
	if (!valid)
		reader->failed = true;
}

static struct varint_reader open_varints_(struct bw_reader *reader)
{
	struct varint_reader in = { .failed = false };

	in.data = bw_read_bin(reader, &in.size_bytes);
	in.failed = reader->failed;
	return in;
}

static bool unpack_ledger_(const struct bw_plan *plan,
			   struct bw_plan_service *entry,
			   struct varint_reader *in)
{
	struct bw_shift_entry *shift_entry;

	while (in->size_bytes && !in->failed) {
		if (entry->ledger.count == BW_SHIFT_ENTRIES_MAX)
			return false;
		shift_entry = &entry->ledger.entries[entry->ledger.count++];
		shift_entry->at_ms = plan->clock_ms -
				     (int64_t)read_varint_(in, INT64_MAX / 2);
		shift_entry->amount =
			(uint32_t)read_varint_(in, UINT32_MAX / 16);
	}
	return !in->failed;
}

static bool unpack_sites_(struct bw_plan *plan, struct bw_plan_service *entry,
			  struct varint_reader *in)
{
	entry->site_begin = plan->site_count;
	entry->share_begin = plan->site_count * plan->region_count;
	while (in->size_bytes && !in->failed) {
		if (plan->site_count == 2 * BW_PLAN_SITES_MAX ||
		    entry->site_count == BW_PLAN_DOMAINS_MAX)
			return false;
		plan->sites[plan->site_count++] = (uint16_t)read_varint_(
			in, (uint64_t)plan->domain_count - 1);
		entry->site_count++;
	}
	return !in->failed && entry->site_count > 0 && plan->domain_count > 0;
}

static bool unpack_shares_(struct bw_plan *plan,
			   const struct bw_plan_service *entry,
			   struct varint_reader *in)
{
	uint16_t *row = plan->shares + entry->share_begin;
	uint32_t r, i, left;

	for (r = 0; r < plan->region_count; r++) {
		left = BW_PLAN_SHARE_TOTAL;
		for (i = 0; i + 1 < entry->site_count && !in->failed; i++) {
			row[i] = (uint16_t)read_varint_(in, left);
			left -= row[i];
		}
		row[entry->site_count - 1] = (uint16_t)left;
		row += entry->site_count;
	}
	return !in->failed && !in->size_bytes;
}

static bool unpack_weights_(struct bw_plan *plan, uint32_t service,
			    struct varint_reader *in)
{
	uint32_t r;

	if (plan->services[service].site_count < 2)
		return !in->failed && !in->size_bytes;
	for (r = 0; r < plan->region_count; r++)
		plan->weights[service * plan->region_count + r] =
			(uint16_t)read_varint_(in, BW_PLAN_WEIGHT_TOTAL + 1);
	return !in->failed && !in->size_bytes;
}
