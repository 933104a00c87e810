#include "bwsteer/poison.h"

#include <assert.h>
#include <string.h>

#include <sodium.h>

#include "bwbase/codec.h"
#include "private/poison.h"

#define PACKET_VERSION 1
#define PACKET_TYPE_RECORDS 1
#define RECORD_FIELDS 5

static bool read_record_(struct bw_reader *reader, struct bw_time now,
			 struct bw_fingerprint *fingerprint,
			 struct bw_poison_part *crash);

enum bw_status bw_poison_encode(const struct bw_poison *poison,
				struct bw_time now, uint32_t *cursor,
				uint32_t fingerprints_max,
				struct bw_buffer *out)
{
	const struct bw_poison_entry *entry;
	const struct bw_poison_part *crash;
	struct bw_writer writer;
	uint32_t records = 0;
	uint32_t first = *cursor;
	uint32_t last = first;
	uint32_t found = 0;
	uint32_t i;
	uint32_t k;

	assert(fingerprints_max > 0);
	for (;
	     last < poison->config.fingerprints_max && found < fingerprints_max;
	     last++) {
		if (!poison->entries[last].used)
			continue;
		found++;
		records += poison->entries[last].crashes_count;
	}
	bw_writer_init(&writer, out);
	bw_write_array(&writer, 3);
	bw_write_uint(&writer, PACKET_VERSION);
	bw_write_uint(&writer, PACKET_TYPE_RECORDS);
	bw_write_array(&writer, records);
	for (i = first; i < last; i++) {
		entry = &poison->entries[i];
		for (k = 0; entry->used && k < entry->crashes_count; k++) {
			crash = &entry->crashes[k];
			bw_write_array(&writer, RECORD_FIELDS);
			bw_write_bin(&writer, entry->fingerprint.bytes,
				     BW_FINGERPRINT_BYTES);
			bw_write_uint(&writer, crash->incarnation);
			bw_write_uint(&writer, crash->weight);
			bw_write_str(&writer, crash->host);
			bw_write_int(&writer, bw_time_diff_ms(now, crash->at));
		}
	}
	*cursor = last < poison->config.fingerprints_max ? last : 0;
	return writer.status;
}

enum bw_status bw_poison_decode(struct bw_poison *poison, const void *data,
				size_t size_bytes, struct bw_time now)
{
	struct bw_fingerprint fingerprint;
	struct bw_reader reader;
	struct bw_poison_part crash;
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
		if (!read_record_(&reader, now, &fingerprint, &crash))
			break;
		if (bw_time_diff_ms(now, crash.at) >= poison->config.expiry_ms)
			continue;
		bw_poison_add_part(poison, &fingerprint, &crash, now);
		bw_poison_scale(poison, crash.incarnation);
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
			 struct bw_poison_part *crash)
{
	const uint8_t *bytes;
	size_t size_bytes;
	uint64_t weight;
	int64_t age_ms;

	memset(crash, 0, sizeof(*crash));
	bw_read_array(reader);
	bytes = bw_read_bin(reader, &size_bytes);
	crash->incarnation = bw_read_uint(reader);
	weight = bw_read_uint(reader);
	bw_read_name(reader, crash->host);
	age_ms = bw_read_int(reader);
	bw_read_end(reader);
	if (bw_reader_status(reader) != BW_OK ||
	    size_bytes != BW_FINGERPRINT_BYTES || weight > BW_POISON_CRASH ||
	    age_ms < 0) {
		reader->failed = true;
		return false;
	}
	memcpy(fingerprint->bytes, bytes, BW_FINGERPRINT_BYTES);
	crash->weight = (uint32_t)weight;
	crash->at = bw_time_add(now, -age_ms);
	return true;
}
