#include "private/distribute.h"

#include <string.h>

#include <zlib.h>

#include "private/delta.h"

/** A decoded PIECE packet. */
struct piece {
	struct distribute_encoding_id id;
	uint64_t target_bytes;
	uint64_t plain_bytes;
	uint64_t packed_bytes; /**< of the whole encoding */
	uint64_t offset; /**< in the encoding */
	const uint8_t *bytes;
	size_t size_bytes;
};

static const struct distribute_encoding *
choose_encoding_(struct bw_distribute *distribute,
		 const struct bw_distribute_request *request, uint32_t *offset);
static enum bw_status write_piece_(struct bw_buffer *body,
				   const struct bw_distribute_request *request,
				   const struct distribute_encoding *encoding,
				   uint32_t offset);
static bool read_piece_(struct bw_reader *reader, struct piece *piece);
static bool is_wanted_(const struct bw_distribute_document *state,
		       const struct piece *piece);
static void begin_transfer_(struct distribute_fetch *fetch,
			    const struct piece *piece);
static bool continues_(const struct distribute_fetch *fetch,
		       const struct piece *piece);
static void schedule_request_(const struct bw_distribute *distribute,
			      struct distribute_fetch *fetch,
			      size_t size_bytes);
static const struct distribute_encoding *
find_or_encode_(struct bw_distribute *distribute,
		struct bw_distribute_document *state,
		const struct distribute_encoding_id *id);
static bool same_encoding_(const struct distribute_encoding_id *a,
			   const struct distribute_encoding_id *b);
static enum bw_status encode_(const struct distribute_content *base,
			      const struct distribute_content *target,
			      struct distribute_encoding *encoding);
static enum bw_status pack_(const struct bw_buffer *plain,
			    struct bw_buffer *packed);
static enum bw_status unpack_(const struct bw_buffer *packed,
			      uint32_t plain_bytes, struct bw_buffer *plain);
static void make_room_(struct bw_distribute_document *state);
static void remove_encoding_(struct bw_distribute_document *state,
			     uint32_t index);
static enum bw_status decode_(const struct bw_distribute_document *state,
			      struct bw_buffer *content);

enum bw_status
distribute_send_piece(struct bw_distribute *distribute,
		      const struct bw_distribute_request *request,
		      struct bw_time now, struct bw_outbox *out)
{
	const struct distribute_encoding *encoding;
	uint32_t offset = request->piece_offset;
	struct bw_buffer body = { 0 };
	enum bw_status status;

	encoding = choose_encoding_(distribute, request, &offset);
	if (!encoding)
		return distribute_send_digest(distribute, request->peer, now,
					      out);
	status = write_piece_(&body, request, encoding, offset);
	distribute->tokens -= (int64_t)body.size_bytes;
	if (status == BW_OK)
		status = bw_outbox_add(out, request->peer,
				       BW_CHANNEL_DISTRIBUTE, body.data,
				       body.size_bytes);
	bw_buffer_finish(&body);
	return status;
}

enum bw_status distribute_receive_piece(struct bw_distribute *distribute,
					enum bw_document document,
					struct bw_reader *reader,
					bool *complete,
					struct distribute_encoding_id *id,
					struct bw_buffer *content)
{
	struct bw_distribute_document *state = &distribute->documents[document];
	struct distribute_fetch *fetch = &state->fetch;
	struct piece piece;
	enum bw_status status;

	*complete = false;
	if (!read_piece_(reader, &piece))
		return BW_EINVAL;
	*id = piece.id;
	distribute->stats.piece_received_count++;
	distribute->stats.piece_received_bytes += piece.size_bytes;
	if (!is_wanted_(state, &piece))
		return BW_OK;
	fetch->active = true;
	if (!piece.offset && !same_encoding_(&piece.id, &fetch->encoding.id))
		begin_transfer_(fetch, &piece);
	if (!continues_(fetch, &piece))
		return BW_OK;
	status = bw_buffer_append(&fetch->encoding.packed, piece.bytes,
				  piece.size_bytes);
	if (status != BW_OK)
		return status;
	schedule_request_(distribute, fetch, piece.size_bytes);
	if (fetch->encoding.packed.size_bytes < fetch->packed_bytes)
		return BW_OK;
	status = decode_(state, content);
	distribute_clear_fetch(fetch);
	*complete = status == BW_OK;
	if (status == BW_EINVAL) {
		fetch->whole_copy = true;
		distribute->stats.difference_misfit_count++;
		status = BW_OK;
	}
	return status;
}

