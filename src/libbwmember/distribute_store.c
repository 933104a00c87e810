#include "private/distribute.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include <sodium.h>

static void push_history_(const struct bw_distribute *distribute,
			  struct bw_distribute_document *document);
static void drop_delta_(struct distribute_content *content);
static bool confirmation_applies_(const struct bw_distribute *distribute,
				  const struct bw_distribute_peer *peer);
static bool is_credible_(const struct bw_distribute *distribute,
			 const struct bw_distribute_peer *peer,
			 enum bw_document document, struct bw_time now);
static bool is_fresh_(const struct bw_distribute_peer *peer,
		      struct bw_time now);

bool distribute_same_version(const struct distribute_version *a,
			     const struct distribute_version *b)
{
	return a->number == b->number &&
	       !memcmp(a->hash, b->hash, BW_DOCUMENT_HASH_BYTES);
}

void distribute_hash(const uint8_t *bytes, size_t size_bytes,
		     uint8_t hash[BW_DOCUMENT_HASH_BYTES])
{
	crypto_generichash_blake2b(hash, BW_DOCUMENT_HASH_BYTES, bytes,
				   size_bytes, NULL, 0);
}

void distribute_write_version(struct bw_writer *writer,
			      const struct distribute_version *version)
{
	bw_write_array(writer, 2);
	bw_write_uint(writer, version->number);
	bw_write_bin(writer, version->hash,
		     version->number ? BW_DOCUMENT_HASH_BYTES : 0);
}

void distribute_read_version(struct bw_reader *reader,
			     struct distribute_version *version)
{
	const uint8_t *hash;
	size_t size_bytes;

	memset(version, 0, sizeof(*version));
	bw_read_array(reader);
	version->number = bw_read_uint(reader);
	hash = bw_read_bin(reader, &size_bytes);
	bw_read_end(reader);
	if (size_bytes != (version->number ? BW_DOCUMENT_HASH_BYTES : 0))
		reader->failed = true;
	else if (size_bytes)
		memcpy(version->hash, hash, size_bytes);
}

struct bw_distribute_peer *distribute_peer(struct bw_distribute *distribute,
					   const char *name)
{
	struct bw_distribute_peer *peer;
	struct bw_distribute_peer *oldest = distribute->peers;
	uint32_t i;

	for (i = 0; i < distribute->peer_count; i++) {
		peer = &distribute->peers[i];
		if (!strcmp(peer->name, name))
			return peer;
		if (peer->seen.ms < oldest->seen.ms)
			oldest = peer;
	}
	peer = oldest;
	if (distribute->peer_count < DISTRIBUTE_PEERS_MAX)
		peer = &distribute->peers[distribute->peer_count++];
	memset(peer, 0, sizeof(*peer));
	bw_name_set(peer->name, name);
	peer->backoff_until = distribute->started;
	peer->seen =
		bw_time_add(distribute->started, -2 * DISTRIBUTE_PEER_FRESH_MS);
	return peer;
}

enum bw_status distribute_install(struct bw_distribute *distribute,
				  enum bw_document document,
				  const struct distribute_version *version,
				  uint8_t *bytes, uint32_t size_bytes,
				  const char *peer)
{
	struct bw_distribute_document *state = &distribute->documents[document];

	assert(version->number > 0);
	if (version->number < state->current.version.number) {
		distribute->stats.lower_refused_count++;
		free(bytes);
		return BW_ESTALE;
	}
	if (version->number == state->current.version.number) {
		free(bytes);
		distribute_check_conflict(distribute, document, version, peer);
		return distribute_same_version(version, &state->current.version)
			       ? BW_EEXIST
			       : BW_ECONFLICT;
	}
	push_history_(distribute, state);
	state->current.version = *version;
	state->current.bytes = bytes;
	state->current.size_bytes = size_bytes;
	state->push_pending = true;
	state->event_pending = true;
	bw_name_set(state->source, peer);
	if (state->fetch.target.number <= version->number) {
		state->fetch.active = false;
		bw_buffer_finish(&state->fetch.received);
	}
	if (state->fetch.encoding.id.target.number <= version->number)
		distribute_clear_fetch(&state->fetch);
	return BW_OK;
}

void distribute_check_conflict(struct bw_distribute *distribute,
			       enum bw_document document,
			       const struct distribute_version *version,
			       const char *peer)
{
	struct bw_distribute_document *state = &distribute->documents[document];

	if (!version->number ||
	    version->number != state->current.version.number ||
	    distribute_same_version(version, &state->current.version) ||
	    distribute_same_version(version, &state->conflict))
		return;
	distribute->stats.conflict_count++;
	state->conflict = *version;
	state->conflict_pending = true;
	bw_name_set(state->conflict_peer, peer);
}

