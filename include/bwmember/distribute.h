/**
 * @file
 * Distribution of numbered documents from control hosts through aggregators to
 * all hosts, with deltas.
 *
 * A change is pushed as a delta to receivers whose version is known. Digests
 * (numbers and hashes, once a second with jitter) repair losses: a host with
 * an older version requests the document from the sender of the digest. The
 * number of a document on a host never decreases. Digests also carry the age
 * of the last confirmation by a majority of the control hosts.
 *
 * A requested document is sent in pieces: the difference to the version that
 * the receiver has, or a whole copy, compressed. The receiver asks for one
 * piece at a time, at a limited rate, so that other traffic of its link waits
 * behind one piece at most. Any host that has both versions can go on with a
 * transfer that another host began. The result is installed only if its hash is
 * that of the version.
 *
 * Without a member and an aggregator module there are no pushes and digests:
 * the caller decides when to request a document, and from whom.
 */
#ifndef BWMEMBER_DISTRIBUTE_H
#define BWMEMBER_DISTRIBUTE_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/buffer.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwbase/status.h"
#include "bwmember/aggregator.h"
#include "bwmember/member.h"

/** Maximum size of a document, in bytes. */
#define BW_DOCUMENT_MAX_BYTES (8 * 1024 * 1024)

/** Size of a document hash (BLAKE2b-128). */
#define BW_DOCUMENT_HASH_BYTES 16

/** Maximum content in one packet, in bytes. */
#define BW_DOCUMENT_CHUNK_MAX_BYTES (64 * 1024)

/** Age of the last majority confirmation from which on state is stale, in ms.
 */
#define BW_DISTRIBUTE_STALE_MS 5000

/** Documents; the values are part of the wire format. */
enum bw_document {
	BW_DOCUMENT_SHEET, /**< number: revision */
	BW_DOCUMENT_PLAN, /**< number: index in the replicated log */
	BW_DOCUMENT_COUNT
};

/** Names of enum bw_document. */
extern const char *const bw_document_string[BW_DOCUMENT_COUNT];

/** Settings; a zero selects the default. */
struct bw_distribute_config {
	const struct bw_member *member; /**< must outlive the module; NULL:
					    requests by the caller only */
	const struct bw_aggregator *aggregator; /**< likewise */
	bool receives_only; /**< never sends documents; keeps no history */
	uint64_t random_seed; /**< 0 selects system entropy */
	uint32_t digest_interval_ms; /**< default 1,000, jitter a quarter */
	uint32_t recovery_ms; /**< wait for a second source after start;
				 default 2,000 */
	uint32_t request_timeout_ms; /**< default 1,000 */
	uint32_t bytes_per_s; /**< limit of content sent; default 262,144 */
	uint32_t receive_bytes_per_s; /**< limit of pieces requested; 0: none */
	uint32_t piece_bytes; /**< size of a requested piece; default and
				  maximum BW_DOCUMENT_CHUNK_MAX_BYTES */
	uint32_t history_bytes; /**< limit of the earlier contents, without the
				    newest of them; default 2 MiB */
};

/** Kinds of event. */
enum bw_distribute_event_kind {
	BW_DISTRIBUTE_EVENT_DOCUMENT, /**< a newer document is in force */
	BW_DISTRIBUTE_EVENT_CONFLICT /**< same number with another hash */
};

/** One event. */
struct bw_distribute_event {
	enum bw_distribute_event_kind kind;
	enum bw_document document;
	uint64_t number;
	const uint8_t *bytes; /**< DOCUMENT: content, valid until the next
				 call other than next_event */
	uint32_t size_bytes;
	uint8_t hash[BW_DOCUMENT_HASH_BYTES]; /**< of this document, or
						 conflicting */
	char peer[BW_NAME_MAX]; /**< source; own name if published here */
};

/** Counters. */
struct bw_distribute_stats {
	uint64_t malformed_count;
	uint64_t lower_refused_count; /**< lower numbers rejected */
	uint64_t hash_mismatch_count; /**< assembled content discarded */
	uint64_t conflict_count;
	uint64_t delta_sent_count;
	uint64_t delta_applied_count;
	uint64_t full_applied_count;
	uint64_t request_sent_count;
	uint64_t request_timeout_count;
	uint64_t piece_received_count;
	uint64_t piece_received_bytes;
	uint64_t difference_misfit_count; /**< a whole copy was requested, as a
					      difference did not fit */
};

