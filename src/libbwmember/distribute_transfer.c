#include "private/distribute.h"

#include <stdlib.h>
#include <string.h>

#include "private/delta.h"

/** Unanswered requests to one host before another source is chosen. */
#define REQUEST_TRIES_MAX 3

/** Time without requests to a host after timeouts or wrong content, in ms. */
#define PEER_BACKOFF_MS 5000

static enum bw_status send_packet_(struct bw_buffer *body,
				   struct bw_writer *writer, const char *peer,
				   struct bw_outbox *out);
static void begin_packet_(struct bw_writer *writer, struct bw_buffer *body,
			  uint32_t field_count, enum distribute_type type,
			  enum bw_document document);
static bool prepare_delta_(struct bw_distribute_document *state,
			   struct distribute_content *base);
static enum bw_status send_delta_(struct bw_distribute *distribute,
				  enum bw_document document,
				  struct distribute_content *base,
				  const char *peer, struct bw_outbox *out);
static enum bw_status send_full_(struct bw_distribute *distribute,
				 enum bw_document document,
				 const struct distribute_content *content,
				 uint32_t offset, const char *peer,
				 struct bw_outbox *out);
static enum bw_status send_request_(struct bw_distribute *distribute,
				    enum bw_document document,
				    struct bw_time now, struct bw_outbox *out);
static enum bw_status fetch_document_(struct bw_distribute *distribute,
				      enum bw_document document,
				      struct bw_time now,
				      struct bw_outbox *out);
static uint32_t next_request_(const struct bw_distribute *distribute);
static enum bw_status
serve_request_(struct bw_distribute *distribute,
	       const struct bw_distribute_request *request, struct bw_time now,
	       struct bw_outbox *out);
static void receive_request_(struct bw_distribute *distribute, const char *peer,
			     enum bw_document document,
			     struct bw_reader *reader, struct bw_time now);
static enum bw_status receive_full_(struct bw_distribute *distribute,
				    const char *peer, enum bw_document document,
				    struct bw_reader *reader,
				    struct bw_time now, struct bw_outbox *out);
static enum bw_status receive_delta_(struct bw_distribute *distribute,
				     const char *peer,
				     enum bw_document document,
				     struct bw_reader *reader,
				     struct bw_time now);
static enum bw_status receive_piece_(struct bw_distribute *distribute,
				     const char *peer,
				     enum bw_document document,
				     struct bw_reader *reader,
				     struct bw_time now, struct bw_outbox *out);
static bool verify_and_install_(struct bw_distribute *distribute,
				enum bw_document document,
				const struct distribute_version *version,
				struct bw_buffer *content, const char *peer,
				struct bw_time now);

enum bw_status distribute_push(struct bw_distribute *distribute,
			       enum bw_document document, const char *peer,
			       struct bw_time now, struct bw_outbox *out)
{
	struct bw_distribute_document *state = &distribute->documents[document];
	struct bw_distribute_peer *known = distribute_peer(distribute, peer);
	struct distribute_content *base;
	enum bw_status status;

	if (known->versions[document].number >= state->current.version.number)
		return BW_OK;
	base = distribute_find_content(state, known->versions[document].number);
	if (!base || distribute->tokens <= 0 ||
	    !distribute_same_version(&base->version,
				     &known->versions[document]) ||
	    !prepare_delta_(state, base))
		return distribute_send_digest(distribute, peer, now, out);
	status = send_delta_(distribute, document, base, peer, out);
	/* The next delta is based on this one; if it is lost, the receiver
	 * requests the document. */
	known->versions[document] = state->current.version;
	return status;
}

enum bw_status bw_distribute_request(struct bw_distribute *distribute,
				     enum bw_document document,
				     const char *peer, struct bw_time now,
				     struct bw_outbox *out)
{
	struct distribute_fetch *fetch = &distribute->documents[document].fetch;

	fetch->active = true;
	bw_name_set(fetch->peer, peer);
	return send_request_(distribute, document, now, out);
}

