/**
 * @file
 * Records of request keys, grouped by owner, and the messages between hosts.
 */
#ifndef BWSTEER_PRIVATE_KEYS_STORE_H
#define BWSTEER_PRIVATE_KEYS_STORE_H

#include "bwbase/codec.h"
#include "bwsteer/keys.h"

/** Version of the message format. */
#define BW_KEYS_WIRE_VERSION 1

/** Wall clock values are below this bound, so that sums fit in int64_t. */
#define BW_KEYS_WALL_END_MS (INT64_C(1) << 52)

/** Message types. The values are part of the wire format. */
enum bw_keys_message {
	BW_KEYS_COPY = 1, /**< copies of records for the backup */
	BW_KEYS_COPY_ACK = 2,
	BW_KEYS_CHUNK = 3, /**< records of a handover */
	BW_KEYS_CHUNK_ACK = 4,
	BW_KEYS_COMPLETE = 5, /**< ends a handover; changes the owner */
	BW_KEYS_COMPLETE_ACK = 6,
};

/** Events of the state chart. */
enum bw_keys_chart_event {
	BW_KEYS_CHART_BEGIN,
	BW_KEYS_CHART_FINISH, /**< add the enum bw_keys_outcome */
	BW_KEYS_CHART_EVENT_COUNT = BW_KEYS_CHART_FINISH + BW_KEYS_OUTCOME_COUNT
};

/** Actions of the state chart. */
enum bw_keys_action {
	BW_KEYS_ACTION_RUN,
	BW_KEYS_ACTION_JOIN,
	BW_KEYS_ACTION_REPLAY,
	BW_KEYS_ACTION_REPORT_UNKNOWN,
	BW_KEYS_ACTION_KEEP_RESPONSE,
	BW_KEYS_ACTION_RELEASE,
	BW_KEYS_ACTION_COUNT
};

/** Role of this host for a set of records. */
enum bw_keys_set_state {
	BW_KEYS_SET_OWNED, /**< this host may run the keys unless sealed */
	BW_KEYS_SET_INCOMING, /**< handover to this host in progress */
	BW_KEYS_SET_HANDED_OVER, /**< the successor owns the keys */
	BW_KEYS_SET_BACKUP,
	BW_KEYS_SET_STATE_COUNT
};

/** Stable names of enum bw_keys_set_state. */
extern const char *const bw_keys_set_state_string[BW_KEYS_SET_STATE_COUNT];

/** State of one request key. */
struct bw_keys_record {
	struct bw_keys_set *set;
	uint8_t id[BW_KEYS_ID_BYTES];
	uint8_t digest[BW_KEYS_ID_BYTES];
	int64_t expiry_ms; /**< by the wall clock of the set */
	uint64_t version; /**< increases with each change; orders copies */
	uint64_t run; /**< handle of the latest run */
	int64_t begun_ms; /**< monotonic; start of the latest run */
	int64_t sent_ms; /**< monotonic; last copy; INT64_MIN: send at once */
	uint8_t *response; /**< headers, then body; NULL if not stored */
	uint32_t headers_bytes;
	uint32_t body_bytes;
	uint16_t status;
	uint16_t bucket; /**< bucket of the timing wheel if in_wheel */
	uint8_t kind; /**< enum bw_keys_kind */
	uint8_t state; /**< enum bw_keys_state */
	bool joined; /**< an attempt has joined the latest run */
	bool in_wheel;
	bool in_unacked;
	GQueue *state_queue; /**< queue that state_link is in, or NULL */
	GList state_link; /**< in waiting, responses or released */
	GList wheel_link;
	GList unacked_link;
};

/** The records of one owner incarnation at this host. */
struct bw_keys_set {
	char host[BW_NAME_MAX];
	uint64_t incarnation;
	enum bw_keys_set_state state;
	struct bw_keys_pool *pool;
	GHashTable *records; /**< owns the records */
	uint32_t running_count;
	/**
	 * Wall clock of the set minus monotonic time. The clock of a backup
	 * set is never ahead of the owner's. The clock of an owned set is
	 * never behind that of any earlier owner, so that a key whose record
	 * an earlier owner has removed has expired here as well.
	 */
	int64_t wall_offset_ms;

	/* outgoing handover */
	char successor[BW_NAME_MAX];
	uint64_t successor_incarnation;
	bool committed; /**< COMPLETE sent; the successor may own the keys */
	uint64_t session;
	GPtrArray *handover_records; /**< to send; NULL: not started */
	uint32_t chunk_begin; /**< first record of the chunk in flight */
	uint32_t chunk_end; /**< first record after that chunk */
	uint64_t chunk_index; /**< number of the chunk in flight */
	int64_t sent_ms; /**< monotonic; last message; INT64_MIN: send now */

	/* incoming handover */
	char sender[BW_NAME_MAX];
	uint64_t sender_incarnation;
	uint64_t sender_session;
	uint64_t next_chunk;
	int64_t received_ms;
};

/** A record read from a packet; its pointers refer to the packet. */
struct bw_keys_wire_record {
	struct bw_key key; /**< without owner and incarnation */
	const uint8_t *digest;
	uint64_t version;
	uint8_t state;
	bool has_response;
	struct bw_keys_response response;
};

/* keys_store.c */
GHashTable *bw_keys_table_new(void);
struct bw_keys_set *bw_keys_table_find(GHashTable *table, const char *host,
				       uint64_t incarnation);
