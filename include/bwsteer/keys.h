/**
 * @file
 * Request keys and at-most-once execution.
 *
 * A key names its owner: one process, given by host and incarnation. Only the
 * owner runs the request. It keeps a record of the outcome until the key
 * expires by the owner's clock. One backup host holds copies of the records
 * and answers resent requests after the owner has failed, but never starts a
 * run. An owner that shuts down is sealed, so that it starts no new run, and
 * hands its records over to one successor. The successor owns the keys only
 * once the handover is complete.
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

/** Size of the text form of a key, including the terminating NUL. */
#define BW_KEYS_TEXT_MAX 160

/** Size of a nonce, of the hash of a caller's key and of a request digest. */
#define BW_KEYS_ID_BYTES 16

/** Size of the secret that all hosts of the fleet share. */
#define BW_KEYS_SECRET_BYTES 32

/** Longest key that a caller may supply (Idempotency-Key), in bytes. */
#define BW_KEYS_CALLER_MAX_BYTES 128

/** Largest response body and response headers that are stored, in bytes. */
#define BW_KEYS_BODY_MAX_BYTES (64 * 1024)
#define BW_KEYS_HEADERS_MAX_BYTES (16 * 1024)

/** Origin of a key. The values are part of the wire format. */
enum bw_keys_kind {
	BW_KEYS_MINTED = 1, /**< issued with a look-up response */
	BW_KEYS_BOUND = 2, /**< supplied by a caller, bound to an owner */
};

/** A parsed key. */
struct bw_key {
	enum bw_keys_kind kind;
	char owner[BW_NAME_MAX];
	uint64_t incarnation; /**< of the owner */
	int64_t expiry_ms; /**< wall clock, since 1970 */
	uint8_t id[BW_KEYS_ID_BYTES]; /**< nonce, or hash of the caller's key */
};

/** States of a record; charts/request_key.yaml has the transitions. */
enum bw_keys_state {
	BW_KEYS_NEW, /**< has certainly not run */
	BW_KEYS_RUNNING,
	BW_KEYS_DONE, /**< has run; the response may no longer be stored */
	BW_KEYS_OUTCOME_UNKNOWN, /**< may have run */
	BW_KEYS_STATE_COUNT
};

/** Stable names of enum bw_keys_state. */
extern const char *const bw_keys_state_string[BW_KEYS_STATE_COUNT];

/** Names in charts/request_key.yaml, for bw_chart_load. */
extern const struct bw_chart_names bw_keys_chart_names;

/** What the host does with one attempt of a request. */
enum bw_keys_decision_kind {
	BW_KEYS_RUN, /**< dispatch when ready, then call bw_keys_finish_run */
	BW_KEYS_JOIN, /**< already running; BW_KEYS_EVENT_ENDED follows */
	BW_KEYS_REPLAY, /**< has run; return the stored response */
	BW_KEYS_UNKNOWN, /**< no response to replay, see reason */
	BW_KEYS_ABSENT, /**< no record; only from bw_keys_lookup_backup */
	BW_KEYS_FULL, /**< no room for a record */
	BW_KEYS_CONFLICT, /**< the key was used for another request */
	BW_KEYS_EXPIRED, /**< an earlier attempt may have run */
	BW_KEYS_TOO_FAR, /**< the key's expiry is too far in the future */
	BW_KEYS_NOT_OWNER, /**< forward to the given host and incarnation */
	BW_KEYS_OWNER_ENDED, /**< owner is an earlier process here */
	BW_KEYS_SEALED, /**< forward to the successor, if one is named */
	BW_KEYS_DECISION_COUNT
};

/** Stable names of enum bw_keys_decision_kind. */
extern const char *const bw_keys_decision_string[BW_KEYS_DECISION_COUNT];

/** Why a response cannot be replayed. */
enum bw_keys_reason {
	BW_KEYS_NO_REASON,
	BW_KEYS_MAY_HAVE_RUN, /**< the outcome is unknown */
	BW_KEYS_RESPONSE_NOT_KEPT, /**< has run; response not stored */
	BW_KEYS_REASON_COUNT
};

/** Stable names of enum bw_keys_reason. */
extern const char *const bw_keys_reason_string[BW_KEYS_REASON_COUNT];

/** A response. It does not own the headers and the body. */
struct bw_keys_response {
	uint16_t status; /**< HTTP status */
	const uint8_t *headers; /**< opaque to this module */
	uint32_t headers_bytes;
	const uint8_t *body;
	uint32_t body_bytes;
};