enum bw_status distribute_fetch(struct bw_distribute *distribute,
				struct bw_time now, struct bw_outbox *out)
{
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < BW_DOCUMENT_COUNT && status == BW_OK; i++)
		status = fetch_document_(distribute, (enum bw_document)i, now,
					 out);
	return status;
}

enum bw_status distribute_serve(struct bw_distribute *distribute,
				struct bw_time now, struct bw_outbox *out)
{
	struct bw_distribute_request request;
	enum bw_status status = BW_OK;
	uint32_t next;

	while (distribute->request_count && distribute->tokens > 0 &&
	       status == BW_OK) {
		next = next_request_(distribute);
		request = distribute->requests[next];
		distribute->request_count--;
		memmove(distribute->requests + next,
			distribute->requests + next + 1,
			(distribute->request_count - next) *
				sizeof(*distribute->requests));
		status = serve_request_(distribute, &request, now, out);
	}
	return status;
}

/*
 * Requests of hosts with an earlier version come first, as they mostly need
 * only a delta; then the copy with the highest offset, so that its receiver
 * can soon serve others. Served in turns, all copies would complete at the
 * same late time.
 */
static uint32_t next_request_(const struct bw_distribute *distribute)
{
	const struct bw_distribute_request *request;
	uint32_t best = 0;
	uint32_t rank;
	uint32_t best_rank = 0;
	uint32_t i;

	for (i = 0; i < distribute->request_count; i++) {
		request = &distribute->requests[i];
		rank = request->base.number && !request->offset
			       ? UINT32_MAX
			       : request->offset + request->piece_offset;
		if (rank > best_rank) {
			best = i;
			best_rank = rank;
		}
	}
	return best;
}

enum bw_status distribute_receive_transfer(struct bw_distribute *distribute,
					   enum distribute_type type,
					   const char *peer,
					   struct bw_reader *reader,
					   struct bw_time now,
					   struct bw_outbox *out)
{
	uint64_t document = bw_read_uint(reader);

	if (reader->failed || document >= BW_DOCUMENT_COUNT)
		return BW_EINVAL;
	switch (type) {
	case DISTRIBUTE_REQUEST:
		receive_request_(distribute, peer, (enum bw_document)document,
				 reader, now);
		return distribute_serve(distribute, now, out);
	case DISTRIBUTE_FULL:
		return receive_full_(distribute, peer,
				     (enum bw_document)document, reader, now,
				     out);
	case DISTRIBUTE_PIECE:
		return receive_piece_(distribute, peer,
				      (enum bw_document)document, reader, now,
				      out);
	default:
		return receive_delta_(distribute, peer,
				      (enum bw_document)document, reader, now);
	}
}

static enum bw_status send_packet_(struct bw_buffer *body,
				   struct bw_writer *writer, const char *peer,
				   struct bw_outbox *out)
{
	enum bw_status status = writer->status;

	if (status == BW_OK)
		status = bw_outbox_add(out, peer, BW_CHANNEL_DISTRIBUTE,
				       body->data, body->size_bytes);
	bw_buffer_finish(body);
	return status;
}

static void begin_packet_(struct bw_writer *writer, struct bw_buffer *body,
			  uint32_t field_count, enum distribute_type type,
			  enum bw_document document)
{
	bw_buffer_init(body);
	bw_writer_init(writer, body);
	bw_write_array(writer, field_count);
	bw_write_uint(writer, DISTRIBUTE_WIRE_VERSION);
	bw_write_uint(writer, type);
	bw_write_uint(writer, document);
}

static bool prepare_delta_(struct bw_distribute_document *state,
			   struct distribute_content *base)
{
	size_t limit = state->current.size_bytes;

	if (base == &state->current)
		return false;
	if (limit > BW_DOCUMENT_CHUNK_MAX_BYTES)
		limit = BW_DOCUMENT_CHUNK_MAX_BYTES;
	if (!base->delta_tried) {
		base->delta_tried = true;
		base->delta_unusable =
			delta_encode(base->bytes, base->size_bytes,
				     state->current.bytes,
				     state->current.size_bytes, limit,
				     &base->delta) != BW_OK ||
			base->delta.size_bytes > limit;
	}
	return !base->delta_unusable;
}

