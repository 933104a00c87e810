/**
 * @file
 * Request keys and at-most-once execution.
 *
 * A key names one process (host and incarnation), its owner. Only the owner
 * runs the request, and it remembers the outcome until the key expires by its
 * own clock. Copies at one backup host answer resent requests after the owner
 * has died; they never allow a run. An owner that leaves seals itself and
 * hands its records to one successor, which becomes the owner of its keys only
 * when the handover is complete.
 */
#ifndef BWSTEER_KEYS_H
#define BWSTEER_KEYS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "bwbase/chart.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

/** Size of the text of a key with its final zero. */
#define BW_KEYS_TEXT_MAX 160

/** Bytes of a nonce, of a hash of a caller's key, and of a request digest. */
#define BW_KEYS_ID_BYTES 16

/** Bytes of the fleet's secret. */
#define BW_KEYS_SECRET_BYTES 32

/** Largest key that a caller may bring (Idempotency-Key), in bytes. */
#define BW_KEYS_CALLER_MAX_BYTES 128

/** Largest response body and headers that are kept, in bytes. */
#define BW_KEYS_BODY_MAX_BYTES (64 * 1024)
#define BW_KEYS_HEADERS_MAX_BYTES (16 * 1024)

/** Where a key comes from. The values are part of the wire format. */
enum bw_keys_kind {
	BW_KEYS_MINTED = 1, /**< from a look-up response */
	BW_KEYS_BOUND = 2, /**< brought by a caller, bound to an owner */
};

/** A checked key. */
struct bw_key {
	enum bw_keys_kind kind;
	char owner[BW_NAME_MAX];
	uint64_t incarnation; /**< of the owner */
	int64_t expiry_ms; /**< wall clock since 1970 */
	uint8_t id[BW_KEYS_ID_BYTES]; /**< nonce, or hash of caller's key */
};

/** States of a record; see charts/request_key.yaml. */
enum bw_keys_state {
	BW_KEYS_NEW, /**< certainly not run */
	BW_KEYS_RUNNING,
	BW_KEYS_DONE, /**< ran; the response may have been dropped */
	BW_KEYS_OUTCOME_UNKNOWN, /**< may have run */
	BW_KEYS_STATE_COUNT
};

/** Stable names of enum bw_keys_state. */
extern const char *const bw_keys_state_string[BW_KEYS_STATE_COUNT];

/** Names in charts/request_key.yaml, for bw_chart_load. */
extern const struct bw_chart_names bw_keys_chart_names;

/** What the host does with a request. */
enum bw_keys_decision_kind {
	BW_KEYS_RUN, /**< dispatch once ready; then bw_keys_finish_run */
	BW_KEYS_JOIN, /**< runs now; BW_KEYS_EVENT_ENDED follows */
	BW_KEYS_REPLAY, /**< ran; the first response is given */
	BW_KEYS_UNKNOWN, /**< see reason */
	BW_KEYS_ABSENT, /**< only from bw_keys_lookup_backup: no record */
	BW_KEYS_FULL, /**< no room for a record */
	BW_KEYS_CONFLICT, /**< the key was used for another request */
	BW_KEYS_EXPIRED, /**< an earlier attempt may have run */
	BW_KEYS_TOO_FAR, /**< the key's expiry is beyond the horizon */
	BW_KEYS_NOT_OWNER, /**< forward to host and incarnation */
	BW_KEYS_OWNER_ENDED, /**< names an earlier process of this host */
	BW_KEYS_SEALED, /**< forward to the successor, if one is named */
	BW_KEYS_DECISION_COUNT
};

/** Stable names of enum bw_keys_decision_kind. */
extern const char *const bw_keys_decision_string[BW_KEYS_DECISION_COUNT];

/** Why a response cannot be replayed. */
enum bw_keys_reason {
	BW_KEYS_NO_REASON,
	BW_KEYS_MAY_HAVE_RUN, /**< the outcome is not known */
	BW_KEYS_RESPONSE_NOT_KEPT, /**< ran; response too large or dropped */
	BW_KEYS_REASON_COUNT
};

/** Stable names of enum bw_keys_reason. */
extern const char *const bw_keys_reason_string[BW_KEYS_REASON_COUNT];

/** A response; the pointers are not owned. */
struct bw_keys_response {
	uint16_t status; /**< HTTP status */
	const uint8_t *headers; /**< opaque to this module */
	uint32_t headers_bytes;
	const uint8_t *body;
	uint32_t body_bytes;
};

