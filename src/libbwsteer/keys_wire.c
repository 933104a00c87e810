#include "private/keys_store.h"

#include <string.h>

/* Upper bound on the encoded size of a record without its response. */
#define RECORD_MAX_BYTES 96

static bool read_response_(struct bw_reader *reader,
			   struct bw_keys_response *response);

void bw_keys_write_header(struct bw_writer *writer, uint32_t extra_fields,
			  enum bw_keys_message type, uint64_t receiver,
			  const struct bw_keys_set *set)
{
	bw_write_array(writer, 5 + extra_fields);
	bw_write_uint(writer, BW_KEYS_WIRE_VERSION);
	bw_write_uint(writer, type);
	bw_write_uint(writer, receiver);
	bw_write_str(writer, set->host);
	bw_write_uint(writer, set->incarnation);
}

void bw_keys_write_record(struct bw_writer *writer,
			  const struct bw_keys_record *record)
{
	struct bw_keys_response response;

	bw_keys_record_get_response(record, &response);
	bw_write_array(writer, record->response ? 9 : 6);
	bw_write_uint(writer, record->kind);
	bw_write_bin(writer, record->id, sizeof(record->id));
	bw_write_uint(writer, record->version);
	bw_write_uint(writer, record->state);
	bw_write_bin(writer, record->digest, sizeof(record->digest));
	bw_write_int(writer, record->expiry_ms);
	if (!record->response)
		return;
	bw_write_uint(writer, response.status);
	bw_write_bin(writer, response.headers, response.headers_bytes);
	bw_write_bin(writer, response.body, response.body_bytes);
}

uint32_t bw_keys_wire_bytes(const struct bw_keys_record *record)
{
	return RECORD_MAX_BYTES + record->headers_bytes + record->body_bytes;
}

bool bw_keys_read_record(struct bw_reader *reader,
			 struct bw_keys_wire_record *wire)
{
	const uint8_t *id;
	size_t id_bytes = 0;
	size_t digest_bytes = 0;
	uint64_t kind;
	uint64_t state;

	memset(wire, 0, sizeof(*wire));
	wire->has_response = bw_read_array(reader) > 6;
	kind = bw_read_uint(reader);
	id = bw_read_bin(reader, &id_bytes);
	wire->version = bw_read_uint(reader);
	state = bw_read_uint(reader);
	wire->digest = bw_read_bin(reader, &digest_bytes);
	wire->key.expiry_ms = bw_keys_read_wall_ms(reader);
	if (wire->has_response && !read_response_(reader, &wire->response))
		return false;
	bw_read_end(reader);
	if (bw_reader_status(reader) != BW_OK || id_bytes != BW_KEYS_ID_BYTES ||
	    digest_bytes != BW_KEYS_ID_BYTES ||
	    (kind != BW_KEYS_MINTED && kind != BW_KEYS_BOUND) ||
	    state >= BW_KEYS_STATE_COUNT ||
	    (wire->has_response && state != BW_KEYS_DONE))
		return false;
	wire->key.kind = (enum bw_keys_kind)kind;
	memcpy(wire->key.id, id, BW_KEYS_ID_BYTES);
	wire->state = (uint8_t)state;
	return true;
}

int64_t bw_keys_read_wall_ms(struct bw_reader *reader)
{
	int64_t wall_ms = bw_read_int(reader);

	if (wall_ms < 0 || wall_ms >= BW_KEYS_WALL_END_MS) {
		reader->failed = true;
		return 0;
	}
	return wall_ms;
}

void bw_keys_record_update(struct bw_keys *keys, struct bw_keys_record *record,
			   const struct bw_keys_wire_record *wire)
{
	bw_keys_record_drop_response(record);
	record->version = wire->version;
	record->state = wire->state;
	memcpy(record->digest, wire->digest, sizeof(record->digest));
	if (wire->key.expiry_ms > record->expiry_ms)
		record->expiry_ms = wire->key.expiry_ms;
	bw_keys_record_enqueue(record, record->state == BW_KEYS_NEW
					       ? &record->set->pool->released
					       : NULL);
	if (wire->has_response)
		bw_keys_record_store_response(keys, record, &wire->response);
}

enum bw_status bw_keys_send(struct bw_keys *keys, const char *peer,
			    const struct bw_writer *writer,
			    struct bw_outbox *out)
{
	enum bw_status status = writer->status;

	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_KEYS,
				       writer->out->data,
				       writer->out->size_bytes);
	if (status == BW_OK)
		keys->counts.bytes_sent += writer->out->size_bytes;
	return status;
}

static bool read_response_(struct bw_reader *reader,
			   struct bw_keys_response *response)
{
	uint64_t status = bw_read_uint(reader);
	size_t headers_bytes = 0;
	size_t body_bytes = 0;

	response->headers = bw_read_bin(reader, &headers_bytes);
	response->body = bw_read_bin(reader, &body_bytes);
	if (bw_reader_status(reader) != BW_OK || status > UINT16_MAX ||
	    headers_bytes > BW_KEYS_HEADERS_MAX_BYTES ||
	    body_bytes > BW_KEYS_BODY_MAX_BYTES)
		return false;
	response->status = (uint16_t)status;
	response->headers_bytes = (uint32_t)headers_bytes;
	response->body_bytes = (uint32_t)body_bytes;
	return true;
}
