/**
 * @file
 * Entry role of a gateway: accepts client requests and forwards them to the
 * backend servers that the dispatcher selects.
 */
#ifndef BORAGEWINGD_GATE_ENTRY_H
#define BORAGEWINGD_GATE_ENTRY_H

#include "bwmember/distribute.h"
#include "bwmember/feed.h"
#include "bwmember/fetch.h"
#include "bwproxy/listener.h"
#include "bwproxy/pool.h"
#include "bwsteer/dispatch.h"
#include "bwsteer/poison.h"
#include "bwsteer/routing.h"
#include "gate_node.h"
#include "gate_quota.h"
#include "gate_refusal.h"
#include "gate_shares.h"
#include "platform.h"

/** Outcome of a client request. */
enum gate_outcome {
	GATE_OUTCOME_ANSWERED, /**< response of a backend server */
	GATE_OUTCOME_REJECTED, /**< was not executed */
	GATE_OUTCOME_FAILED, /**< sent, but no usable response */
	GATE_OUTCOME_TIMEOUT, /**< deadline of route or client passed */
	GATE_OUTCOME_NO_ROUTE,
	GATE_OUTCOME_UNKNOWN_KEY, /**< no customer has its key */
	GATE_OUTCOME_BEYOND_QUOTA, /**< of its customer; was not executed */
	GATE_OUTCOME_CANCELLED, /**< the client disconnected */
	GATE_OUTCOME_COUNT
};

/** Names of enum gate_outcome in logs and metrics. */
extern const char *const gate_outcome_string[GATE_OUTCOME_COUNT];

/** What the newest state says of a request that is about to be sent. */
enum gate_check {
	GATE_CHECK_CURRENT, /**< may be sent to its server */
	GATE_CHECK_SERVER, /**< the server may no longer get it */
	GATE_CHECK_ROUTE, /**< its route now leads to another service or has
			       other home regions */
	GATE_CHECK_NO_ROUTE, /**< it has no route any more */
	GATE_CHECK_NO_KEY, /**< its key has been withdrawn */
	GATE_CHECK_EXPIRED, /**< its deadline has passed */
	GATE_CHECK_BEHIND, /**< its route or customer has changed or been
			      removed by a version that is not here yet */
	GATE_CHECK_COUNT
};

/** Names of enum gate_check in logs and metrics. */
extern const char *const gate_check_string[GATE_CHECK_COUNT];

/** Requests known to an entry host to crash backend servers. */
struct gate_poison {
	struct bw_poison table;
	uint64_t logged_crash_count; /**< crashes in the table already logged */
	uint32_t shares_remaining; /**< messages still to send to hosts */
	struct bw_time next_share;
};

/** A routing table that is being built from a configuration. */
struct gate_entry_build {
	bool active;
	struct platform_routing_reader reader;
	ev_timer timer; /**< of the next slice */
	uint64_t version;
	char source[BW_NAME_MAX]; /**< control host that sent the last piece */
	uint32_t text_bytes;
	struct bw_time began;
	uint64_t used_us; /**< in all slices */
	uint64_t slice_ended_us;
};

