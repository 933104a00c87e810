/**
 * @file
 * Internals of the distribute module: documents, peers and the wire format.
 */
#ifndef PRIVATE_DISTRIBUTE_H
#define PRIVATE_DISTRIBUTE_H

#include "bwbase/codec.h"
#include "bwmember/distribute.h"

/** Version of the wire format. */
#define DISTRIBUTE_WIRE_VERSION 1

/** Maximum number of peers whose versions are tracked. */
#define DISTRIBUTE_PEERS_MAX 512

/** Maximum number of requests waiting for tokens. */
#define DISTRIBUTE_REQUESTS_MAX 512

/** Maximum number of earlier contents kept as bases of deltas. */
#define DISTRIBUTE_HISTORY_MAX 16

/** Maximum number of encodings kept for transfers, and of their bytes. */
#define DISTRIBUTE_ENCODINGS_MAX 32
#define DISTRIBUTE_ENCODINGS_BYTES (2 * 1024 * 1024)

/** Age of the last digest from which on its sender is no source, in ms. */
#define DISTRIBUTE_PEER_FRESH_MS 5000

/** Types of packet; the values are part of the wire format. */
enum distribute_type {
	DISTRIBUTE_DIGEST = 1, /**< numbers, hashes, age of confirmation */
	DISTRIBUTE_REQUEST = 2, /**< request for content from an offset on */
	DISTRIBUTE_FULL = 3, /**< a chunk of a full copy */
	DISTRIBUTE_DELTA = 4, /**< a complete delta */
	DISTRIBUTE_PIECE = 5 /**< a piece of an encoding */
};

/** Number and hash, which identify a content. */
struct distribute_version {
	uint64_t number; /**< 0 for none */
	uint8_t hash[BW_DOCUMENT_HASH_BYTES];
};

/** Identifies an encoding; any host that has both contents makes the same. */
struct distribute_encoding_id {
	struct distribute_version target;
	struct distribute_version base; /**< number 0: a whole copy */
};

/** A content as it is transferred: compressed, as a difference or whole. */
struct distribute_encoding {
	struct distribute_encoding_id id;
	uint32_t target_bytes; /**< size of the content */
	uint32_t plain_bytes; /**< size before compression */
	struct bw_buffer packed;
	uint64_t last_use; /**< encoding_use at that time */
};

/** One version of a document with its content. */
struct distribute_content {
	struct distribute_version version;
	uint8_t *bytes;
	uint32_t size_bytes;
	struct bw_buffer delta; /**< to the content in force, if computed */
	bool delta_tried;
	bool delta_unusable; /**< too large */
};

/** A transfer to this host, by requests. */
struct distribute_fetch {
	bool active;
	struct distribute_version target;
	char peer[BW_NAME_MAX];
	struct bw_buffer received; /**< of a copy in chunks */
	uint32_t total_bytes;
	struct distribute_encoding encoding; /**< of a transfer in pieces;
						packed has what arrived */
	uint32_t packed_bytes; /**< size of packed when complete */
	bool whole_copy; /**< a difference did not fit */
	bool asked; /**< a request is not answered */
	struct bw_time asked_at;
	struct bw_time next_request; /**< if not asked */
	struct bw_time deadline;
	uint32_t tries;
};

/** State of one document. */
struct bw_distribute_document {
	struct distribute_content current;
	struct distribute_content history[DISTRIBUTE_HISTORY_MAX]; /**< newest
								      first */
	uint32_t history_count;
	struct distribute_encoding encodings[DISTRIBUTE_ENCODINGS_MAX];
	uint32_t encoding_count;
	struct distribute_fetch fetch;
	bool push_pending;
	bool event_pending;
	char source[BW_NAME_MAX]; /**< sender of current, or self */
	bool conflict_pending;
	struct distribute_version conflict; /**< last one reported */
	char conflict_peer[BW_NAME_MAX];
};

/**
 * State known about another host. The versions are those that it last reported
 * or that this host last pushed to it; a push may have been lost.
 */
struct bw_distribute_peer {
	char name[BW_NAME_MAX];
	bool is_control;
	struct distribute_version versions[BW_DOCUMENT_COUNT]; /**< estimate */
	bool has_confirmation;
	struct bw_time confirmed; /**< earliest possible confirmation time */
	struct distribute_version confirmed_versions[BW_DOCUMENT_COUNT];
	bool has_timestamp;
	int64_t timestamp_ms; /**< clock of the peer in its newest digest */
	struct bw_time timestamp_received;
	struct bw_time seen;
	struct bw_time backoff_until; /**< no requests until then */
};

