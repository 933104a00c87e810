/**
 * @file
 * Rejects requests that crash backend servers; identifies them by fingerprint.
 *
 * A crash is a connection lost while a request runs, followed by the loss of
 * the backend server: a refused connection, missing heartbeats or a new
 * incarnation. Each crash has a total weight of BW_POISON_CRASH_WEIGHT. It is
 * divided among the requests that were in flight on the server, in proportion
 * to their weight from earlier crashes plus a small constant. A request alone
 * in flight gets all of it. Each completed response halves the weight of its
 * fingerprint. A request that is in flight during every crash therefore
 * accumulates nearly all of the weight, and one that was in flight by chance
 * keeps little.
 */
#ifndef BWSTEER_POISON_H
#define BWSTEER_POISON_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/buffer.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

/** Bytes of a fingerprint (BLAKE2b-128). */
#define BW_FINGERPRINT_BYTES 16

/** Total weight of one crash. */
#define BW_POISON_CRASH_WEIGHT 1000

/** Limit on the crashes recorded for one fingerprint. */
#define BW_POISON_CRASHES_MAX 16

/** Hash of all parts of a request that a backend server receives. */
struct bw_fingerprint {
	uint8_t bytes[BW_FINGERPRINT_BYTES];
};

/** Configuration; see bw_poison_config_default. */
struct bw_poison_config {
	char host[BW_NAME_MAX]; /**< this host's name, for its records */
	uint32_t fingerprints_max; /**< limit on table entries */
	uint32_t suspects_max; /**< limit on unattributed lost connections */
	/** Crashes after which a request is rejected, unless its service sets
	 * another limit. Fingerprints at this limit are evicted last. */
	uint32_t crash_limit;
	int64_t expiry_ms; /**< lifetime of a crash record */
	/** Longest time from a lost connection to the loss of the server. */
	int64_t confirm_ms;
	/** Wait for further lost connections after the loss of a server. */
	int64_t settle_ms;
};

struct bw_poison_entry; /* private */
struct bw_poison_suspect; /* private */
struct bw_index; /* private */

/** Table of crash fingerprints. */
struct bw_poison {
	struct bw_poison_config config;
	struct bw_poison_entry *entries;
	struct bw_index *by_fingerprint;
	struct bw_poison_suspect *suspects;
	uint32_t suspects_count;
	uint32_t lru_head; /**< least recently used */
	uint32_t lru_tail; /**< most recently used */
	uint32_t free_head; /**< first free entry */
	uint32_t count; /**< entries in use */
	uint64_t crash_count; /**< crashes attributed by this host */
	uint64_t rejected_count;
	uint64_t evicted_count;
};

/** Fills in the defaults: 1024 fingerprints, 1024 suspects, limit 2, expiry
 * 10 min, confirmation 15 s, settling 100 ms. */
void bw_poison_config_default(struct bw_poison_config *config,
			      const char *host);

/**
 * Initialises an empty table and allocates all memory.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL if a limit or the expiry time is not
 *	positive
 */
enum bw_status bw_poison_init(struct bw_poison *poison,
			      const struct bw_poison_config *config);

/** Frees the table. */
void bw_poison_finish(struct bw_poison *poison);

/**
 * Computes the fingerprint of a request.
 * @param body_digest digest of the body, or NULL with size 0
 * @param key request key of the caller, or ""
 */
void bw_poison_fingerprint(const char *service, const char *method,
			   const char *path, const void *body_digest,
			   size_t digest_bytes, const char *key,
			   struct bw_fingerprint *fingerprint);

/**
 * Returns whether a request must be rejected.
 * @param crash_limit limit of the service, or 0 for the default
 * @param retry_after_ms receives the delay before the request may be retried,
 *	that is until its oldest crash expires, or 0 if it is not rejected
 */
bool bw_poison_check(struct bw_poison *poison,
		     const struct bw_fingerprint *fingerprint,
		     uint32_t crash_limit, struct bw_time now,
		     uint32_t *retry_after_ms);

/**
 * Records that the connection was lost while a request ran.
 * @param incarnation incarnation of the backend server that ran the request
 * @param in_flight known requests in flight on the server from all hosts,
 *	including this one; at least 1
 * @return BW_OK, or BW_EFULL if the oldest suspect was dropped to make room
 */
enum bw_status bw_poison_connection_lost(
	struct bw_poison *poison, const struct bw_fingerprint *fingerprint,
	uint64_t incarnation, uint32_t in_flight, struct bw_time now);

/**
 * Records that a backend server is lost: its connection is refused, its
 * heartbeats are missing, or it announced a new incarnation. Must not be called
 * for a server that left or was drained.
 * @param incarnation the incarnation that ended
 */
void bw_poison_server_lost(struct bw_poison *poison, uint64_t incarnation,
			   struct bw_time now);

/** Records a complete response; halves the weight of the fingerprint. */
void bw_poison_completed(struct bw_poison *poison,
			 const struct bw_fingerprint *fingerprint,
			 struct bw_time now);

/**
 * Attributes crashes whose wait for further lost connections has ended, and
 * removes expired ones. Call it every 50 ms.
 */
void bw_poison_tick(struct bw_poison *poison, struct bw_time now);

/**
 * Returns the weight of a fingerprint. One crash with only this request in
 * flight gives BW_POISON_CRASH_WEIGHT.
 */
uint32_t bw_poison_weight(const struct bw_poison *poison,
			  const struct bw_fingerprint *fingerprint,
			  struct bw_time now);

/**
 * Appends one packet body with records for other hosts. A record holds the
 * fingerprint, incarnation, weight and age, and the host that recorded the
 * crash first.
 * @param cursor 0 to start; receives the next position, or 0 at the end
 * @param fingerprints_max limit on the fingerprints in this packet, at least 1
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_poison_encode(const struct bw_poison *poison,
				struct bw_time now, uint32_t *cursor,
				uint32_t fingerprints_max,
				struct bw_buffer *out);

/**
 * Appends one packet body with the fingerprints of greatest weight only. When
 * many servers are lost at once, each request that they ran gets a small
 * weight; sending all of these to all hosts would saturate the hosts' links.
 * @param weight_min minimum weight of a fingerprint
 * @param fingerprints_max limit on the fingerprints in the packet, at least 1
 * @param count receives the number of fingerprints
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status
bw_poison_encode_heaviest(const struct bw_poison *poison, struct bw_time now,
			  uint32_t weight_min, uint32_t fingerprints_max,
			  struct bw_buffer *out, uint32_t *count);

/**
 * Merges records of another host. If a crash is already recorded for a
 * fingerprint, the smaller weight is kept. The weights of all fingerprints of a
 * crash are scaled down to BW_POISON_CRASH_WEIGHT in total.
 * @return BW_OK; BW_EINVAL for a malformed packet (records before the error
 *	are merged); BW_EVERSION
 */
enum bw_status bw_poison_decode(struct bw_poison *poison, const void *data,
				size_t size_bytes, struct bw_time now);

/**
 * Adds the state of the table to a JSON object.
 * @param into object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_poison_dump(const struct bw_poison *poison,
			      struct bw_time now, json_t *into);

#endif