struct bw_keys_set *bw_keys_table_add(GHashTable *table,
				      struct bw_keys_pool *pool,
				      const char *host, uint64_t incarnation,
				      enum bw_keys_set_state state);
/** Frees a set that is in no table, and all its records. */
void bw_keys_set_free(struct bw_keys *keys, struct bw_keys_set *set);
/** Removes the set from its table and frees it. */
void bw_keys_table_remove(struct bw_keys *keys, GHashTable *table,
			  struct bw_keys_set *set);
struct bw_keys_record *bw_keys_record_find(const struct bw_keys_set *set,
					   const struct bw_key *key);
/** Adds a record in state new; returns NULL if the pool is full. */
struct bw_keys_record *bw_keys_record_add(struct bw_keys *keys,
					  struct bw_keys_set *set,
					  const struct bw_key *key);
void bw_keys_record_remove(struct bw_keys *keys, struct bw_keys_record *record);
/** Moves the record to another queue of its state, or to none for NULL. */
void bw_keys_record_enqueue(struct bw_keys_record *record, GQueue *queue);
/**
 * Stores a copy of the response. Drops the oldest responses of the pool to make
 * room; returns false if the response is too large or memory runs out.
 */
bool bw_keys_record_store_response(struct bw_keys *keys,
				   struct bw_keys_record *record,
				   const struct bw_keys_response *response);
void bw_keys_record_drop_response(struct bw_keys_record *record);
void bw_keys_record_get_response(const struct bw_keys_record *record,
				 struct bw_keys_response *response);
/** Frees all records of a set, for example before a new handover. */
void bw_keys_set_clear(struct bw_keys *keys, struct bw_keys_set *set);
/** Returns the wall clock of the set; see wall_offset_ms. */
int64_t bw_keys_owner_wall_ms(const struct bw_keys_set *set,
			      struct bw_time now);
void bw_keys_wheel_insert(struct bw_keys *keys, struct bw_keys_record *record);
void bw_keys_wheel_advance(struct bw_keys *keys, struct bw_time now);

/* keys.c */
void bw_keys_push_event(struct bw_keys *keys,
			const struct bw_keys_event *event);
void bw_keys_push_run_event(struct bw_keys *keys, enum bw_keys_event_kind kind,
			    const struct bw_keys_record *record,
			    enum bw_keys_outcome outcome);
void bw_keys_make_ready(struct bw_keys *keys, struct bw_keys_record *record);

/* keys_decide.c */
/** Finds the key's set if this host owns it or has owned it. */
struct bw_keys_set *bw_keys_find_set(const struct bw_keys *keys,
				     const struct bw_key *key);

/* keys_wire.c */
/** Starts a message with extra_fields fields after the header. */
void bw_keys_write_header(struct bw_writer *writer, uint32_t extra_fields,
			  enum bw_keys_message type, uint64_t receiver,
			  const struct bw_keys_set *set);
void bw_keys_write_record(struct bw_writer *writer,
			  const struct bw_keys_record *record);
/** Returns an upper bound on the encoded size of a record. */
uint32_t bw_keys_wire_bytes(const struct bw_keys_record *record);
/** Reads one record; returns false if it is malformed. */
bool bw_keys_read_record(struct bw_reader *reader,
			 struct bw_keys_wire_record *wire);
int64_t bw_keys_read_wall_ms(struct bw_reader *reader);
/** Replaces the contents of a record, but never shortens its lifetime. */
void bw_keys_record_update(struct bw_keys *keys, struct bw_keys_record *record,
			   const struct bw_keys_wire_record *wire);
enum bw_status bw_keys_send(struct bw_keys *keys, const char *peer,
			    const struct bw_writer *writer,
			    struct bw_outbox *out);

/* keys_copy.c */
/** Queues a changed record to be sent to the backup. */
void bw_keys_copy_enqueue(struct bw_keys *keys, struct bw_keys_record *record);
/** Sends one queued record now, unless its response exceeds the send rate. */
void bw_keys_copy_send(struct bw_keys *keys, struct bw_keys_record *record,
		       struct bw_time now, struct bw_outbox *out);
/** Queues all records except new ones, for a new backup. */
void bw_keys_copy_enqueue_all(struct bw_keys *keys);
void bw_keys_copy_tick(struct bw_keys *keys, struct bw_time now,
		       struct bw_outbox *out);
/** Returns whether runs need not wait for the backup's ack. */
bool bw_keys_backup_unreachable(const struct bw_keys *keys, struct bw_time now);
enum bw_status bw_keys_receive_copy(struct bw_keys *keys,
				    const struct bw_packet *packet,
				    struct bw_reader *reader,
				    struct bw_time now, struct bw_outbox *out);
enum bw_status bw_keys_receive_copy_ack(struct bw_keys *keys,
					const struct bw_packet *packet,
					struct bw_reader *reader);

/* keys_handover.c */
/** Discards the state of an outgoing handover; the next tick starts anew. */
void bw_keys_handover_reset(struct bw_keys_set *set);
void bw_keys_handover_tick(struct bw_keys *keys, struct bw_time now,
			   struct bw_outbox *out);
enum bw_status
bw_keys_receive_handover(struct bw_keys *keys, const struct bw_packet *packet,
			 enum bw_keys_message type, struct bw_reader *reader,
			 struct bw_time now, struct bw_outbox *out);

#endif