struct bw_distribute_document; /* private */
struct bw_distribute_peer; /* private */
struct bw_distribute_request; /* private */

/** State of the distribution on one host. */
struct bw_distribute {
	struct bw_distribute_config config;
	struct bw_random random;
	struct bw_time started;
	struct bw_time next_digest;
	struct bw_distribute_document *documents; /**< BW_DOCUMENT_COUNT */
	struct bw_distribute_peer *peers;
	uint32_t peer_count;
	struct bw_distribute_request *requests; /**< waiting for tokens */
	uint32_t request_count;
	bool has_confirmation;
	struct bw_time
		confirmed; /**< last majority confirmation of the documents */
	int64_t tokens; /**< token bucket, in bytes; may be negative */
	struct bw_time refilled;
	uint64_t encoding_use; /**< counts uses of encodings */
	struct bw_distribute_stats stats;
};

/** Initialises without any document. @return BW_OK, BW_EINVAL, BW_ENOMEM */
enum bw_status bw_distribute_init(struct bw_distribute *distribute,
				  const struct bw_distribute_config *config,
				  struct bw_time now);

/** Frees the memory. */
void bw_distribute_finish(struct bw_distribute *distribute);

/**
 * Handles a packet of channel BW_CHANNEL_DISTRIBUTE.
 * @return BW_OK; BW_EINVAL or BW_EVERSION (counted); BW_ENOMEM
 */
enum bw_status bw_distribute_receive(struct bw_distribute *distribute,
				     const struct bw_packet *packet,
				     struct bw_time now, struct bw_outbox *out);

/**
 * Requests the newest version of a document from a host that the caller has
 * chosen; for hosts without a member module. What has arrived of a transfer is
 * kept if the host can go on with it. Further pieces are requested from the
 * same host, but nothing is repeated: when no piece arrives, the caller calls
 * again, with the same or another host.
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_distribute_request(struct bw_distribute *distribute,
				     enum bw_document document,
				     const char *peer, struct bw_time now,
				     struct bw_outbox *out);

/** Runs timers and sends; to be called every 50 ms. */
enum bw_status bw_distribute_tick(struct bw_distribute *distribute,
				  struct bw_time now, struct bw_outbox *out);

/**
 * Puts a committed document in force at a control host. The next tick sends
 * it.
 * @param number greater than zero
 * @return BW_OK (also when it is in force already); BW_ESTALE for a lower
 *	number; BW_ECONFLICT for the same number with different content (an
 *	event is queued); BW_EFULL above BW_DOCUMENT_MAX_BYTES; BW_EINVAL;
 *	BW_ENOMEM
 */
enum bw_status bw_distribute_publish(struct bw_distribute *distribute,
				     enum bw_document document, uint64_t number,
				     const void *bytes, size_t size_bytes,
				     struct bw_time now);

/**
 * Records at a control host that a majority of the control hosts confirmed, at
 * now, that the documents published here are the newest. The leader calls it
 * at each tick while its lease is valid; digests carry it to other hosts.
 */
void bw_distribute_confirm(struct bw_distribute *distribute,
			   struct bw_time now);

/**
 * Returns whether the last majority confirmation of the documents in force is
 * missing or at least BW_DISTRIBUTE_STALE_MS old.
 */
bool bw_distribute_is_stale(const struct bw_distribute *distribute,
			    struct bw_time now);

/** Returns the number of the document in force, 0 while there is none. */
uint64_t bw_distribute_number(const struct bw_distribute *distribute,
			      enum bw_document document);

/**
 * Returns the content in force, NULL while there is none.
 * @param size_bytes receives the size
 */
const uint8_t *bw_distribute_content(const struct bw_distribute *distribute,
				     enum bw_document document,
				     uint32_t *size_bytes);

/** Removes the next event from the queue. @return whether there was one */
bool bw_distribute_next_event(struct bw_distribute *distribute,
			      struct bw_distribute_event *event);

/** Adds the state dump to the JSON object into. */
enum bw_status bw_distribute_dump(const struct bw_distribute *distribute,
				  json_t *into);

#endif