/** The entry role of a host. */
struct gate_entry {
	struct gate_node *node;
	struct bw_listener clients;
	struct bw_listener ready;
	struct bw_pool pool;
	struct bw_dispatch dispatch;
	struct gate_poison poison;
	struct gate_quota quota;
	struct bw_routing *routing; /**< active; NULL until received */
	struct bw_time routing_since; /**< when it was activated here */
	char evacuated[BW_EVACUATIONS_MAX][BW_NAME_MAX];
	uint32_t evacuated_count;
	uint64_t evacuation_index;
	struct bw_time reinstated_at[GATE_DOMAINS_MAX]; /**< end of the last
							    evacuation, by index
							    of the domain */
	struct bw_time control_missing_at; /**< last status that did not list a
					      control host known of late */
	struct bw_feed feed; /**< control host that sends full detail */
	uint64_t feed_incarnation; /**< identifies the feed's process */
	struct bw_time feed_continuous_since; /**< end of the last gap */
	struct bw_time feed_received_at; /**< latest message of the feed */
	uint64_t newest_version; /**< announced by any control host */
	struct bw_fetch fetch; /**< of newer versions */
	struct bw_distribute distribute; /**< receives them */
	struct bw_outbox out; /**< packets of distribute */
	struct gate_entry_build build;
	struct bw_time outdated_since; /**< a newer version than the active one
					   is known; 0 ms: none is */
	struct bw_retired_routes retired; /**< by newer versions */
	uint32_t entry_count; /**< entry hosts that share the servers */
	uint32_t entry_index; /**< index of this host among them */
	uint64_t used_domains; /**< bit set of failure domains to whose servers
				    this host sends requests; 0: unknown */
	uint64_t registry_generation; /**< at the last update */
	bool update_due;
	bool reported_ready; /**< state in the last hello */
	double retry_tokens; /**< retries currently allowed */
	struct bw_time retry_refilled_at;
	struct bw_time started_at;
	struct bw_time next_hello; /**< to control hosts in general */
	struct bw_time next_brief_hello; /**< to those that send brief detail */
	struct bw_time next_update; /**< of the servers known to the dispatcher
				     */
	struct bw_time next_adapt; /**< of the dispatcher's fractions */
	struct bw_time next_report;
	struct gate_request *requests; /**< linked list */
	uint32_t request_count;
	struct bw_metric *outcomes[GATE_OUTCOME_COUNT];
	struct bw_metric *unconfirmed; /**< no route, but not sure */
	struct bw_metric *unknown_keys[2]; /**< not confirmed, confirmed */
	struct bw_metric *rejections[BW_REJECT_COUNT];
	struct bw_metric *reconsidered[GATE_CHECK_COUNT];
	struct bw_metric *source_changes[BW_FEED_CHANGE_COUNT];
	struct bw_metric *response_bytes;
	struct bw_metric *responses_paused;
	struct bw_metric *queue_us;
	struct bw_metric *upstream_us;
	struct bw_metric *total_us[2]; /**< not idempotent, idempotent */
	struct bw_metric *retries;
	struct bw_metric *waiting;
	struct bw_metric *routing_version;
	struct bw_metric *servers_known;
	struct bw_metric *routing_age_s;
	struct bw_metric *notices_invalid; /**< see gate_notice.h */
	struct bw_metric *speeds_unreadable;
	struct bw_metric *limits_changed;
	struct bw_metric *pauses;
	struct bw_metric *routing_fetches;
	struct bw_metric *routing_received_bytes;
	uint64_t fetches_since; /**< since the active version came */
	uint64_t received_bytes_since; /**< of configurations, likewise */
	struct gate_refusals refusals;
	struct gate_shares shares; /**< of customers, as shown last */
};

/** Opens the listeners. @return BW_OK, or BW_EIO, which is logged */
enum bw_status gate_entry_init(struct gate_entry *entry,
			       struct gate_node *node);

/** Frees the role. */
void gate_entry_finish(struct gate_entry *entry);

/** Handles a packet from another host. */
void gate_entry_receive(struct gate_entry *entry,
			const struct bw_packet *packet, struct bw_time now);

/** Runs the periodic work of the role. */
void gate_entry_tick(struct gate_entry *entry, struct bw_time now);

/**
 * Begins a graceful shutdown. Requests that cannot end in time are rejected.
 * @param requests_end when gate_entry_end_requests will be called
 */
void gate_entry_stop(struct gate_entry *entry, struct bw_time requests_end);

/** Ends all requests with an error response, at the end of a shutdown. */
void gate_entry_end_requests(struct gate_entry *entry);

/** Returns whether no request is in progress and no client is connected. */
bool gate_entry_is_idle(const struct gate_entry *entry);

/**
 * Returns for how long the host has known that its configuration is outdated;
 * 0 when it is not.
 */
int64_t gate_entry_behind_ms(const struct gate_entry *entry,
			     struct bw_time now);

/** Returns whether most control hosts confirm that no version is newer. */
struct bw_confirmation gate_entry_confirm(const struct gate_entry *entry,
					  struct bw_time now);

/** Adds the state of the role to a dump. */
void gate_entry_dump(const struct gate_entry *entry, json_t *into);

#endif