/** Decision about one attempt of a request. */
struct bw_keys_decision {
	enum bw_keys_decision_kind kind;
	enum bw_keys_reason reason; /**< of BW_KEYS_UNKNOWN */
	/**
	 * No attempt of this request has run so far, and this host starts
	 * none for this attempt: the caller may be told "not run". Always
	 * false for RUN, JOIN, REPLAY and UNKNOWN.
	 */
	bool not_run;
	bool ready; /**< RUN: dispatch now, no event follows */
	uint64_t run; /**< RUN: handle for bw_keys_finish_run */
	struct bw_keys_response response; /**< REPLAY: valid until next call */
	char host[BW_NAME_MAX]; /**< NOT_OWNER, SEALED: forward to; or "" */
	uint64_t incarnation; /**< of host */
};

/** How a run ended. */
enum bw_keys_outcome {
	BW_KEYS_OUTCOME_DONE, /**< ran, response known */
	BW_KEYS_OUTCOME_NOT_RUN, /**< certainly not run; may run again */
	BW_KEYS_OUTCOME_MAY_HAVE_RUN,
	BW_KEYS_OUTCOME_COUNT
};

/** Stable names of enum bw_keys_outcome. */
extern const char *const bw_keys_outcome_string[BW_KEYS_OUTCOME_COUNT];

/** Kinds of event. */
enum bw_keys_event_kind {
	BW_KEYS_EVENT_READY, /**< key, run: dispatch now, unless ended */
	BW_KEYS_EVENT_ENDED, /**< key, outcome: a joined run ended */
	BW_KEYS_EVENT_ADOPTED, /**< this host now owns host's incarnation */
	BW_KEYS_EVENT_HANDED_OVER, /**< host's keys now belong to successor */
	BW_KEYS_EVENT_COUNT
};

/** Stable names of enum bw_keys_event_kind. */
extern const char *const bw_keys_event_string[BW_KEYS_EVENT_COUNT];

/** Something that the caller has to act on. */
struct bw_keys_event {
	enum bw_keys_event_kind kind;
	struct bw_key key; /**< READY, ENDED; else owner and incarnation only */
	uint64_t run; /**< READY, ENDED */
	enum bw_keys_outcome outcome; /**< ENDED */
	char successor[BW_NAME_MAX]; /**< HANDED_OVER */
	uint64_t successor_incarnation; /**< HANDED_OVER */
};

/** Settings; bw_keys_config_default gives usual values. */
struct bw_keys_config {
	char host[BW_NAME_MAX]; /**< this host */
	uint64_t incarnation; /**< of this process, random, not 0 */
	uint8_t secret[BW_KEYS_SECRET_BYTES]; /**< of the fleet */
	const struct bw_chart *chart; /**< outlives the module */
	int64_t wall_ms; /**< wall clock at bw_keys_init */
	int64_t validity_ms; /**< of minted keys */
	int64_t horizon_ms; /**< latest expiry accepted, from now */
	int64_t bound_horizon_ms; /**< the same for keys of callers */
	int64_t ack_wait_ms; /**< longest wait for the backup */
	int64_t backup_timeout_ms; /**< then a run no longer waits for it */
	int64_t resend_ms; /**< time between two sends of one message */
	int64_t handover_idle_timeout_ms; /**< an idle incoming handover is
					     dropped */
	uint32_t records_max; /**< of keys owned by this host */
	uint64_t responses_max_bytes; /**< kept for them */
	uint32_t backup_records_max; /**< kept for other owners */
	uint32_t backup_records_per_owner_max;
	uint64_t backup_responses_max_bytes;
	uint32_t backup_bytes_per_s; /**< sent to the backup */
	uint32_t packet_bytes; /**< a packet with more than one record */
	uint32_t owners_max; /**< incarnations ever taken over */
};

/** Counters for metrics. */
struct bw_keys_counts {
	uint64_t decisions[BW_KEYS_DECISION_COUNT];
	uint64_t unknown[BW_KEYS_REASON_COUNT];
	uint64_t ready_unacknowledged; /**< dispatched without backup copy */
	uint64_t responses_dropped; /**< for lack of memory */
	uint64_t backup_refused; /**< copies refused here for lack of memory */
	uint64_t copies_refused; /**< the same, at this host's backup */
	uint64_t handover_refused; /**< the same for handovers */
	uint64_t expired; /**< records removed after expiry */
	uint64_t packets_rejected; /**< malformed, unknown or misdirected */
	uint64_t bytes_sent; /**< bodies of packets */
};

