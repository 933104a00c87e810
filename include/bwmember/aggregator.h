/**
 * @file
 * Election of the aggregator of a failure domain and the table of domain
 * summaries.
 *
 * The aggregator sends the summary of its domain to a control host each
 * second. Control hosts exchange the rows and send them to the aggregators
 * they serve; an aggregator forwards them along a tree of the hosts of its
 * domain. Only changed rows are sent, limited by a token bucket per receiver.
 * Short refresh entries update the age of unchanged rows and let a receiver
 * detect lost rows, which it then requests.
 */
#ifndef BWMEMBER_AGGREGATOR_H
#define BWMEMBER_AGGREGATOR_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwbase/status.h"
#include "bwmember/member.h"

/** Maximum number of entry hosts, and of control hosts, in a summary. */
#define BW_SUMMARY_HOSTS_MAX 4

/** Children of a host in the tree of its domain. Three levels reach 39 hosts
 * below the aggregator, and a host sends at most three copies. */
#define BW_AGGREGATOR_CHILDREN_MAX 3

/** Maximum size of a load report in a summary, in bytes. */
#define BW_SUMMARY_LOAD_MAX_BYTES 4096

/** Maximum number of domains in the table. */
#define BW_SUMMARY_ROWS_MAX 512

/** Maximum number of known control hosts. */
#define BW_AGGREGATOR_CONTROLS_MAX 32

/** An entry host in a summary. */
struct bw_summary_host {
	char name[BW_NAME_MAX];
	char address[BW_MEMBER_ADDRESS_MAX]; /**< entry address */
	uint16_t port;
	bool leaving;
};

/** Name and address of a control host. */
struct bw_summary_control {
	char name[BW_NAME_MAX];
	char address[BW_MEMBER_ADDRESS_MAX]; /**< transport address */
};

/** Summary of one failure domain. */
struct bw_summary {
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	char aggregator[BW_NAME_MAX];
	uint64_t epoch; /**< wall clock in ms when its aggregator was elected */
	uint64_t sequence; /**< number of the report within the epoch */
	uint64_t content_sequence; /**< sequence of the last content change */
	struct bw_summary_host hosts[BW_SUMMARY_HOSTS_MAX];
	uint32_t host_count; /**< entries in hosts */
	struct bw_summary_control controls[BW_SUMMARY_HOSTS_MAX];
	uint32_t control_count;
	uint64_t revision_min; /**< lowest sheet revision in the domain */
	uint64_t revision_max; /**< highest sheet revision */
	uint32_t up_count; /**< hosts alive, suspect or leaving */
	uint8_t *load; /**< opaque load report; NULL when empty */
	uint32_t load_bytes;
	struct bw_time reported; /**< local time of the report, from its age */
	uint64_t tag; /**< hash of domain, epoch and content_sequence */
	uint64_t change_index; /**< local index of the last content change */
	char source[BW_NAME_MAX]; /**< host that sent the row */
};

/** Settings; a zero selects the default. */
struct bw_aggregator_config {
	const struct bw_member *member; /**< must outlive the aggregator */
	uint64_t random_seed; /**< 0 selects system entropy */
	int64_t wall_ms; /**< wall clock at init */
	uint32_t hysteresis_ms; /**< default 2,000 */
	uint32_t report_interval_ms; /**< default 1,000 */
	uint32_t refresh_interval_ms; /**< unchanged rows to control hosts and
					 aggregators; default 5,000 */
	uint32_t host_refresh_interval_ms; /**< to hosts; default 6,000 */
	uint32_t row_expiry_ms; /**< default 60,000 */
	uint32_t host_bytes_per_s; /**< to each host; default 5,000 */
	uint32_t relay_bytes_per_s; /**< to each control or aggregator;
				       default 50,000 */
};

/** Counters. */
struct bw_aggregator_stats {
	uint64_t malformed_count;
	uint64_t stale_count; /**< rows not newer than the stored one */
	uint64_t rows_sent_count;
	uint64_t rows_requested_count;
	uint64_t rows_dropped_count; /**< table full */
	uint64_t takeover_count;
};

struct bw_aggregator_peer; /* private */