static enum bw_status send_delta_(struct bw_distribute *distribute,
				  enum bw_document document,
				  struct distribute_content *base,
				  const char *peer, struct bw_outbox *out)
{
	const struct distribute_content *current =
		&distribute->documents[document].current;
	struct bw_writer writer;
	struct bw_buffer body;

	begin_packet_(&writer, &body, 7, DISTRIBUTE_DELTA, document);
	distribute_write_version(&writer, &current->version);
	distribute_write_version(&writer, &base->version);
	bw_write_uint(&writer, current->size_bytes);
	bw_write_bin(&writer, base->delta.data, base->delta.size_bytes);
	distribute->tokens -= (int64_t)body.size_bytes;
	distribute->stats.delta_sent_count++;
	return send_packet_(&body, &writer, peer, out);
}

static enum bw_status send_full_(struct bw_distribute *distribute,
				 enum bw_document document,
				 const struct distribute_content *content,
				 uint32_t offset, const char *peer,
				 struct bw_outbox *out)
{
	uint32_t size = content->size_bytes - offset;
	struct bw_writer writer;
	struct bw_buffer body;

	if (size > BW_DOCUMENT_CHUNK_MAX_BYTES)
		size = BW_DOCUMENT_CHUNK_MAX_BYTES;
	begin_packet_(&writer, &body, 7, DISTRIBUTE_FULL, document);
	distribute_write_version(&writer, &content->version);
	bw_write_uint(&writer, content->size_bytes);
	bw_write_uint(&writer, offset);
	bw_write_bin(&writer, content->bytes + offset, size);
	distribute->tokens -= (int64_t)body.size_bytes;
	return send_packet_(&body, &writer, peer, out);
}

static enum bw_status send_request_(struct bw_distribute *distribute,
				    enum bw_document document,
				    struct bw_time now, struct bw_outbox *out)
{
	static const struct distribute_version none;
	struct bw_distribute_document *state = &distribute->documents[document];
	struct bw_writer writer;
	struct bw_buffer body;

	state->fetch.asked = true;
	state->fetch.asked_at = now;
	state->fetch.deadline =
		bw_time_add(now, distribute->config.request_timeout_ms);
	distribute->stats.request_sent_count++;
	begin_packet_(&writer, &body, 9, DISTRIBUTE_REQUEST, document);
	bw_write_uint(&writer, state->fetch.target.number);
	/* After a timeout a full copy is requested, in case deltas fail. */
	distribute_write_version(&writer,
				 state->fetch.tries || state->fetch.whole_copy
					 ? &none
					 : &state->current.version);
	bw_write_uint(&writer, state->fetch.received.size_bytes);
	distribute_write_encoding_id(&writer, &state->fetch.encoding.id);
	bw_write_uint(&writer, state->fetch.encoding.packed.size_bytes);
	bw_write_uint(&writer, distribute->config.piece_bytes);
	return send_packet_(&body, &writer, state->fetch.peer, out);
}

static enum bw_status fetch_document_(struct bw_distribute *distribute,
				      enum bw_document document,
				      struct bw_time now, struct bw_outbox *out)
{
	struct distribute_fetch *fetch = &distribute->documents[document].fetch;
	struct bw_distribute_peer *source;

	if (fetch->active && !fetch->asked)
		return bw_time_reached(now, fetch->next_request)
			       ? send_request_(distribute, document, now, out)
			       : BW_OK;
	if (!distribute->config.member ||
	    (fetch->active && !bw_time_reached(now, fetch->deadline)))
		return BW_OK;
	if (fetch->active) {
		distribute->stats.request_timeout_count++;
		source = distribute_peer(distribute, fetch->peer);
		if (++fetch->tries >= REQUEST_TRIES_MAX)
			source->backoff_until =
				bw_time_add(now, PEER_BACKOFF_MS);
		else if (distribute_same_version(&source->versions[document],
						 &fetch->target))
			return send_request_(distribute, document, now, out);
	}
	source = distribute_choose_source(distribute, document, now);
	fetch->active = source != NULL;
	if (!source)
		return BW_OK;
	/* A partial copy is kept if the new source has the same version. */
	if (!distribute_same_version(&fetch->target,
				     &source->versions[document]))
		bw_buffer_finish(&fetch->received);
	fetch->target = source->versions[document];
	fetch->tries = 0;
	memcpy(fetch->peer, source->name, BW_NAME_MAX);
	return send_request_(distribute, document, now, out);
}