/** Decision on one attempt of a request. */
struct bw_keys_decision {
	enum bw_keys_decision_kind kind;
	enum bw_keys_reason reason; /**< UNKNOWN */
	/**
	 * No attempt of this request has run so far, and this host does not
	 * run this one, so that the response may state "not run". Always
	 * false for RUN, JOIN, REPLAY and UNKNOWN.
	 */
	bool not_run;
	bool ready; /**< RUN: dispatch now, no READY event follows */
	uint64_t run; /**< RUN: handle for bw_keys_finish_run */
	struct bw_keys_response response; /**< REPLAY: until next call */
	char host[BW_NAME_MAX]; /**< NOT_OWNER, SEALED: next host or "" */
	uint64_t incarnation; /**< of host */
};

/** How a run ended. */
enum bw_keys_outcome {
	BW_KEYS_OUTCOME_DONE, /**< ran, response known */
	BW_KEYS_OUTCOME_NOT_RUN, /**< has certainly not run; may be run again */
	BW_KEYS_OUTCOME_MAY_HAVE_RUN,
	BW_KEYS_OUTCOME_COUNT
};

/** Stable names of enum bw_keys_outcome. */
extern const char *const bw_keys_outcome_string[BW_KEYS_OUTCOME_COUNT];

/** Kinds of events. */
enum bw_keys_event_kind {
	BW_KEYS_EVENT_READY, /**< dispatch the run unless it has ended */
	BW_KEYS_EVENT_ENDED, /**< a run that attempts had joined has ended */
	BW_KEYS_EVENT_ADOPTED, /**< this host now owns the keys of key.owner */
	BW_KEYS_EVENT_HANDED_OVER, /**< the successor owns key.owner's keys */
	BW_KEYS_EVENT_COUNT
};

/** Stable names of enum bw_keys_event_kind. */
extern const char *const bw_keys_event_string[BW_KEYS_EVENT_COUNT];

/** An event that the caller has to handle. */
struct bw_keys_event {
	enum bw_keys_event_kind kind;
	struct bw_key key; /**< ADOPTED, HANDED_OVER: only owner, incarnation */
	uint64_t run; /**< READY, ENDED */
	enum bw_keys_outcome outcome; /**< ENDED */
	char successor[BW_NAME_MAX]; /**< HANDED_OVER */
	uint64_t successor_incarnation; /**< HANDED_OVER */
};

/** Settings; bw_keys_config_default sets the defaults. */
struct bw_keys_config {
	char host[BW_NAME_MAX]; /**< this host */
	uint64_t incarnation; /**< of this process; random, not 0 */
	uint8_t secret[BW_KEYS_SECRET_BYTES]; /**< shared by the fleet */
	const struct bw_chart *chart; /**< must outlive the store */
	int64_t wall_ms; /**< wall clock at bw_keys_init */
	int64_t validity_ms; /**< lifetime of minted keys */
	int64_t horizon_ms; /**< longest remaining lifetime of a minted key */
	int64_t bound_horizon_ms; /**< the same for a caller's key */
	int64_t ack_wait_ms; /**< longest wait of a run for the backup's ack */
	int64_t backup_timeout_ms; /**< without an ack; then do not wait */
	int64_t resend_ms; /**< interval before a message is sent again */
	int64_t handover_idle_timeout_ms; /**< between two chunks */
	uint32_t records_max; /**< of keys that this host owns */
	uint64_t responses_max_bytes; /**< responses of these records */
	uint32_t backup_records_max; /**< copies for other owners */
	uint32_t backup_records_per_owner_max;
	uint64_t backup_responses_max_bytes;
	uint32_t backup_bytes_per_s; /**< rate of copies sent to the backup */
	uint32_t packet_bytes; /**< no record is added beyond this size */
	uint32_t owners_max; /**< owner incarnations known, including own */
};

/** Counters for metrics. */
struct bw_keys_counts {
	uint64_t decisions[BW_KEYS_DECISION_COUNT];
	uint64_t unknown[BW_KEYS_REASON_COUNT];
	uint64_t ready_unacknowledged; /**< runs without the backup's ack */
	uint64_t responses_dropped; /**< to make room for newer ones */
	uint64_t backup_refused; /**< copies refused here, store full */
	uint64_t copies_refused; /**< copies refused by this host's backup */
	uint64_t handover_refused; /**< incoming handovers, store full */
	uint64_t expired; /**< records removed after expiry */
	uint64_t packets_rejected; /**< malformed, misdirected or refused */
	uint64_t bytes_sent; /**< payload bytes of sent packets */
};

/** The records of one owner incarnation (private). */
struct bw_keys_set;

