#include "bwsteer/poison.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

#include "bwbase/codec.h"
#include "private/poison.h"

#define PACKET_VERSION 1
#define PACKET_TYPE_RECORDS 1
#define RECORD_FIELDS 5

static void begin_packet_(struct bw_writer *writer, struct bw_buffer *out,
			  uint32_t record_count);
static void write_entry_(struct bw_writer *writer,
			 const struct bw_poison_entry *entry,
			 struct bw_time now);
static const struct bw_poison_entry *
next_heaviest_(const struct bw_poison *poison, struct bw_time now,
	       const struct bw_poison_entry *after);
static bool sorts_after_(const struct bw_poison *poison, struct bw_time now,
			 const struct bw_poison_entry *entry,
			 const struct bw_poison_entry *other);
static bool read_record_(struct bw_reader *reader, struct bw_time now,
			 struct bw_fingerprint *fingerprint,
			 struct bw_poison_share *share);

enum bw_status bw_poison_encode(const struct bw_poison *poison,
				struct bw_time now, uint32_t *cursor,
				uint32_t fingerprints_max,
				struct bw_buffer *out)
{
	struct bw_writer writer;
	uint32_t record_count = 0;
	uint32_t first = *cursor;
	uint32_t end = first;
	uint32_t fingerprint_count = 0;
	uint32_t i;

	assert(fingerprints_max > 0);
	for (; end < poison->config.fingerprints_max &&
	       fingerprint_count < fingerprints_max;
	     end++) {
		if (!poison->entries[end].used)
			continue;
		fingerprint_count++;
		record_count += poison->entries[end].crashes_count;
	}
	begin_packet_(&writer, out, record_count);
	for (i = first; i < end; i++) {
		if (poison->entries[i].used)
			write_entry_(&writer, &poison->entries[i], now);
	}
	*cursor = end < poison->config.fingerprints_max ? end : 0;
	return writer.status;
}

enum bw_status bw_poison_encode_heaviest(const struct bw_poison *poison,
					 struct bw_time now,
					 uint32_t weight_min,
					 uint32_t fingerprints_max,
					 struct bw_buffer *out, uint32_t *count)
{
	const struct bw_poison_entry *entry;
	const struct bw_poison_entry *last = NULL;
	struct bw_writer writer;
	uint32_t record_count = 0;

	assert(fingerprints_max > 0);
	*count = 0;
	entry = next_heaviest_(poison, now, NULL);
	while (entry && *count < fingerprints_max &&
	       bw_poison_entry_weight(poison, entry, now) >= weight_min) {
		(*count)++;
		record_count += entry->crashes_count;
		last = entry;
		entry = next_heaviest_(poison, now, entry);
	}
	begin_packet_(&writer, out, record_count);
	for (entry = NULL; entry != last;) {
		entry = next_heaviest_(poison, now, entry);
		write_entry_(&writer, entry, now);
	}
	return writer.status;
}

static void begin_packet_(struct bw_writer *writer, struct bw_buffer *out,
			  uint32_t record_count)
{
	bw_writer_init(writer, out);
	bw_write_array(writer, 3);
	bw_write_uint(writer, PACKET_VERSION);
	bw_write_uint(writer, PACKET_TYPE_RECORDS);
	bw_write_array(writer, record_count);
}

static void write_entry_(struct bw_writer *writer,
			 const struct bw_poison_entry *entry,
			 struct bw_time now)
{
	const struct bw_poison_share *share;
	uint32_t i;

	for (i = 0; i < entry->crashes_count; i++) {
		share = &entry->crashes[i];
		bw_write_array(writer, RECORD_FIELDS);
		bw_write_bin(writer, entry->fingerprint.bytes,
			     BW_FINGERPRINT_BYTES);
		bw_write_uint(writer, share->incarnation);
		bw_write_uint(writer, share->weight);
		bw_write_str(writer, share->host);
		bw_write_int(writer, bw_time_diff_ms(now, share->at));
	}
}

/* Returns the entry that follows "after" by descending weight, or the one of
 * greatest weight if "after" is NULL. */
static const struct bw_poison_entry *
next_heaviest_(const struct bw_poison *poison, struct bw_time now,
	       const struct bw_poison_entry *after)
{
	const struct bw_poison_entry *best = NULL;
	uint32_t i;

	for (i = 0; i < poison->config.fingerprints_max; i++) {
		const struct bw_poison_entry *entry = &poison->entries[i];

		if (!entry->used ||
		    (after && !sorts_after_(poison, now, entry, after)))
			continue;
		if (!best || sorts_after_(poison, now, best, entry))
			best = entry;
	}
	return best;
}