/** State of one host: election and table of domain summaries. */
struct bw_aggregator {
	struct bw_aggregator_config config;
	struct bw_random random;
	struct bw_time started;
	char current[BW_NAME_MAX]; /**< aggregator of the own domain, or "" */
	uint64_t epoch; /**< valid while this host is the aggregator */
	uint64_t sequence;
	uint64_t content_hash; /**< of the last own report */
	uint64_t content_sequence;
	struct bw_summary *rows; /**< sorted by domain */
	uint32_t row_count;
	struct bw_aggregator_peer *peers;
	uint32_t peer_count;
	uint64_t last_change_index; /**< of the newest content change */
	struct bw_summary_control controls[BW_AGGREGATOR_CONTROLS_MAX];
	struct {
		bool has_ack;
		struct bw_time acked_at; /**< of the last ack */
		uint64_t epoch; /**< of the acknowledged content */
		uint64_t content_sequence;
	} control_acked[BW_AGGREGATOR_CONTROLS_MAX];
	uint32_t control_count;
	struct bw_time control_seen[BW_AGGREGATOR_CONTROLS_MAX];
	struct bw_time clock; /**< time of the last call */
	struct bw_time next_control_expiry;
	uint8_t *load;
	uint32_t load_bytes;
	struct bw_time next_report;
	struct bw_time elected_at; /**< when this host became aggregator */
	struct bw_aggregator_stats stats;
};

/**
 * Initialises with an empty table. Control hosts are learned from the seeds
 * and records of the member module and from summaries.
 * @return BW_OK, BW_EINVAL or BW_ENOMEM
 */
enum bw_status bw_aggregator_init(struct bw_aggregator *aggregator,
				  const struct bw_aggregator_config *config,
				  struct bw_time now);

/** Frees the memory. */
void bw_aggregator_finish(struct bw_aggregator *aggregator);

/**
 * Handles a packet of channel BW_CHANNEL_SUMMARY.
 * @return BW_OK; BW_EINVAL or BW_EVERSION (counted); BW_ENOMEM
 */
enum bw_status bw_aggregator_receive(struct bw_aggregator *aggregator,
				     const struct bw_packet *packet,
				     struct bw_time now, struct bw_outbox *out);

/** Runs the election and sends due packets; to be called every 50 ms. */
enum bw_status bw_aggregator_tick(struct bw_aggregator *aggregator,
				  struct bw_time now, struct bw_outbox *out);

/**
 * Sets the load report of the domain's summary. It is sent while this host is
 * the aggregator.
 * @return BW_OK, BW_EFULL above BW_SUMMARY_LOAD_MAX_BYTES, BW_ENOMEM
 */
enum bw_status bw_aggregator_set_load(struct bw_aggregator *aggregator,
				      const void *load, size_t load_bytes);

/** Returns the name of the domain's aggregator; "" while there is none. */
const char *bw_aggregator_current(const struct bw_aggregator *aggregator);

/** Returns whether this host is the aggregator. */
bool bw_aggregator_is_self(const struct bw_aggregator *aggregator);

/** Returns the number of rows. */
uint32_t bw_aggregator_count(const struct bw_aggregator *aggregator);

/** Returns row index (below the count), in byte order of the domains. */
const struct bw_summary *
bw_aggregator_at(const struct bw_aggregator *aggregator, uint32_t index);

/** Returns the row of a domain or NULL. */
const struct bw_summary *
bw_aggregator_find(const struct bw_aggregator *aggregator, const char *domain);

/** Returns the age of a row in milliseconds. */
int64_t bw_summary_age_ms(const struct bw_summary *summary, struct bw_time now);

/** Returns the number of control hosts known. */
uint32_t bw_aggregator_control_count(const struct bw_aggregator *aggregator);

/** Returns control host index (below the count). */
const struct bw_summary_control *
bw_aggregator_control_at(const struct bw_aggregator *aggregator,
			 uint32_t index);

/** Returns whether name is a known control host. */
bool bw_aggregator_is_control(const struct bw_aggregator *aggregator,
			      const char *name);

/**
 * Returns the control host of a rank (from 0) for the own domain, by
 * rendezvous hashing; NULL beyond the last one.
 */
const char *bw_aggregator_ranked_control(const struct bw_aggregator *aggregator,
					 uint32_t rank);

/**
 * At a control host: iterates over the aggregators that it serves, which are
 * those whose last report is less than 5 s old.
 * @param cursor 0 to start; updated
 * @return name, or NULL at the end
 */
const char *bw_aggregator_next_served(const struct bw_aggregator *aggregator,
				      struct bw_time now, uint32_t *cursor);

/**
 * Iterates over the hosts of its domain to which this host forwards rows. The
 * hosts that are up form a tree with BW_AGGREGATOR_CHILDREN_MAX children per
 * host: the aggregator is the root, the others follow in byte order of names.
 * @param cursor 0 to start; updated
 * @return record, or NULL at the end
 */
const struct bw_member_record *
bw_aggregator_next_child(const struct bw_aggregator *aggregator,
			 uint32_t *cursor);

/** Returns the parent of this host in the tree; NULL for the aggregator. */
const struct bw_member_record *
bw_aggregator_parent(const struct bw_aggregator *aggregator);

/** Adds the state dump to the JSON object into. */
enum bw_status bw_aggregator_dump(const struct bw_aggregator *aggregator,
				  json_t *into);

#endif
