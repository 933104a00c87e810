/**
 * @file
 * Records of request keys, their sets, and the messages between hosts.
 */
#ifndef BWSTEER_PRIVATE_KEYS_STORE_H
#define BWSTEER_PRIVATE_KEYS_STORE_H

#include "bwbase/codec.h"
#include "bwsteer/keys.h"

/** Version of the messages. */
#define BW_KEYS_WIRE_VERSION 1

/** Exclusive bound of wall clock values; keeps sums within int64_t. */
#define BW_KEYS_WALL_END_MS (INT64_C(1) << 52)

/** Types of message. The values are part of the wire format. */
enum bw_keys_message {
	BW_KEYS_COPY = 1, /**< records for the backup */
	BW_KEYS_COPY_ACK = 2,
	BW_KEYS_CHUNK = 3, /**< records of a handover */
	BW_KEYS_CHUNK_ACK = 4,
	BW_KEYS_COMPLETE = 5, /**< ends a handover, gives the right to run */
	BW_KEYS_COMPLETE_ACK = 6,
};

/** Events of the chart. */
enum bw_keys_chart_event {
	BW_KEYS_CHART_BEGIN,
	BW_KEYS_CHART_FINISH, /**< plus an enum bw_keys_outcome */
	BW_KEYS_CHART_EVENT_COUNT = BW_KEYS_CHART_FINISH + BW_KEYS_OUTCOME_COUNT
};

/** Actions of the chart. */
enum bw_keys_action {
	BW_KEYS_ACTION_RUN,
	BW_KEYS_ACTION_JOIN,
	BW_KEYS_ACTION_REPLAY,
	BW_KEYS_ACTION_REPORT_UNKNOWN,
	BW_KEYS_ACTION_KEEP_RESPONSE,
	BW_KEYS_ACTION_RELEASE,
	BW_KEYS_ACTION_COUNT
};

/** Standing of a set at this host. */
enum bw_keys_set_state {
	BW_KEYS_SET_OWNED, /**< this host may run its keys unless sealed */
	BW_KEYS_SET_INCOMING, /**< handover to this host in progress */
	BW_KEYS_SET_HANDED_OVER, /**< the successor owns it */
	BW_KEYS_SET_BACKUP,
	BW_KEYS_SET_STATE_COUNT
};

/** Stable names of enum bw_keys_set_state. */
extern const char *const bw_keys_set_state_string[BW_KEYS_SET_STATE_COUNT];

/** A record. */
struct bw_keys_record {
	struct bw_keys_set *set;
	uint8_t id[BW_KEYS_ID_BYTES];
	uint8_t digest[BW_KEYS_ID_BYTES];
	int64_t expiry_ms; /**< by the clock of the set */
	uint64_t version; /**< increases with each change */
	uint64_t run; /**< handle of the latest run */
	int64_t begun_ms; /**< monotonic, of the latest run */
	int64_t sent_ms; /**< monotonic, to the backup; INT64_MIN never */
	uint8_t *response; /**< headers, then body; NULL when not kept */
	uint32_t headers_bytes;
	uint32_t body_bytes;
	uint16_t status;
	uint16_t bucket; /**< of the wheel, while in_wheel */
	uint8_t kind; /**< enum bw_keys_kind */
	uint8_t state; /**< enum bw_keys_state */
	bool joined;
	bool in_wheel;
	bool in_unacked;
	GQueue *state_queue; /**< queue that holds state_link, or NULL */
	GList state_link; /**< in waiting, responses or released, by state */
	GList wheel_link;
	GList unacked_link;
};

/** All records of one owner incarnation at this host. */
struct bw_keys_set {
	char host[BW_NAME_MAX];
	uint64_t incarnation;
	enum bw_keys_set_state state;
	struct bw_keys_pool *pool;
	GHashTable *records; /**< owns the records */
	uint32_t running_count;
	/**
	 * Clock of the set: monotonic time plus offset. It never runs ahead of
	 * the owner's clock for a backup and never behind any earlier owner's
	 * for an owned set, so that a key whose record an earlier owner
	 * removed is expired here as well.
	 */
	int64_t wall_offset_ms;

	/* outgoing handover */
	char successor[BW_NAME_MAX];
	uint64_t successor_incarnation;
	bool committed; /**< declared complete to the successor */
	uint64_t session;
	GPtrArray *handover_records; /**< records to send; NULL while not
					started */
	uint32_t chunk_begin; /**< first record of the chunk in flight */
	uint32_t chunk_end; /**< first record after it */
	uint64_t chunk_index; /**< number of the chunk in flight */
	int64_t sent_ms;