/** A set of records of one owner incarnation (private). */
struct bw_keys_set;

/** Memory shared by some sets. */
struct bw_keys_pool {
	uint32_t records;
	uint32_t records_max;
	uint64_t bytes; /**< of responses */
	uint64_t bytes_max;
	GQueue responses; /**< records with a response, oldest first */
	GQueue released; /**< records in state new, may be removed */
};

/** Number of buckets of one second each that hold records by expiry. */
#define BW_KEYS_WHEEL_SIZE 1024

/** State of the module. */
struct bw_keys {
	struct bw_keys_config config;
	struct bw_time started;
	uint8_t mac_key[32];
	uint8_t id_key[32];
	uint64_t mint_count;
	uint64_t version; /**< of the latest change of an owned record */

	GHashTable *owned; /**< sets that this host owns, owned or receives */
	GHashTable *backups; /**< sets kept for other owners */
	struct bw_keys_set *own;
	struct bw_keys_pool owned_pool;
	struct bw_keys_pool backup_pool;
	GQueue wheel[BW_KEYS_WHEEL_SIZE];
	int64_t wheel_s; /**< last second whose bucket was visited */

	char backup[BW_NAME_MAX]; /**< "" for none */
	uint64_t backup_incarnation;
	GQueue unacked; /**< records that the backup has not acknowledged */
	GQueue waiting; /**< runs that wait for the backup */
	bool ack_pending; /**< something sent since is not acknowledged */
	struct bw_time ack_pending_since;
	int64_t send_credit_bytes;
	struct bw_time credit_updated;

	bool sealed;
	char successor[BW_NAME_MAX];
	uint64_t successor_incarnation;
	uint64_t session; /**< of the latest outgoing handover */

	uint32_t running_count;
	uint32_t incoming_count; /**< incoming handovers in progress */
	GQueue events; /**< at most two a run; the caller fetches them */
	struct bw_keys_counts counts;
};

/**
 * Fills in the defaults: validity 15 min, horizon 30 min, horizon of callers'
 * keys 25 h, wait for the backup 50 ms while it
 * has acknowledged within 500 ms, resend after 200 ms, idle handover
 * 60 s, 65,536 records with 64 MiB of responses, 65,536 backup records (32,768
 * per owner) with 64 MiB, 4 MiB/s to the backup, packets of 64 KiB,
 * 4,096 incarnations. Host,
 * incarnation, secret, chart and wall_ms are left zero.
 */
void bw_keys_config_default(struct bw_keys_config *config);

/**
 * Initialises an empty store.
 * @return BW_OK, or BW_EINVAL for a zero or missing setting
 */
enum bw_status bw_keys_init(struct bw_keys *keys,
			    const struct bw_keys_config *config,
			    struct bw_time now);

/** Frees the store. */
void bw_keys_finish(struct bw_keys *keys);

/**
 * Makes a new key for an owner; any host of the fleet can do so.
 * @param owner host that shall run the request
 * @param incarnation of the owner, not 0
 * @param wall_ms wall clock; the key expires validity_ms later
 * @param text receives `owner.incarnation.expiry.nonce.mac`
 * @return BW_OK, or BW_EINVAL for an empty or too long name
 */
enum bw_status bw_keys_mint(struct bw_keys *keys, const char *owner,
			    uint64_t incarnation, int64_t wall_ms,
			    char text[BW_KEYS_TEXT_MAX]);

/**
 * Checks the text of a key. Only its owner decides about expiry: another host
 * forwards the request also on BW_ESTALE.
 * @param wall_ms wall clock of this host
 * @param key receives the key on BW_OK and BW_ESTALE
 * @return BW_OK; BW_EINVAL when malformed; BW_EDENIED when the MAC does not
 *	match; BW_ESTALE when expired by wall_ms
 */
enum bw_status bw_keys_parse(const struct bw_keys *keys, const char *text,
			     int64_t wall_ms, struct bw_key *key);

/**
 * Hashes a key brought by a caller, for binding it to an owner.
 * @param caller_key 1 to BW_KEYS_CALLER_MAX_BYTES bytes
 * @return BW_OK, or BW_EINVAL for the length
 */
enum bw_status bw_keys_hash_caller_key(const struct bw_keys *keys,
				       const char *service,
				       const char *caller_key,
				       uint8_t id[BW_KEYS_ID_BYTES]);

/**
 * Makes a key from a committed binding.
 * @param id may be part of the key
 * @return BW_OK, or BW_EINVAL for a bad name or a zero incarnation
 */
