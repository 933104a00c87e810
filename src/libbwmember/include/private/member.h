/**
 * @file
 * Internals of the member module: table entries and the wire format.
 */
#ifndef PRIVATE_MEMBER_H
#define PRIVATE_MEMBER_H

#include "bwbase/codec.h"
#include "bwmember/member.h"

/** Number of hash buckets of a table comparison. */
#define MEMBER_BUCKETS 16

/** Maximum number of full records per packet. */
#define MEMBER_UPDATES_MAX 8

/** Document number entries per packet; limits the idle bandwidth. */
#define MEMBER_DOCUMENT_NUMBERS_MAX 8

/** Packet types; the values are part of the wire format. */
enum member_type {
	MEMBER_PING = 1, /**< name: host that waits for the ACK, or "" */
	MEMBER_ACK = 2, /**< name: host to forward to, or "" */
	MEMBER_PING_REQUEST = 3, /**< name: host to ping */
	MEMBER_HASHES = 4, /**< reply: send own hashes if they differ */
	MEMBER_RECORDS = 5 /**< records of differing buckets */
};

/** Events of charts/member.yaml. */
enum member_chart_event {
	CLAIM_ALIVE,
	CLAIM_LEAVING,
	CLAIM_SUSPECT,
	CLAIM_FAILED,
	CLAIM_LEFT,
	SUSPICION_EXPIRED,
	CHART_EVENT_COUNT
};

/** One host in the table. */
struct bw_member_entry {
	struct bw_member_record record;
	struct bw_time suspect_until;
	uint32_t record_sends_left; /**< remaining sends of the record */
	uint32_t numbers_sends_left; /**< remaining sends of numbers */
	uint64_t probe_round;
};

/** Document numbers in force on one host. */
struct member_document_numbers {
	char name[BW_NAME_MAX];
	uint64_t incarnation;
	uint64_t revision;
	uint64_t plan;
};

/** A decoded packet. */
struct member_message {
	enum member_type type;
	uint64_t sequence;
	char name[BW_NAME_MAX];
	bool reply;
	struct bw_member_record self;
	uint64_t hashes[MEMBER_BUCKETS];
	bool has_hashes;
	struct bw_member_record updates[2 * MEMBER_UPDATES_MAX];
	uint32_t update_count;
	struct member_document_numbers numbers[MEMBER_DOCUMENT_NUMBERS_MAX];
	uint32_t numbers_count;
};

/** Finds an entry by name; NULL if there is none. */
struct bw_member_entry *member_find(const struct bw_member *member,
				    const char *name);

/** Returns the entry of this host. */
struct bw_member_entry *member_self(const struct bw_member *member);

/** Returns the bucket of a name. */
uint32_t member_bucket(const char *name);

/** Hashes the records of hosts that are up, by bucket. */
void member_hash(const struct bw_member *member,
		 uint64_t hashes[MEMBER_BUCKETS]);

/**
 * Sends a packet with pending updates. The record of the peer comes first if
 * it is suspect, failed or left here.
 */
enum bw_status member_send(struct bw_member *member, struct bw_outbox *out,
			   const char *peer, enum member_type type,
			   uint64_t sequence, const char *name, bool reply);

/** Sends all records of the marked buckets, in as many packets as needed. */
enum bw_status member_send_buckets(struct bw_member *member,
				   struct bw_outbox *out, const char *peer,
				   const bool marked[MEMBER_BUCKETS]);

/** Decodes a packet. @return BW_OK, BW_EINVAL or BW_EVERSION */
enum bw_status member_decode(const struct bw_member *member,
			     const struct bw_packet *packet,
			     struct member_message *message);

/** Adds an entry in name order; NULL (counted) when the table is full. */
struct bw_member_entry *member_insert(struct bw_member *member,
				      const char *name);

/** Queues an event; drops the oldest (counted) when the queue is full. */
void member_push_event(struct bw_member *member, enum bw_member_event_kind kind,
		       const struct bw_member_record *record);

/** Returns the number of significant bits of count. */
uint32_t member_bit_count(uint32_t count);

/** Returns how many times a changed record is sent. */
uint32_t member_gossip_limit(const struct bw_member *member);

/** Merges a claim about any host, this one included. */
void member_merge(struct bw_member *member,
		  const struct bw_member_record *claim, struct bw_time now);

/** Merges document numbers; they never decrease within an incarnation. */
void member_merge_document_numbers(
	struct bw_member *member,
	const struct member_document_numbers *numbers);

/** Returns whether a claim replaces the known record. */
bool member_claim_wins(const struct bw_member_record *claim,
		       const struct bw_member_record *known);

/** Applies an event of the chart and queues the resulting event. */
void member_change_state(struct bw_member *member,
			 struct bw_member_entry *entry,
			 enum member_chart_event event, bool restarted,
			 struct bw_time now);

/** Fails suspects and removes tombstones whose time has expired. */
void member_expire(struct bw_member *member, struct bw_time now);

/** Sends direct and indirect probes; suspects hosts that did not respond. */
enum bw_status member_probe(struct bw_member *member, struct bw_time now,
			    struct bw_outbox *out);

/**
 * Sends new suspect and failed states to some hosts immediately. Waiting for
 * the next probes would add seconds to the detection time.
 */
enum bw_status member_gossip_urgent(struct bw_member *member,
				    struct bw_time now, struct bw_outbox *out);

/** Contacts failed hosts and absent seeds. */
enum bw_status member_rejoin(struct bw_member *member, struct bw_time now,
			     struct bw_outbox *out);

/** Returns a random host that is up, not self and not except; or NULL. */
struct bw_member_entry *member_pick_random_host(struct bw_member *member,
						const char *except);

/** Sends the records of the buckets whose hashes differ. */
enum bw_status member_handle_hashes(struct bw_member *member, const char *peer,
				    const struct member_message *message,
				    struct bw_time now, struct bw_outbox *out);

#endif