static enum bw_status
serve_request_(struct bw_distribute *distribute,
	       const struct bw_distribute_request *request, struct bw_time now,
	       struct bw_outbox *out)
{
	struct bw_distribute_document *state =
		&distribute->documents[request->document];
	struct distribute_content *content =
		distribute_find_content(state, request->target_number);
	struct distribute_content *base =
		distribute_find_content(state, request->base.number);

	if (request->pieces)
		return distribute_send_piece(distribute, request, now, out);
	if (base && base != &state->current && !request->offset &&
	    distribute_same_version(&base->version, &request->base) &&
	    prepare_delta_(state, base))
		return send_delta_(distribute, request->document, base,
				   request->peer, out);
	if (!content || request->offset > content->size_bytes)
		return distribute_send_digest(distribute, request->peer, now,
					      out);
	return send_full_(distribute, request->document, content,
			  request->offset, request->peer, out);
}

static void receive_request_(struct bw_distribute *distribute, const char *peer,
			     enum bw_document document,
			     struct bw_reader *reader, struct bw_time now)
{
	struct bw_distribute_request request = { .document = document };
	struct bw_distribute_peer *known;
	uint32_t i;

	bw_name_set(request.peer, peer);
	request.target_number = bw_read_uint(reader);
	distribute_read_version(reader, &request.base);
	request.offset = (uint32_t)bw_read_uint(reader);
	/* Hosts of earlier versions take no pieces. */
	request.pieces = bw_read_more(reader);
	if (request.pieces) {
		distribute_read_encoding_id(reader, &request.encoding);
		request.piece_offset = (uint32_t)bw_read_uint(reader);
		request.piece_bytes = (uint32_t)bw_read_uint(reader);
	}
	if (request.piece_bytes > BW_DOCUMENT_CHUNK_MAX_BYTES)
		request.piece_bytes = BW_DOCUMENT_CHUNK_MAX_BYTES;
	if (reader->failed || distribute->config.receives_only ||
	    (request.pieces && !request.piece_bytes))
		return;
	known = distribute_peer(distribute, peer);
	known->versions[document] = request.base;
	known->seen = now;
	for (i = 0; i < distribute->request_count; i++) {
		if (distribute->requests[i].document == document &&
		    !strcmp(distribute->requests[i].peer, peer))
			break;
	}
	if (i == DISTRIBUTE_REQUESTS_MAX)
		return;
	distribute->requests[i] = request;
	if (i == distribute->request_count)
		distribute->request_count++;
}

static enum bw_status receive_full_(struct bw_distribute *distribute,
				    const char *peer, enum bw_document document,
				    struct bw_reader *reader,
				    struct bw_time now, struct bw_outbox *out)
{
	struct bw_distribute_document *state = &distribute->documents[document];
	struct distribute_fetch *fetch = &state->fetch;
	struct distribute_version version;
	const uint8_t *chunk;
	size_t chunk_bytes;
	uint64_t total_bytes;
	uint64_t offset;
	enum bw_status status;

	distribute_read_version(reader, &version);
	total_bytes = bw_read_uint(reader);
	offset = bw_read_uint(reader);
	chunk = bw_read_bin(reader, &chunk_bytes);
	if (reader->failed || total_bytes > BW_DOCUMENT_MAX_BYTES ||
	    chunk_bytes > BW_DOCUMENT_CHUNK_MAX_BYTES ||
	    offset + chunk_bytes > total_bytes ||
	    (!chunk_bytes && offset < total_bytes))
		return BW_EINVAL;
	if (version.number <= state->current.version.number ||
	    !distribute_same_version(&version, &fetch->target) ||
	    offset != fetch->received.size_bytes)
		return BW_OK;
	status = bw_buffer_append(&fetch->received, chunk, chunk_bytes);
	if (status != BW_OK)
		return status;
	/* A busy source may respond after the request has timed out. When such
	 * chunks were discarded, no host of a restarted domain could complete
	 * a large document. */
	fetch->active = true;
	bw_name_set(fetch->peer, peer);
	distribute_peer(distribute, peer)->backoff_until = now;
	fetch->tries = 0;
	if (fetch->received.size_bytes < total_bytes)
		return send_request_(distribute, document, now, out);
	fetch->active = false;
	if (verify_and_install_(distribute, document, &version,
				&fetch->received, peer, now))
		distribute->stats.full_applied_count++;
	bw_buffer_finish(&fetch->received);
	return BW_OK;
}