void distribute_clear_fetch(struct distribute_fetch *fetch)
{
	bw_buffer_finish(&fetch->encoding.packed);
	memset(&fetch->encoding, 0, sizeof(fetch->encoding));
	fetch->packed_bytes = 0;
}

void distribute_clear_encodings(struct bw_distribute_document *document)
{
	while (document->encoding_count)
		remove_encoding_(document, document->encoding_count - 1);
}

void distribute_write_encoding_id(struct bw_writer *writer,
				  const struct distribute_encoding_id *id)
{
	bw_write_array(writer, 2);
	distribute_write_version(writer, &id->target);
	distribute_write_version(writer, &id->base);
}

void distribute_read_encoding_id(struct bw_reader *reader,
				 struct distribute_encoding_id *id)
{
	bw_read_array(reader);
	distribute_read_version(reader, &id->target);
	distribute_read_version(reader, &id->base);
	bw_read_end(reader);
}

/*
 * Goes on with the encoding that the receiver has a part of, if possible.
 * Otherwise the newest version begins, as a difference or whole.
 */
static const struct distribute_encoding *
choose_encoding_(struct bw_distribute *distribute,
		 const struct bw_distribute_request *request, uint32_t *offset)
{
	struct bw_distribute_document *state =
		&distribute->documents[request->document];
	struct distribute_encoding_id newest = {
		.target = state->current.version,
		.base = request->base,
	};
	const struct distribute_encoding *encoding = NULL;

	if (*offset)
		encoding =
			find_or_encode_(distribute, state, &request->encoding);
	if (encoding && *offset < encoding->packed.size_bytes)
		return encoding;
	*offset = 0;
	encoding = find_or_encode_(distribute, state, &newest);
	if (encoding || request->base.number >= newest.target.number)
		return encoding;
	memset(&newest.base, 0, sizeof(newest.base));
	return find_or_encode_(distribute, state, &newest);
}

static enum bw_status write_piece_(struct bw_buffer *body,
				   const struct bw_distribute_request *request,
				   const struct distribute_encoding *encoding,
				   uint32_t offset)
{
	uint32_t size = (uint32_t)encoding->packed.size_bytes - offset;
	struct bw_writer writer;

	if (size > request->piece_bytes)
		size = request->piece_bytes;
	bw_writer_init(&writer, body);
	bw_write_array(&writer, 9);
	bw_write_uint(&writer, DISTRIBUTE_WIRE_VERSION);
	bw_write_uint(&writer, DISTRIBUTE_PIECE);
	bw_write_uint(&writer, request->document);
	distribute_write_encoding_id(&writer, &encoding->id);
	bw_write_uint(&writer, encoding->target_bytes);
	bw_write_uint(&writer, encoding->plain_bytes);
	bw_write_uint(&writer, encoding->packed.size_bytes);
	bw_write_uint(&writer, offset);
	bw_write_bin(&writer, encoding->packed.data + offset, size);
	return writer.status;
}

static bool read_piece_(struct bw_reader *reader, struct piece *piece)
{
	distribute_read_encoding_id(reader, &piece->id);
	piece->target_bytes = bw_read_uint(reader);
	piece->plain_bytes = bw_read_uint(reader);
	piece->packed_bytes = bw_read_uint(reader);
	piece->offset = bw_read_uint(reader);
	piece->bytes = bw_read_bin(reader, &piece->size_bytes);
	return !reader->failed && piece->id.target.number &&
	       piece->size_bytes &&
	       piece->target_bytes <= BW_DOCUMENT_MAX_BYTES &&
	       piece->plain_bytes <= BW_DOCUMENT_MAX_BYTES &&
	       piece->packed_bytes <= 2 * BW_DOCUMENT_MAX_BYTES &&
	       piece->offset <= piece->packed_bytes &&
	       piece->size_bytes <= piece->packed_bytes - piece->offset;
}