/* Sorts by descending weight, then by position. */
static bool sorts_after_(const struct bw_poison *poison, struct bw_time now,
			 const struct bw_poison_entry *entry,
			 const struct bw_poison_entry *other)
{
	uint32_t weight = bw_poison_entry_weight(poison, entry, now);
	uint32_t other_weight = bw_poison_entry_weight(poison, other, now);

	if (weight != other_weight)
		return weight < other_weight;
	return entry > other;
}

enum bw_status bw_poison_decode(struct bw_poison *poison, const void *data,
				size_t size_bytes, struct bw_time now)
{
	struct bw_fingerprint fingerprint;
	struct bw_reader reader;
	struct bw_poison_share share;
	enum bw_status status = bw_reader_init(&reader, data, size_bytes);

	if (status != BW_OK)
		goto out;
	bw_read_array(&reader);
	if (bw_read_uint(&reader) != PACKET_VERSION ||
	    bw_read_uint(&reader) != PACKET_TYPE_RECORDS) {
		status = BW_EVERSION;
		goto out;
	}
	bw_read_array(&reader);
	while (bw_read_more(&reader)) {
		if (!read_record_(&reader, now, &fingerprint, &share))
			break;
		if (bw_time_diff_ms(now, share.at) >= poison->config.expiry_ms)
			continue;
		bw_poison_add_share(poison, &fingerprint, &share, now);
		bw_poison_scale_crash(poison, share.incarnation);
	}
	status = bw_reader_status(&reader);
out:
	bw_reader_finish(&reader);
	return status;
}

enum bw_status bw_poison_dump(const struct bw_poison *poison,
			      struct bw_time now, json_t *into)
{
	char hex[BW_FINGERPRINT_BYTES * 2 + 1];
	const struct bw_poison_entry *entry;
	json_t *list = json_array();
	uint32_t i;

	if (!list)
		return BW_ENOMEM;
	for (i = 0; i < poison->config.fingerprints_max; i++) {
		entry = &poison->entries[i];
		if (!entry->used)
			continue;
		sodium_bin2hex(hex, sizeof(hex), entry->fingerprint.bytes,
			       BW_FINGERPRINT_BYTES);
		if (json_array_append_new(
			    list, json_pack("{s:s,s:I,s:I}", "fingerprint", hex,
					    "weight",
					    (json_int_t)bw_poison_entry_weight(
						    poison, entry, now),
					    "crashes",
					    (json_int_t)entry->crashes_count)))
			goto fail;
	}
	if (json_object_set_new(
		    into, "crashes",
		    json_integer((json_int_t)poison->crash_count)) ||
	    json_object_set_new(
		    into, "rejected",
		    json_integer((json_int_t)poison->rejected_count)) ||
	    json_object_set_new(into, "suspects",
				json_integer(poison->suspects_count)))
		goto fail;
	return json_object_set_new(into, "fingerprints", list) ? BW_ENOMEM
							       : BW_OK;
fail:
	json_decref(list);
	return BW_ENOMEM;
}

static bool read_record_(struct bw_reader *reader, struct bw_time now,
			 struct bw_fingerprint *fingerprint,
			 struct bw_poison_share *share)
{
	const uint8_t *bytes;
	size_t size_bytes;
	uint64_t weight;
	int64_t age_ms;

	memset(share, 0, sizeof(*share));
	bw_read_array(reader);
	bytes = bw_read_bin(reader, &size_bytes);
	share->incarnation = bw_read_uint(reader);
	weight = bw_read_uint(reader);
	bw_read_name(reader, share->host);
	age_ms = bw_read_int(reader);
	bw_read_end(reader);
	if (bw_reader_status(reader) != BW_OK ||
	    size_bytes != BW_FINGERPRINT_BYTES ||
	    weight > BW_POISON_CRASH_WEIGHT || age_ms < 0) {
		reader->failed = true;
		return false;
	}
	memcpy(fingerprint->bytes, bytes, BW_FINGERPRINT_BYTES);
	share->weight = (uint32_t)weight;
	share->at = bw_time_add(now, -age_ms);
	return true;
}
