/**
 * @file
 * Failure detection and membership inside one failure domain.
 *
 * Each host probes the others in random order, directly and then indirectly
 * through three others. A host that does not respond becomes suspect, then
 * failed. Changes are piggybacked on the probes; a periodic exchange of bucket
 * hashes repairs lost updates. Source: SWIM (Das, Gupta, Motivala, 2002).
 */
#ifndef BWMEMBER_MEMBER_H
#define BWMEMBER_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/chart.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwbase/status.h"

/** Size of an address string with its terminating null byte. */
#define BW_MEMBER_ADDRESS_MAX 64

/** Maximum size of a packet of this module, in bytes. */
#define BW_MEMBER_PACKET_MAX_BYTES 1200

/** Maximum hosts of a failure domain (with tombstones); also of seeds. */
#define BW_MEMBER_HOSTS_MAX 512

/** Maximum number of queued events; on overflow the oldest is dropped. */
#define BW_MEMBER_EVENTS_MAX 1024

/** State of a host; the values are part of the wire format. */
enum bw_member_state {
	BW_MEMBER_ALIVE,
	BW_MEMBER_SUSPECT,
	BW_MEMBER_LEAVING,
	BW_MEMBER_FAILED,
	BW_MEMBER_LEFT,
	BW_MEMBER_STATE_COUNT
};

/** Names of enum bw_member_state, as in charts/member.yaml. */
extern const char *const bw_member_state_string[BW_MEMBER_STATE_COUNT];

/** What a host advertises about itself. */
struct bw_member_host {
	char name[BW_NAME_MAX];
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	char address[BW_MEMBER_ADDRESS_MAX]; /**< transport address */
	char entry_address[BW_MEMBER_ADDRESS_MAX];
	uint16_t entry_port;
	uint16_t operator_port;
	bool is_control;
	int64_t start_wall_ms; /**< wall clock at start; orders incarnations */
	uint64_t incarnation; /**< random, not zero; breaks ties of start */
	uint64_t version; /**< raised by the host with each change */
	uint64_t revision; /**< sheet in force; never decreases in a run */
	uint64_t plan; /**< plan in force; never decreases in a run */
	bool leaving; /**< accepts no new work */
};

/** Local view of a host. */
struct bw_member_record {
	struct bw_member_host host;
	enum bw_member_state state;
	struct bw_time since; /**< time of this state or incarnation */
};

/** A host to contact at start. */
struct bw_member_seed {
	char name[BW_NAME_MAX];
	char domain[BW_NAME_MAX];
	char address[BW_MEMBER_ADDRESS_MAX];
	bool is_control;
};

/** Settings; a zero duration selects its default. */
struct bw_member_config {
	struct bw_member_host self; /**< version, revision, plan may be 0 */
	const struct bw_member_seed *seeds; /**< copied; all domains */
	uint32_t seed_count; /**< at most BW_MEMBER_HOSTS_MAX */
	const char *chart_path; /**< NULL selects charts/member.yaml */
	uint64_t random_seed; /**< 0 selects system entropy */
	uint32_t probe_interval_ms; /**< default 500 */
	uint32_t probe_timeout_ms; /**< default 200 */
	uint32_t suspicion_ms; /**< default 3,000 */
	uint32_t sync_interval_ms; /**< bucket hashes; default 2,000 */
	uint32_t rejoin_interval_ms; /**< failed hosts, seeds; default 2,000 */
	uint32_t tombstone_ms; /**< failed, left hosts; default 600,000 */
};

/** Kinds of event. */
enum bw_member_event_kind {
	BW_MEMBER_EVENT_JOINED, /**< first seen, restarted or recovered */
	BW_MEMBER_EVENT_CHANGED, /**< new data or refuted suspicion */
	BW_MEMBER_EVENT_SUSPECTED,
	BW_MEMBER_EVENT_FAILED,
	BW_MEMBER_EVENT_LEFT,
	BW_MEMBER_EVENT_SUPERSEDED, /**< a newer process uses this name */
	BW_MEMBER_EVENT_COUNT
};

/** Names of enum bw_member_event_kind; the first five are chart actions. */
extern const char *const bw_member_event_string[BW_MEMBER_EVENT_COUNT];