/* A busy source may respond after the request has timed out. */
static bool is_wanted_(const struct bw_distribute_document *state,
		       const struct piece *piece)
{
	const struct distribute_fetch *fetch = &state->fetch;

	if (piece->id.target.number <= state->current.version.number)
		return false;
	return fetch->active ||
	       (fetch->target.number &&
		distribute_same_version(&piece->id.target, &fetch->target));
}

/* A transfer of a newer version replaces one that is not complete. */
static void begin_transfer_(struct distribute_fetch *fetch,
			    const struct piece *piece)
{
	if (piece->id.target.number < fetch->encoding.id.target.number)
		return;
	distribute_clear_fetch(fetch);
	fetch->encoding.id = piece->id;
	fetch->encoding.target_bytes = (uint32_t)piece->target_bytes;
	fetch->encoding.plain_bytes = (uint32_t)piece->plain_bytes;
	fetch->packed_bytes = (uint32_t)piece->packed_bytes;
}

static bool continues_(const struct distribute_fetch *fetch,
		       const struct piece *piece)
{
	return same_encoding_(&piece->id, &fetch->encoding.id) &&
	       piece->packed_bytes == fetch->packed_bytes &&
	       piece->offset == fetch->encoding.packed.size_bytes;
}

/* The next request keeps the limit of the rate. */
static void schedule_request_(const struct bw_distribute *distribute,
			      struct distribute_fetch *fetch, size_t size_bytes)
{
	uint32_t bytes_per_s = distribute->config.receive_bytes_per_s;

	fetch->asked = false;
	fetch->next_request = fetch->asked_at;
	if (bytes_per_s)
		fetch->next_request =
			bw_time_add(fetch->asked_at,
				    (int64_t)size_bytes * 1000 / bytes_per_s);
}

/* Returns NULL if a content is missing, or a difference would be larger than a
 * whole copy. */
static const struct distribute_encoding *
find_or_encode_(struct bw_distribute *distribute,
		struct bw_distribute_document *state,
		const struct distribute_encoding_id *id)
{
	struct distribute_content *base =
		distribute_find_content(state, id->base.number);
	struct distribute_content *target =
		distribute_find_content(state, id->target.number);
	struct distribute_encoding *encoding;
	uint32_t i;

	for (i = 0; i < state->encoding_count; i++) {
		encoding = &state->encodings[i];
		if (!same_encoding_(&encoding->id, id))
			continue;
		encoding->last_use = ++distribute->encoding_use;
		return encoding;
	}
	if (!target || !distribute_same_version(&target->version, &id->target))
		return NULL;
	if (id->base.number &&
	    (!base || base->version.number >= target->version.number ||
	     !distribute_same_version(&base->version, &id->base)))
		return NULL;
	make_room_(state);
	encoding = &state->encodings[state->encoding_count];
	memset(encoding, 0, sizeof(*encoding));
	encoding->id = *id;
	if (encode_(id->base.number ? base : NULL, target, encoding) != BW_OK) {
		bw_buffer_finish(&encoding->packed);
		return NULL;
	}
	encoding->last_use = ++distribute->encoding_use;
	state->encoding_count++;
	return encoding;
}

static bool same_encoding_(const struct distribute_encoding_id *a,
			   const struct distribute_encoding_id *b)
{
	return distribute_same_version(&a->target, &b->target) &&
	       distribute_same_version(&a->base, &b->base);
}

/* Encodes the difference to a base, or a whole copy without one. */
static enum bw_status encode_(const struct distribute_content *base,
			      const struct distribute_content *target,
			      struct distribute_encoding *encoding)
{
	struct bw_buffer plain = { 0 };
	enum bw_status status;