struct distribute_content *
distribute_find_content(struct bw_distribute_document *document,
			uint64_t number)
{
	uint32_t i;

	if (!number)
		return NULL;
	if (document->current.version.number == number)
		return &document->current;
	for (i = 0; i < document->history_count; i++) {
		if (document->history[i].version.number == number)
			return &document->history[i];
	}
	return NULL;
}

void distribute_adopt_confirmation(struct bw_distribute *distribute,
				   struct bw_time now)
{
	const struct bw_distribute_peer *peer;
	uint32_t i;

	for (i = 0; i < distribute->peer_count; i++) {
		peer = &distribute->peers[i];
		if (!peer->has_confirmation ||
		    !confirmation_applies_(distribute, peer) ||
		    peer->confirmed.ms > now.ms)
			continue;
		if (distribute->has_confirmation &&
		    peer->confirmed.ms <= distribute->confirmed.ms)
			continue;
		distribute->has_confirmation = true;
		distribute->confirmed = peer->confirmed;
	}
}

struct bw_distribute_peer *
distribute_choose_source(struct bw_distribute *distribute,
			 enum bw_document document, struct bw_time now)
{
	const struct distribute_version *current =
		&distribute->documents[document].current.version;
	struct bw_distribute_peer *chosen = NULL;
	struct bw_distribute_peer *peer;
	uint64_t best_number = current->number;
	uint32_t same_count = 0;
	uint32_t i;

	for (i = 0; i < distribute->peer_count; i++) {
		peer = &distribute->peers[i];
		if (peer->versions[document].number <= current->number ||
		    peer->versions[document].number < best_number ||
		    !is_fresh_(peer, now) ||
		    !bw_time_reached(now, peer->backoff_until) ||
		    (!current->number &&
		     !is_credible_(distribute, peer, document, now)))
			continue;
		if (peer->versions[document].number > best_number)
			same_count = 0;
		best_number = peer->versions[document].number;
		if (!bw_random_below(&distribute->random, ++same_count))
			chosen = peer;
	}
	return chosen;
}

static void push_history_(const struct bw_distribute *distribute,
			  struct bw_distribute_document *document)
{
	struct distribute_content *oldest;
	size_t bytes = 0;
	uint32_t i;

	if (!document->current.version.number)
		return;
	if (distribute->config.receives_only) {
		free(document->current.bytes);
		return;
	}
	for (i = 0; i < document->history_count; i++)
		drop_delta_(&document->history[i]);
	if (document->history_count == DISTRIBUTE_HISTORY_MAX) {
		oldest = &document->history[--document->history_count];
		free(oldest->bytes);
	}
	memmove(document->history + 1, document->history,
		document->history_count * sizeof(*document->history));
	document->history[0] = document->current;
	document->history_count++;
	memset(&document->current, 0, sizeof(document->current));
	for (i = 1; i < document->history_count; i++)
		bytes += document->history[i].size_bytes;
	while (document->history_count > 1 &&
	       bytes > distribute->config.history_bytes) {
		oldest = &document->history[--document->history_count];
		bytes -= oldest->size_bytes;
		free(oldest->bytes);
	}
}

static void drop_delta_(struct distribute_content *content)
{
	bw_buffer_finish(&content->delta);
	content->delta_tried = false;
	content->delta_unusable = false;
}

/* A confirmation states that no higher numbers were committed at its time. It
 * applies to this host if its documents are the confirmed ones or newer. */
static bool confirmation_applies_(const struct bw_distribute *distribute,
				  const struct bw_distribute_peer *peer)
{
	const struct distribute_version *current;
	uint32_t i;

	for (i = 0; i < BW_DOCUMENT_COUNT; i++) {
		current = &distribute->documents[i].current.version;
		if (peer->confirmed_versions[i].number > current->number)
			return false;
		if (peer->confirmed_versions[i].number == current->number &&
		    current->number &&
		    !distribute_same_version(&peer->confirmed_versions[i],
					     current))
			return false;
	}
	return true;
}

/* Guards a restarted host against an outdated first copy: it may have had a
 * newer one. What was confirmed after its start is as new as all that it can
 * have had. Where nothing is confirmed, it takes what it gets after the
 * recovery time. */
static bool is_credible_(const struct bw_distribute *distribute,
			 const struct bw_distribute_peer *peer,
			 enum bw_document document, struct bw_time now)
{
	/* A peer that has restarted since may have an older one again. */
	if (peer->has_confirmation &&
	    bw_time_reached(peer->confirmed, distribute->started) &&
	    peer->versions[document].number >=
		    peer->confirmed_versions[document].number)
		return true;
	return bw_time_diff_ms(now, distribute->started) >=
	       distribute->config.recovery_ms;
}

static bool is_fresh_(const struct bw_distribute_peer *peer, struct bw_time now)
{
	return bw_time_diff_ms(now, peer->seen) < DISTRIBUTE_PEER_FRESH_MS;
}