/** Limits and usage shared by several sets of records. */
struct bw_keys_pool {
	uint32_t records;
	uint32_t records_max;
	uint64_t bytes; /**< of stored responses */
	uint64_t bytes_max;
	GQueue responses; /**< records with a response, oldest first */
	GQueue released; /**< records back in state new; may be evicted */
};

/** Number of one-second buckets in the timing wheel of record expiry. */
#define BW_KEYS_WHEEL_SIZE 1024

/** Records of request keys at one host. */
struct bw_keys {
	struct bw_keys_config config;
	struct bw_time started;
	uint8_t mac_key[32];
	uint8_t id_key[32];
	uint64_t mint_count;
	uint64_t version; /**< increases with each change of an owned record */

	GHashTable *owned; /**< sets owned now or formerly, and incoming ones */
	GHashTable *backups; /**< sets copied from other owners */
	struct bw_keys_set *own;
	struct bw_keys_pool owned_pool;
	struct bw_keys_pool backup_pool;
	GQueue wheel[BW_KEYS_WHEEL_SIZE];
	int64_t wheel_s; /**< last second whose bucket was processed */

	char backup[BW_NAME_MAX]; /**< "" for none */
	uint64_t backup_incarnation;
	GQueue unacked; /**< records that the backup has not acknowledged */
	GQueue waiting; /**< records of runs that wait for the backup's ack */
	bool ack_pending; /**< no ack since ack_pending_since */
	struct bw_time ack_pending_since;
	int64_t send_credit_bytes;
	struct bw_time credit_updated;

	bool sealed;
	char successor[BW_NAME_MAX];
	uint64_t successor_incarnation;
	uint64_t session; /**< number of the latest outgoing handover */

	uint32_t running_count;
	uint32_t incoming_count; /**< incoming handovers in progress */
	GQueue events; /**< of struct bw_keys_event; at most two per run */
	struct bw_keys_counts counts;
};

/**
 * Sets the defaults. Minted keys are valid for 15 min; a remaining lifetime of
 * up to 30 min is accepted, for callers' keys up to 25 h. A run waits up to
 * 50 ms for the backup, unless the backup has not acknowledged for 500 ms.
 * Messages are sent again after 200 ms; an incoming handover is dropped after
 * 60 s without progress. There is room for 65,536 records with 64 MiB of
 * responses, for 65,536 backup records (32,768 per owner) with 64 MiB, and for
 * 4,096 owner incarnations. The backup is sent 4 MiB/s in packets of 64 KiB.
 * Host, incarnation, secret, chart and wall_ms are left zero.
 */
void bw_keys_config_default(struct bw_keys_config *config);

/**
 * Initialises an empty store.
 * @return BW_OK, BW_EINVAL for an invalid or missing setting, or BW_ENOMEM
 */
enum bw_status bw_keys_init(struct bw_keys *keys,
			    const struct bw_keys_config *config,
			    struct bw_time now);

/** Frees the store. */
void bw_keys_finish(struct bw_keys *keys);

/**
 * Creates a new key for an owner. Any host of the fleet can do so.
 * @param owner host that is to run the request
 * @param incarnation of the owner, not 0
 * @param wall_ms current wall clock; the key expires validity_ms later
 * @param text receives `owner.incarnation.expiry.nonce.mac`
 * @return BW_OK, or BW_EINVAL for an empty or too long name
 */
enum bw_status bw_keys_mint(struct bw_keys *keys, const char *owner,
			    uint64_t incarnation, int64_t wall_ms,
			    char text[BW_KEYS_TEXT_MAX]);

/**
 * Parses and verifies the text form of a key. Only the owner decides whether a
 * key has expired: other hosts forward the request on BW_ESTALE as well.
 * @param wall_ms wall clock of this host
 * @param key receives the key on BW_OK and BW_ESTALE
 * @return BW_OK; BW_EINVAL when malformed; BW_EDENIED when the MAC does not
 *	match; BW_ESTALE when expired by wall_ms
 */
enum bw_status bw_keys_parse(const struct bw_keys *keys, const char *text,
			     int64_t wall_ms, struct bw_key *key);

/**
 * Hashes a key that a caller supplied, so that it can be bound to an owner.
 * @param caller_key 1 to BW_KEYS_CALLER_MAX_BYTES bytes
 * @return BW_OK, or BW_EINVAL for a bad length
 */
enum bw_status bw_keys_hash_caller_key(const struct bw_keys *keys,
				       const char *service,
				       const char *caller_key,
				       uint8_t id[BW_KEYS_ID_BYTES]);

/**
 * Creates a key from a committed binding.
 * @param id may point into the key
 * @return BW_OK, or BW_EINVAL for a bad name or a zero incarnation
 */
