/**
 * @file
 * Failure detection and membership inside one failure domain.
 *
 * Each host probes the others in random order, directly and then through
 * three others. A host that does not respond becomes suspect, then failed.
 * Changes travel on the probes; a periodic comparison of bucket hashes
 * repairs what was lost. Source: SWIM (Das, Gupta, Motivala, 2002).
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

/** Size of an address text with its final zero. */
#define BW_MEMBER_ADDRESS_MAX 64

/** Largest packet of this module, in bytes. */
#define BW_MEMBER_PACKET_MAX_BYTES 1200

/** Most hosts (with tombstones) and seeds of one failure domain. */
#define BW_MEMBER_HOSTS_MAX 512

/** Events kept for the caller; the oldest are dropped beyond it. */
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
	uint64_t revision; /**< sheet in force; only rises in a run */
	uint64_t plan; /**< plan in force; only rises in a run */
	bool leaving; /**< takes no new work */
};

/** A host as known here. */
struct bw_member_record {
	struct bw_member_host host;
	enum bw_member_state state;
	struct bw_time since; /**< when this state or incarnation was seen */
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
	uint32_t tombstone_ms; /**< kept failed or left; default 600,000 */
};

/** Kinds of event. */
enum bw_member_event_kind {
	BW_MEMBER_EVENT_JOINED, /**< first seen, restarted, or back */
	BW_MEMBER_EVENT_CHANGED, /**< new data, or suspicion refuted */
	BW_MEMBER_EVENT_SUSPECTED,
	BW_MEMBER_EVENT_FAILED,
	BW_MEMBER_EVENT_LEFT,
	BW_MEMBER_EVENT_SUPERSEDED, /**< newer process has our name */
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
	uint64_t stale_count; /**< claims of an older start or version */
	uint64_t refuted_count; /**< claims about this host refuted */
	uint64_t suspected_count; /**< suspicions raised by own probes */
	uint64_t events_dropped_count;
	uint64_t hosts_dropped_count; /**< refused, table full */
};

struct bw_member_entry; /* private */

/** Membership as seen by one host. */
struct bw_member {
	struct bw_member_config config;
	struct bw_member_seed *seeds;
	struct bw_chart chart;
	struct bw_random random;
	struct bw_member_entry *entries; /**< sorted by name; holds self */
	uint32_t entry_count;
	struct bw_time started;
	struct bw_time next_probe;
	struct bw_time next_sync;
	struct bw_time next_rejoin;
	struct bw_time
		next_numbers_announcement; /**< when own numbers may spread */
	struct bw_time
		next_sync_response; /**< next answer to differing hashes */
	struct bw_time next_urgent_gossip; /**< next news of a suspect or failed
					      host */
	bool urgent_pending; /**< there are such news */
	bool numbers_changed;
	bool superseded;
	struct {
		char target[BW_NAME_MAX]; /**< empty while none is open */
		uint64_t sequence;
		struct bw_time indirect_at;
		bool indirect_sent;
	} probe;
	uint64_t sequence;
	uint32_t rejoin_index; /**< next lost host or seed to contact */
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

/** Advertises the numbers in force; lower numbers are ignored. */
void bw_member_set_document_numbers(struct bw_member *member, uint64_t revision,
				    uint64_t plan, struct bw_time now);

/** Starts a planned leave: the host is advertised as leaving. */
void bw_member_leave(struct bw_member *member, struct bw_time now);

/**
 * Ends a planned leave: sends the state left to up to 16 hosts. The caller
 * flushes out, then stops.
 */
enum bw_status bw_member_leave_end(struct bw_member *member, struct bw_time now,
				   struct bw_outbox *out);

/**
 * Takes the oldest event.
 * @return whether there was one
 */
bool bw_member_next_event(struct bw_member *member,
			  struct bw_member_event *event);

/** Returns the record of a name (self included) or NULL. */
const struct bw_member_record *bw_member_find(const struct bw_member *member,
					      const char *name);

/** Returns the number of records, with self and tombstones. */
uint32_t bw_member_count(const struct bw_member *member);

/** Returns record index (below the count), in byte order of the names. */
const struct bw_member_record *bw_member_at(const struct bw_member *member,
					    uint32_t index);

/** Returns whether a state means that the host runs. */
bool bw_member_state_is_up(enum bw_member_state state);

/** Writes the state dump into the object into. */
enum bw_status bw_member_dump(const struct bw_member *member, json_t *into);

#endif