	/* incoming handover */
	char sender[BW_NAME_MAX];
	uint64_t sender_incarnation;
	uint64_t sender_session;
	uint64_t next_chunk;
	int64_t received_ms;
};

/** Fields of a record as sent; pointers refer to the packet. */
struct bw_keys_wire_record {
	struct bw_key key; /**< owner is not part of it */
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
/** Frees a set that is in no table, with all its records. */
void bw_keys_set_free(struct bw_keys *keys, struct bw_keys_set *set);
/** Removes the set from its table and frees it. */
void bw_keys_table_remove(struct bw_keys *keys, GHashTable *table,
			  struct bw_keys_set *set);
struct bw_keys_record *bw_keys_record_find(const struct bw_keys_set *set,
					   const struct bw_key *key);
/** Returns a record in state new, or NULL when the pool is full. */
struct bw_keys_record *bw_keys_record_add(struct bw_keys *keys,
					  struct bw_keys_set *set,
					  const struct bw_key *key);
void bw_keys_record_remove(struct bw_keys *keys, struct bw_keys_record *record);
/** Moves the record to the queue of its state; NULL for none. */
void bw_keys_record_enqueue(struct bw_keys_record *record, GQueue *queue);
/** Keeps a copy; drops older responses of the pool for room. */
bool bw_keys_record_store_response(struct bw_keys *keys,
				   struct bw_keys_record *record,
				   const struct bw_keys_response *response);
void bw_keys_record_drop_response(struct bw_keys_record *record);
void bw_keys_record_get_response(const struct bw_keys_record *record,
				 struct bw_keys_response *response);
/** Makes a set lose its records, for example for a new handover. */
void bw_keys_set_clear(struct bw_keys *keys, struct bw_keys_set *set);
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
/** Finds the set that this host owns or has owned. */
struct bw_keys_set *bw_keys_find_set(const struct bw_keys *keys,
				     const struct bw_key *key);

/* keys_wire.c */
void bw_keys_write_header(struct bw_writer *writer, uint32_t extra_fields,
			  enum bw_keys_message type, uint64_t receiver,
			  const struct bw_keys_set *set);
void bw_keys_write_record(struct bw_writer *writer,
			  const struct bw_keys_record *record);
/** Returns the size of a record in a packet, at most. */
uint32_t bw_keys_wire_bytes(const struct bw_keys_record *record);
/** Reads one record; returns false when it is malformed. */
bool bw_keys_read_record(struct bw_reader *reader,
			 struct bw_keys_wire_record *wire);
int64_t bw_keys_read_wall_ms(struct bw_reader *reader);
/** Copies the fields into a record whose version is lower. */
void bw_keys_record_update(struct bw_keys *keys, struct bw_keys_record *record,
			   const struct bw_keys_wire_record *wire);
enum bw_status bw_keys_send(struct bw_keys *keys, const char *peer,
			    const struct bw_writer *writer,
			    struct bw_outbox *out);

/* keys_copy.c */
/** Marks a changed record for the backup. */
void bw_keys_copy_enqueue(struct bw_keys *keys, struct bw_keys_record *record);
/** Sends one marked record at once. */
void bw_keys_copy_send(struct bw_keys *keys, struct bw_keys_record *record,
		       struct bw_time now, struct bw_outbox *out);
void bw_keys_copy_enqueue_all(struct bw_keys *keys);
void bw_keys_copy_tick(struct bw_keys *keys, struct bw_time now,
		       struct bw_outbox *out);
/** Tells whether runs need not wait for the backup. */
bool bw_keys_backup_unreachable(const struct bw_keys *keys, struct bw_time now);
enum bw_status bw_keys_receive_copy(struct bw_keys *keys,
				    const struct bw_packet *packet,
				    struct bw_reader *reader,
				    struct bw_time now, struct bw_outbox *out);
enum bw_status bw_keys_receive_copy_ack(struct bw_keys *keys,
					const struct bw_packet *packet,
					struct bw_reader *reader);

/* keys_handover.c */
void bw_keys_handover_reset(struct bw_keys_set *set);
void bw_keys_handover_tick(struct bw_keys *keys, struct bw_time now,
			   struct bw_outbox *out);
enum bw_status
bw_keys_receive_handover(struct bw_keys *keys, const struct bw_packet *packet,
			 enum bw_keys_message type, struct bw_reader *reader,
			 struct bw_time now, struct bw_outbox *out);

#endif