enum bw_status bw_keys_from_binding(const uint8_t id[BW_KEYS_ID_BYTES],
				    const char *owner, uint64_t incarnation,
				    int64_t expiry_ms, struct bw_key *key);

/**
 * Computes the request digest, by which a reuse of the key for another request
 * is detected.
 * @param body_digest digest of the body, or NULL with size 0
 */
void bw_keys_request_digest(const char *service, const char *method,
			    const char *path, const void *body_digest,
			    size_t body_digest_bytes,
			    uint8_t digest[BW_KEYS_ID_BYTES]);

/** Returns this process's wall clock: config.wall_ms plus monotonic time. */
int64_t bw_keys_wall_ms(const struct bw_keys *keys, struct bw_time now);

/**
 * Decides on one attempt. RUN creates the record and sends it to the backup.
 * The caller dispatches the request when decision.ready is set or after
 * BW_KEYS_EVENT_READY, and always calls bw_keys_finish_run, even if it never
 * dispatched. After BW_KEYS_EVENT_ENDED with outcome DONE, the caller calls
 * this again for each joined attempt to get the response.
 * @param digest of the request, from bw_keys_request_digest
 */
void bw_keys_begin(struct bw_keys *keys, const struct bw_key *key,
		   const uint8_t digest[BW_KEYS_ID_BYTES], struct bw_time now,
		   struct bw_outbox *out, struct bw_keys_decision *decision);

/**
 * Ends a run. A response whose body or headers are too large is not stored.
 * @param run handle from the decision
 * @param response stored for BW_KEYS_OUTCOME_DONE unless NULL; else NULL
 * @return BW_OK, or BW_ENOTFOUND when that run is not in progress
 */
enum bw_status bw_keys_finish_run(struct bw_keys *keys,
				  const struct bw_key *key, uint64_t run,
				  enum bw_keys_outcome outcome,
				  const struct bw_keys_response *response,
				  struct bw_time now, struct bw_outbox *out);

/**
 * Sets the backup. A new backup is sent all records except those in state
 * BW_KEYS_NEW, at a limited rate.
 * @param host "" for none
 * @param incarnation of the backup's process
 * @return BW_OK, or BW_EINVAL for a bad name, this host, or incarnation 0
 */
enum bw_status bw_keys_set_backup(struct bw_keys *keys, const char *host,
				  uint64_t incarnation, struct bw_time now);

/**
 * Decides on a resent request whose owner is unreachable: REPLAY, UNKNOWN,
 * CONFLICT or ABSENT. ABSENT sets not_run only while this host itself owns the
 * key, for example after a complete handover.
 */
void bw_keys_lookup_backup(struct bw_keys *keys, const struct bw_key *key,
			   const uint8_t digest[BW_KEYS_ID_BYTES],
			   struct bw_time now,
			   struct bw_keys_decision *decision);

/**
 * Stops new runs, and hands all records over to a successor once the runs in
 * progress have ended. May be called again with another successor. An owner
 * incarnation whose handover has been committed keeps its former successor, so
 * that it never has two.
 * @param successor "" to seal without a handover
 * @param incarnation of the successor's process
 * @return BW_OK, or BW_EINVAL for a bad name, this host, or incarnation 0
 */
enum bw_status bw_keys_seal(struct bw_keys *keys, const char *successor,
			    uint64_t incarnation);

/** Returns whether this host is sealed and has handed all records over. */
bool bw_keys_is_handed_over(const struct bw_keys *keys);

/** Returns the number of runs in progress at this host. */
uint32_t bw_keys_running_count(const struct bw_keys *keys);

/**
 * Handles a packet of BW_CHANNEL_KEYS. packet->incarnation must be the
 * sender's.
 * @return BW_OK; BW_EINVAL or BW_EVERSION if malformed or of an unknown
 *	version or type; BW_ESTALE if meant for another process or part of an
 *	outdated handover; BW_EFULL if there is no room
 */
enum bw_status bw_keys_receive(struct bw_keys *keys,
			       const struct bw_packet *packet,
			       struct bw_time now, struct bw_outbox *out);

/** Sends due messages and removes expired records. Called every 50 ms. */
enum bw_status bw_keys_tick(struct bw_keys *keys, struct bw_time now,
			    struct bw_outbox *out);

/** Fetches the next event; returns false if there is none. */
bool bw_keys_next_event(struct bw_keys *keys, struct bw_keys_event *event);

/** Adds the state of the store to a JSON dump. */
enum bw_status bw_keys_dump(const struct bw_keys *keys, json_t *into);

#endif