enum bw_status bw_keys_from_binding(const uint8_t id[BW_KEYS_ID_BYTES],
				    const char *owner, uint64_t incarnation,
				    int64_t expiry_ms, struct bw_key *key);

/**
 * Computes the digest of a request that is bound to its key.
 * @param body_digest digest of the body, or NULL with size 0
 */
void bw_keys_request_digest(const char *service, const char *method,
			    const char *path, const void *body_digest,
			    size_t body_digest_bytes,
			    uint8_t digest[BW_KEYS_ID_BYTES]);

/** Returns the wall clock of the owner: wall_ms plus monotonic time. */
int64_t bw_keys_wall_ms(const struct bw_keys *keys, struct bw_time now);

/**
 * Decides about one attempt. RUN makes the record and sends it to the backup;
 * the caller dispatches when decision.ready is set or BW_KEYS_EVENT_READY has
 * come, and always ends the run with bw_keys_finish_run, also when it never
 * dispatched. After BW_KEYS_EVENT_ENDED with outcome DONE a joined attempt
 * calls this again for the response.
 * @param digest of the request, from bw_keys_request_digest
 */
void bw_keys_begin(struct bw_keys *keys, const struct bw_key *key,
		   const uint8_t digest[BW_KEYS_ID_BYTES], struct bw_time now,
		   struct bw_outbox *out, struct bw_keys_decision *decision);

/**
 * Ends a run. A response whose body or headers are too large is not kept.
 * @param run handle from the decision
 * @param response needed for BW_KEYS_OUTCOME_DONE (NULL: not kept), else NULL
 * @return BW_OK, or BW_ENOTFOUND when that run is not in progress
 */
enum bw_status bw_keys_finish_run(struct bw_keys *keys,
				  const struct bw_key *key, uint64_t run,
				  enum bw_keys_outcome outcome,
				  const struct bw_keys_response *response,
				  struct bw_time now, struct bw_outbox *out);

/**
 * Chooses the backup. All live records are sent to a new one at a bounded
 * rate.
 * @param host "" for none
 * @param incarnation of the backup's process
 * @return BW_OK, or BW_EINVAL for a bad name, this host, or incarnation 0
 */
enum bw_status bw_keys_set_backup(struct bw_keys *keys, const char *host,
				  uint64_t incarnation, struct bw_time now);

/**
 * Answers a resent request whose owner is not reachable: REPLAY, UNKNOWN,
 * CONFLICT or ABSENT. ABSENT sets not_run only while this host is itself the
 * owner of the key, for example by a complete handover.
 */
void bw_keys_lookup_backup(struct bw_keys *keys, const struct bw_key *key,
			   const uint8_t digest[BW_KEYS_ID_BYTES],
			   struct bw_time now,
			   struct bw_keys_decision *decision);

/**
 * Stops new runs and hands all records to a successor once the runs have
 * ended. May be called again with another successor: incarnations whose
 * handover was declared complete keep the former one, so that each has one
 * successor.
 * @param successor "" to seal without handover
 * @param incarnation of the successor's process
 * @return BW_OK, or BW_EINVAL for a bad name, this host, or incarnation 0
 */
enum bw_status bw_keys_seal(struct bw_keys *keys, const char *successor,
			    uint64_t incarnation);

/** Returns whether this host is sealed and nothing is left to hand over. */
bool bw_keys_is_handed_over(const struct bw_keys *keys);

/** Returns the number of runs in progress at this host. */
uint32_t bw_keys_running_count(const struct bw_keys *keys);

/**
 * Handles a packet of BW_CHANNEL_KEYS. packet->incarnation has to be the
 * sender's.
 * @return BW_OK; BW_EINVAL or BW_EVERSION when rejected; BW_ESTALE when meant
 *	for another process or an ended handover; BW_EFULL when refused
 */
enum bw_status bw_keys_receive(struct bw_keys *keys,
			       const struct bw_packet *packet,
			       struct bw_time now, struct bw_outbox *out);

/** Sends what is due and removes expired records. Called every 50 ms. */
enum bw_status bw_keys_tick(struct bw_keys *keys, struct bw_time now,
			    struct bw_outbox *out);

/** Fetches the next event; returns false if there is none. */
bool bw_keys_next_event(struct bw_keys *keys, struct bw_keys_event *event);

/** Adds the state to a dump. */
enum bw_status bw_keys_dump(const struct bw_keys *keys, json_t *into);

#endif
