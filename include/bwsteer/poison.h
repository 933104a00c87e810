/**
 * @file
 * Crash fingerprints: rejects a request that crashes backend servers.
 *
 * A crash is a connection lost during a run, followed by the loss of the
 * server (connection refused, heartbeats missing, new incarnation). One crash
 * weighs BW_POISON_CRASH_WEIGHT in total. It is split over the requests that
 * were in flight on the server, in proportion to a small constant plus the
 * weight that each has from earlier crashes; a request alone in flight gets all
 * of it. A completed run halves the weight of its fingerprint. So a request
 * that is present in every crash collects nearly all the weight, while one that
 * was present by chance keeps a small part.
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

/** Weight of one crash. */
#define BW_POISON_CRASH_WEIGHT 1000

/** Most crashes remembered for one fingerprint. */
#define BW_POISON_CRASHES_MAX 16

/** Identifies requests that are equal in all that a server can see. */
struct bw_fingerprint {
	uint8_t bytes[BW_FINGERPRINT_BYTES];
};

/** Settings; bw_poison_config_default gives usual values. */
struct bw_poison_config {
	char host[BW_NAME_MAX]; /**< this host, written into records */
	uint32_t fingerprints_max; /**< bound of the table */
	uint32_t suspects_max; /**< lost connections not yet explained */
	uint32_t crash_limit; /**< default limit; also guides eviction */
	int64_t expiry_ms; /**< a crash counts for this long */
	int64_t confirm_ms; /**< the server's loss must follow within */
	int64_t settle_ms; /**< waits for further lost connections */
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
	uint32_t lru_tail;
	uint32_t free_head;
	uint32_t count;
	uint64_t crash_count; /**< crashes seen by this host */
	uint64_t rejected_count;
	uint64_t evicted_count;
};

/** Fills in the defaults: 1024 fingerprints, 1024 suspects, limit 2, expiry
 * 10 min, confirmation 15 s, settling 100 ms. */
void bw_poison_config_default(struct bw_poison_config *config,
			      const char *host);

/**
 * Initialises an empty table; all memory is allocated here.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL for a zero bound
 */
enum bw_status bw_poison_init(struct bw_poison *poison,
			      const struct bw_poison_config *config);

/** Frees the table. */
void bw_poison_finish(struct bw_poison *poison);

/**
 * Computes the fingerprint of a request.
 * @param body_digest digest of the body, or NULL with size 0
 * @param key request key that the caller brought, or ""
 */
void bw_poison_fingerprint(const char *service, const char *method,
			   const char *path, const void *body_digest,
			   size_t digest_bytes, const char *key,
			   struct bw_fingerprint *fingerprint);

/**
 * Tells whether a request must be rejected.
 * @param crash_limit limit of the service; 0 uses the default
 * @param retry_after_ms receives the time until it may run again, when true
 */
bool bw_poison_check(struct bw_poison *poison,
		     const struct bw_fingerprint *fingerprint,
		     uint32_t crash_limit, struct bw_time now,
		     uint32_t *retry_after_ms);

/**
 * Records that the connection was lost while a request ran.
 * @param incarnation of the backend server that ran it
 * @param in_flight requests in flight on the server, from all hosts as far as
 *	known, with this one; at least 1
 * @return BW_OK, or BW_EFULL when the oldest suspect was dropped for it
 */
enum bw_status bw_poison_connection_lost(
	struct bw_poison *poison, const struct bw_fingerprint *fingerprint,
	uint64_t incarnation, uint32_t in_flight, struct bw_time now);

/**
 * Records that a backend server is gone: its connection is refused, its
 * heartbeats are missing, or it announced a new incarnation. Not for a server
 * that left or was drained.
 * @param incarnation the incarnation that ended
 */
void bw_poison_server_lost(struct bw_poison *poison, uint64_t incarnation,
			   struct bw_time now);

/** Records a complete response, which speaks for the fingerprint. */
void bw_poison_completed(struct bw_poison *poison,
			 const struct bw_fingerprint *fingerprint,
			 struct bw_time now);

/** Counts crashes that have settled and expires old ones; every 50 ms. */
void bw_poison_tick(struct bw_poison *poison, struct bw_time now);

/**
 * Returns the weight of a fingerprint; BW_POISON_CRASH_WEIGHT is one crash
 * alone in flight.
 */
uint32_t bw_poison_weight(const struct bw_poison *poison,
			  const struct bw_fingerprint *fingerprint,
			  struct bw_time now);

/**
 * Appends one packet body with records for other hosts. A record holds
 * fingerprint, incarnation, weight, first host and age.
 * @param cursor 0 to start; receives the next position, or 0 at the end
 * @param fingerprints_max most fingerprints of this packet, greater than zero
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_poison_encode(const struct bw_poison *poison,
				struct bw_time now, uint32_t *cursor,
				uint32_t fingerprints_max,
				struct bw_buffer *out);

/**
 * Appends one packet body with the heaviest fingerprints only. The loss of many
 * servers at once leaves a light weight on each request that they ran; telling
 * all of them to all hosts would fill their links.
 * @param weight_min least weight of a fingerprint
 * @param fingerprints_max most fingerprints, greater than zero
 * @param count receives the number of fingerprints
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status
bw_poison_encode_heaviest(const struct bw_poison *poison, struct bw_time now,
			  uint32_t weight_min, uint32_t fingerprints_max,
			  struct bw_buffer *out, uint32_t *count);

/**
 * Merges records of another host. The same crash counts once per fingerprint
 * with the smaller weight, and all fingerprints of one crash share one weight.
 * @return BW_OK; BW_EINVAL for a malformed packet (records before the fault
 *	are merged); BW_EVERSION
 */
enum bw_status bw_poison_decode(struct bw_poison *poison, const void *data,
				size_t size_bytes, struct bw_time now);

/**
 * Writes the state dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_poison_dump(const struct bw_poison *poison,
			      struct bw_time now, json_t *into);

#endif