/** One change of membership. */
struct bw_member_event {
	enum bw_member_event_kind kind;
	struct bw_member_record record; /**< as of the event */
};

/** Counters. */
struct bw_member_stats {
	uint64_t malformed_count; /**< packets dropped by the decoder */
	uint64_t stale_count; /**< claims with an older start or version */
	uint64_t refuted_count; /**< claims about this host refuted */
	uint64_t suspected_count; /**< suspicions raised by own probes */
	uint64_t events_dropped_count;
	uint64_t hosts_dropped_count; /**< rejected, table full */
};

struct bw_member_entry; /* private */

/** Membership state of one host. */
struct bw_member {
	struct bw_member_config config;
	struct bw_member_seed *seeds;
	struct bw_chart chart;
	struct bw_random random;
	struct bw_member_entry *entries; /**< sorted by name; includes self */
	uint32_t entry_count;
	struct bw_time started;
	struct bw_time next_probe;
	struct bw_time next_sync;
	struct bw_time next_rejoin;
	struct bw_time next_numbers_announcement; /**< earliest */
	struct bw_time next_sync_response; /**< earliest, to differing hashes */
	struct bw_time next_urgent_gossip; /**< earliest */
	bool urgent_pending; /**< a host became suspect or failed */
	bool document_numbers_changed;
	bool superseded;
	struct {
		char target[BW_NAME_MAX]; /**< empty: no pending probe */
		uint64_t sequence;
		struct bw_time indirect_at;
		bool indirect_sent;
	} probe;
	uint64_t sequence;
	uint32_t rejoin_index; /**< next failed host or absent seed */
	uint64_t probe_round; /**< every host is probed once a round */
	struct bw_member_event *events; /**< ring */
	uint32_t event_first;
	uint32_t event_count;
	struct bw_member_stats stats;
};

/**
 * Initialises membership; the only known host is self.
 * @return BW_OK; BW_EINVAL for a bad config; BW_ENOMEM; the chart's status
 */
enum bw_status bw_member_init(struct bw_member *member,
			      const struct bw_member_config *config,
			      struct bw_time now);

/** Frees the memory. */
void bw_member_finish(struct bw_member *member);

/**
 * Handles a packet of channel BW_CHANNEL_MEMBER.
 * @return BW_OK; BW_EINVAL or BW_EVERSION (counted); BW_ENOMEM
 */
enum bw_status bw_member_receive(struct bw_member *member,
				 const struct bw_packet *packet,
				 struct bw_time now, struct bw_outbox *out);

/** Runs timers; to be called every 50 ms. */
enum bw_status bw_member_tick(struct bw_member *member, struct bw_time now,
			      struct bw_outbox *out);

/** Advertises the document numbers in force; lower numbers are ignored. */
void bw_member_set_document_numbers(struct bw_member *member, uint64_t revision,
				    uint64_t plan, struct bw_time now);

/** Starts a planned leave: advertises this host as leaving. */
void bw_member_leave(struct bw_member *member, struct bw_time now);

/**
 * Ends a planned leave: sends the state left to up to 16 hosts. The caller
 * sends the packets in out, then stops.
 */
enum bw_status bw_member_leave_end(struct bw_member *member, struct bw_time now,
				   struct bw_outbox *out);

/**
 * Removes the oldest event from the queue.
 * @return whether there was an event
 */
bool bw_member_next_event(struct bw_member *member,
			  struct bw_member_event *event);

/** Returns the record of a host (self included); NULL if unknown. */
const struct bw_member_record *bw_member_find(const struct bw_member *member,
					      const char *name);

/** Returns the number of records, with self and tombstones. */
uint32_t bw_member_count(const struct bw_member *member);

/** Returns a record by index (below the count), in byte order of names. */
const struct bw_member_record *bw_member_at(const struct bw_member *member,
					    uint32_t index);

/** Returns whether a state means that the host runs. */
bool bw_member_state_is_up(enum bw_member_state state);

/** Adds the state dump to the JSON object into. */
enum bw_status bw_member_dump(const struct bw_member *member, json_t *into);

#endif