	if (base)
		status = delta_encode(base->bytes, base->size_bytes,
				      target->bytes, target->size_bytes,
				      target->size_bytes, &plain);
	else
		status = bw_buffer_append(&plain, target->bytes,
					  target->size_bytes);
	if (status == BW_OK && plain.size_bytes > BW_DOCUMENT_MAX_BYTES)
		status = BW_EFULL;
	if (status == BW_OK)
		status = pack_(&plain, &encoding->packed);
	encoding->target_bytes = target->size_bytes;
	encoding->plain_bytes = (uint32_t)plain.size_bytes;
	bw_buffer_finish(&plain);
	return status;
}

static enum bw_status pack_(const struct bw_buffer *plain,
			    struct bw_buffer *packed)
{
	uLongf size = compressBound(plain->size_bytes);
	enum bw_status status = bw_buffer_reserve(packed, size);

	if (status != BW_OK)
		return status;
	/* A control host has little processor time. */
	if (compress2(packed->data, &size, plain->data, plain->size_bytes,
		      Z_BEST_SPEED) != Z_OK)
		return BW_ENOMEM;
	packed->size_bytes = size;
	return BW_OK;
}

static enum bw_status unpack_(const struct bw_buffer *packed,
			      uint32_t plain_bytes, struct bw_buffer *plain)
{
	uLongf size = plain_bytes;
	enum bw_status status = bw_buffer_reserve(plain, plain_bytes + 1);
	int result;

	if (status != BW_OK)
		return status;
	result = uncompress(plain->data, &size, packed->data,
			    packed->size_bytes);
	if (result == Z_MEM_ERROR)
		return BW_ENOMEM;
	if (result != Z_OK || size != plain_bytes)
		return BW_EINVAL;
	plain->size_bytes = size;
	return BW_OK;
}

/* Removes the encodings that were not used for longest. */
static void make_room_(struct bw_distribute_document *state)
{
	size_t bytes = 0;
	uint32_t oldest;
	uint32_t i;

	for (i = 0; i < state->encoding_count; i++)
		bytes += state->encodings[i].packed.size_bytes;
	while (state->encoding_count &&
	       (state->encoding_count == DISTRIBUTE_ENCODINGS_MAX ||
		bytes > DISTRIBUTE_ENCODINGS_BYTES)) {
		oldest = 0;
		for (i = 1; i < state->encoding_count; i++) {
			if (state->encodings[i].last_use <
			    state->encodings[oldest].last_use)
				oldest = i;
		}
		bytes -= state->encodings[oldest].packed.size_bytes;
		remove_encoding_(state, oldest);
	}
}

static void remove_encoding_(struct bw_distribute_document *state,
			     uint32_t index)
{
	bw_buffer_finish(&state->encodings[index].packed);
	state->encodings[index] = state->encodings[--state->encoding_count];
	memset(&state->encodings[state->encoding_count], 0,
	       sizeof(state->encodings[0]));
}

/* Returns BW_EINVAL if the transfer doesn't fit the content in force. */
static enum bw_status decode_(const struct bw_distribute_document *state,
			      struct bw_buffer *content)
{
	const struct distribute_encoding *encoding = &state->fetch.encoding;
	const struct distribute_content *current = &state->current;
	struct bw_buffer plain = { 0 };
	enum bw_status status;

	status = unpack_(&encoding->packed, encoding->plain_bytes, &plain);
	if (status == BW_OK && !encoding->id.base.number) {
		*content = plain;
		return content->size_bytes == encoding->target_bytes
			       ? BW_OK
			       : BW_EINVAL;
	}
	if (status == BW_OK &&
	    !distribute_same_version(&encoding->id.base, &current->version))
		status = BW_EINVAL;
	if (status == BW_OK)
		status = delta_apply(current->bytes, current->size_bytes,
				     plain.data, plain.size_bytes,
				     encoding->target_bytes, content);
	bw_buffer_finish(&plain);
	return status;
}