static enum bw_status receive_delta_(struct bw_distribute *distribute,
				     const char *peer,
				     enum bw_document document,
				     struct bw_reader *reader,
				     struct bw_time now)
{
	struct bw_distribute_document *state = &distribute->documents[document];
	struct bw_distribute_peer *known = distribute_peer(distribute, peer);
	struct distribute_version version;
	struct distribute_version base;
	struct bw_buffer content = { 0 };
	const uint8_t *delta;
	size_t delta_bytes;
	uint64_t total_bytes;

	distribute_read_version(reader, &version);
	distribute_read_version(reader, &base);
	total_bytes = bw_read_uint(reader);
	delta = bw_read_bin(reader, &delta_bytes);
	if (reader->failed || !version.number ||
	    total_bytes > BW_DOCUMENT_MAX_BYTES)
		return BW_EINVAL;
	known->seen = now;
	if (version.number > known->versions[document].number)
		known->versions[document] = version;
	if (version.number < state->current.version.number)
		distribute->stats.lower_refused_count++;
	distribute_check_conflict(distribute, document, &version, peer);
	if (version.number <= state->current.version.number ||
	    !distribute_same_version(&base, &state->current.version))
		return BW_OK;
	if (delta_apply(state->current.bytes, state->current.size_bytes, delta,
			delta_bytes, (uint32_t)total_bytes,
			&content) == BW_OK &&
	    verify_and_install_(distribute, document, &version, &content, peer,
				now))
		distribute->stats.delta_applied_count++;
	bw_buffer_finish(&content);
	return BW_OK;
}

static enum bw_status receive_piece_(struct bw_distribute *distribute,
				     const char *peer,
				     enum bw_document document,
				     struct bw_reader *reader,
				     struct bw_time now, struct bw_outbox *out)
{
	struct distribute_fetch *fetch = &distribute->documents[document].fetch;
	struct distribute_encoding_id id;
	struct bw_buffer content = { 0 };
	enum bw_status status;
	bool complete;

	status = distribute_receive_piece(distribute, document, reader,
					  &complete, &id, &content);
	if (status == BW_OK && complete &&
	    verify_and_install_(distribute, document, &id.target, &content,
				peer, now)) {
		fetch->whole_copy = false;
		if (id.base.number)
			distribute->stats.delta_applied_count++;
		else
			distribute->stats.full_applied_count++;
	} else if (complete) {
		fetch->whole_copy = true;
	}
	bw_buffer_finish(&content);
	if (status != BW_OK || !fetch->active || fetch->asked)
		return status;
	fetch->tries = 0;
	return fetch_document_(distribute, document, now, out);
}

static bool verify_and_install_(struct bw_distribute *distribute,
				enum bw_document document,
				const struct distribute_version *version,
				struct bw_buffer *content, const char *peer,
				struct bw_time now)
{
	struct distribute_version actual = { .number = version->number };
	uint8_t *bytes = content->data;
	uint32_t size = (uint32_t)content->size_bytes;

	distribute_hash(bytes, size, actual.hash);
	if (!distribute_same_version(&actual, version)) {
		distribute->stats.hash_mismatch_count++;
		distribute_peer(distribute, peer)->backoff_until =
			bw_time_add(now, PEER_BACKOFF_MS);
		return false;
	}
	memset(content, 0, sizeof(*content));
	if (distribute_install(distribute, document, version, bytes, size,
			       peer) != BW_OK)
		return false;
	distribute_adopt_confirmation(distribute, now);
	return true;
}