/** A request of another host, waiting for tokens. */
struct bw_distribute_request {
	char peer[BW_NAME_MAX];
	enum bw_document document;
	uint64_t target_number; /**< requested */
	struct distribute_version base; /**< in force at the peer */
	uint32_t offset;
	bool pieces; /**< the peer takes pieces; earlier versions don't */
	struct distribute_encoding_id encoding; /**< that it has a part of */
	uint32_t piece_offset; /**< size of that part */
	uint32_t piece_bytes;
};

/** Returns whether two versions are the same. */
bool distribute_same_version(const struct distribute_version *a,
			     const struct distribute_version *b);

/** Hashes a content. */
void distribute_hash(const uint8_t *bytes, size_t size_bytes,
		     uint8_t hash[BW_DOCUMENT_HASH_BYTES]);

/** Finds or adds a peer; replaces the least recently seen one when full. */
struct bw_distribute_peer *distribute_peer(struct bw_distribute *distribute,
					   const char *name);

/**
 * Puts a content in force; takes ownership of bytes in every case.
 * @return BW_OK; BW_ESTALE for a lower number; BW_EEXIST for the same
 *	content; BW_ECONFLICT for the same number with another hash
 */
enum bw_status distribute_install(struct bw_distribute *distribute,
				  enum bw_document document,
				  const struct distribute_version *version,
				  uint8_t *bytes, uint32_t size_bytes,
				  const char *peer);

/** Reports a version with the number in force but another hash, once. */
void distribute_check_conflict(struct bw_distribute *distribute,
			       enum bw_document document,
			       const struct distribute_version *version,
			       const char *peer);

/** Finds the content of a number in force or in the history. */
struct distribute_content *
distribute_find_content(struct bw_distribute_document *document,
			uint64_t number);

/** Adopts the newest confirmation that applies to the documents in force. */
void distribute_adopt_confirmation(struct bw_distribute *distribute,
				   struct bw_time now);

/**
 * Chooses the host from which to request a document.
 * @return NULL when no credible host has a newer version
 */
struct bw_distribute_peer *
distribute_choose_source(struct bw_distribute *distribute,
			 enum bw_document document, struct bw_time now);

/** Sends a digest: numbers, hashes and the age of the confirmation. */
enum bw_status distribute_send_digest(struct bw_distribute *distribute,
				      const char *peer, struct bw_time now,
				      struct bw_outbox *out);

/** Pushes a change to one receiver as a delta, or sends it a digest. */
enum bw_status distribute_push(struct bw_distribute *distribute,
			       enum bw_document document, const char *peer,
			       struct bw_time now, struct bw_outbox *out);

/** Starts or continues transfers to this host. */
enum bw_status distribute_fetch(struct bw_distribute *distribute,
				struct bw_time now, struct bw_outbox *out);

/** Serves waiting requests while tokens last. */
enum bw_status distribute_serve(struct bw_distribute *distribute,
				struct bw_time now, struct bw_outbox *out);

/** Handles a REQUEST, FULL or DELTA packet after its type. */
enum bw_status distribute_receive_transfer(struct bw_distribute *distribute,
					   enum distribute_type type,
					   const char *peer,
					   struct bw_reader *reader,
					   struct bw_time now,
					   struct bw_outbox *out);

/** Sends a requested piece, or else nothing or a digest. */
enum bw_status
distribute_send_piece(struct bw_distribute *distribute,
		      const struct bw_distribute_request *request,
		      struct bw_time now, struct bw_outbox *out);

/**
 * Handles a PIECE packet after its type and document.
 * @param complete receives whether content is a complete document
 * @param id receives the encoding that the piece belongs to
 */
enum bw_status distribute_receive_piece(struct bw_distribute *distribute,
					enum bw_document document,
					struct bw_reader *reader,
					bool *complete,
					struct distribute_encoding_id *id,
					struct bw_buffer *content);

/** Forgets what arrived of a transfer. */
void distribute_clear_fetch(struct distribute_fetch *fetch);

/** Frees the encodings of a document. */
void distribute_clear_encodings(struct bw_distribute_document *document);

/** Writes and reads an identification of an encoding. */
void distribute_write_encoding_id(struct bw_writer *writer,
				  const struct distribute_encoding_id *id);
void distribute_read_encoding_id(struct bw_reader *reader,
				 struct distribute_encoding_id *id);

/** Writes and reads a version. */
void distribute_write_version(struct bw_writer *writer,
			      const struct distribute_version *version);
void distribute_read_version(struct bw_reader *reader,
			     struct distribute_version *version);

#endif
