/**
 * @file
 * Table of the announced backend servers, and selection of a server for a
 * request.
 *
 * The table combines announcements and heartbeats of the servers, entries
 * replicated from other hosts, and the outcomes of this host's requests. The
 * outcomes of this host's requests take precedence over reports.
 */
#ifndef BWSTEER_BACKEND_H
#define BWSTEER_BACKEND_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/buffer.h"
#include "bwbase/chart.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwbase/status.h"

/** Size of a textual IPv4 or IPv6 address with its terminating NUL. */
#define BW_BACKEND_ADDRESS_MAX 46

/** Limit on the slots and on the connections of one server. */
#define BW_BACKEND_SLOTS_MAX 65535

/** States of a backend server (charts/backend.yaml). */
enum bw_backend_state {
	BW_BACKEND_ANNOUNCED, /**< no heartbeat or response yet */
	BW_BACKEND_WARMING, /**< slow start */
	BW_BACKEND_READY,
	BW_BACKEND_DRAINING, /**< finishes its requests; gets no new ones */
	BW_BACKEND_LEFT, /**< deregistered; kept until removed */
	BW_BACKEND_LOST, /**< heartbeats timed out */
	BW_BACKEND_STATE_COUNT
};

/** Names of enum bw_backend_state in dumps and logs; they must not change. */
extern const char *const bw_backend_state_string[BW_BACKEND_STATE_COUNT];

/** Names of states, events and actions in charts/backend.yaml. */
extern const struct bw_chart_names bw_backend_chart_names;

/** Outcome of one request sent to a backend server. */
enum bw_backend_outcome {
	BW_BACKEND_OK, /**< complete response */
	BW_BACKEND_REFUSED, /**< rejected by the server; not executed */
	BW_BACKEND_UNREACHABLE, /**< connection failed; not executed */
	BW_BACKEND_ERROR, /**< server error response */
	BW_BACKEND_TIMEOUT,
	BW_BACKEND_CONNECTION_LOST, /**< while waiting for the response */
	BW_BACKEND_CANCELLED, /**< by the caller; ignored in statistics */
	BW_BACKEND_OUTCOME_COUNT
};

/** Names of enum bw_backend_outcome in dumps and logs; they must not
 * change. */
extern const char *const bw_backend_outcome_string[BW_BACKEND_OUTCOME_COUNT];

/** Configuration; see bw_backend_config_default. */
struct bw_backend_config {
	const struct bw_chart *chart; /**< must outlive the table */
	uint32_t servers_max;
	uint32_t services_max;
	int64_t ramp_ms; /**< duration of the slow start */
	int64_t heartbeat_timeout_ms; /**< then the server is lost */
	int64_t removal_timeout_ms; /**< without a report */
	int64_t eject_base_ms; /**< first ejection; doubles with each next */
	int64_t eject_max_ms;
	/** Percentage of the servers of a service that are not ejected, at
	 *  least one server. */
	uint32_t in_use_min_percent;
};

/** Registration of a server when it starts. */
struct bw_backend_announcement {
	char id[BW_NAME_MAX];
	uint64_t incarnation; /**< unique for each start of the server, not 0 */
	char service[BW_NAME_MAX];
	char failure_domain[BW_NAME_MAX];
	char address[BW_BACKEND_ADDRESS_MAX];
	uint16_t port;
	uint32_t slots; /**< concurrent requests, 1..BW_BACKEND_SLOTS_MAX */
	uint32_t connections; /**< limit, 1..BW_BACKEND_SLOTS_MAX */
};

/** Selected server. Valid until the table changes. */
struct bw_backend_choice {
	uint64_t handle; /**< for bw_backend_request_start and _end */
	char id[BW_NAME_MAX];
	uint64_t incarnation;
	char address[BW_BACKEND_ADDRESS_MAX];
	uint16_t port;
	bool probe; /**< first request after an ejection */
	uint32_t in_flight; /**< of this and other hosts, before this request */
};

/** Capacity of one service for the load report. A slot is room for one
 * concurrent request. */
struct bw_backend_summary {
	uint32_t servers; /**< neither left nor lost */
	uint32_t healthy_slots; /**< of ready servers that are not ejected */
	uint32_t warming_slots; /**< of servers in slow start */
	uint32_t usable_slots; /**< healthy_slots and the part of warming_slots
				  that the slow start permits now */
	uint32_t draining_slots;
	uint32_t ejected_slots;
	uint32_t in_use_slots; /**< requests of this host in flight */
	uint32_t free_slots; /**< requests that this host can start now */
};

struct bw_backend_server; /* private */
struct bw_backend_service; /* private */
struct bw_index; /* private */

/** Table of backend servers. */
struct bw_backend_table {
	struct bw_backend_config config;
	struct bw_backend_server *servers; /**< servers_max entries */
	struct bw_backend_service *services; /**< services_max entries */
	uint32_t servers_count; /**< entries in use */
	uint32_t servers_end; /**< entries from this index on were never used */
	uint32_t services_count;
	struct bw_index *by_id;
	struct bw_index *by_service;
	uint32_t *free_list;
	uint32_t free_count;
	bool reports_broken; /**< more than half of the servers send no reports
			      */
	uint64_t malformed_count; /**< packets that decoding rejected */
};

/**
 * Fills in the defaults: 4096 servers, 256 services, 10 s slow start, lost
 * after 5 s, removed after 60 s, ejections of 1 s to 60 s, and at least half
 * of the servers not ejected.
 */
void bw_backend_config_default(struct bw_backend_config *config,
			       const struct bw_chart *chart);

/**
 * Initialises an empty table and allocates its entries.
 * @return BW_OK; BW_ENOMEM; BW_EINVAL for a missing chart, a limit of zero or
 *	a percentage above 100
 */
enum bw_status bw_backend_init(struct bw_backend_table *table,
			       const struct bw_backend_config *config);

/** Frees the table. */
void bw_backend_finish(struct bw_backend_table *table);

/**
 * Adds a server, or resets its entry when the incarnation is new. A repeated
 * announcement of one incarnation counts as a heartbeat and does not end a
 * drain.
 * @return BW_OK; BW_EINVAL for an incomplete announcement; BW_EFULL when the
 *	table is full
 */
enum bw_status
bw_backend_announce(struct bw_backend_table *table,
		    const struct bw_backend_announcement *announcement,
		    struct bw_time now);

/**
 * Records a heartbeat of a server with its load.
 * @param in_flight requests running on the server, from all hosts
 * @param queue requests waiting on the server
 * @return BW_OK; BW_ENOTFOUND for an unknown server, or BW_ESTALE for another
 *	incarnation of it: the server must announce itself again
 */
enum bw_status bw_backend_heartbeat(struct bw_backend_table *table,
				    const char *id, uint64_t incarnation,
				    uint32_t in_flight, uint32_t queue,
				    struct bw_time now);

/** Starts a drain requested by the server. Returns as bw_backend_heartbeat. */
enum bw_status bw_backend_drain(struct bw_backend_table *table, const char *id,
				uint64_t incarnation, struct bw_time now);

/** Records that the server shuts down. Returns as bw_backend_heartbeat. */
enum bw_status bw_backend_leave(struct bw_backend_table *table, const char *id,
				uint64_t incarnation, struct bw_time now);

/**
 * Starts or ends a drain by the steering sheet. It is not replicated, is
 * independent of the server's own drain, and survives a restart of the server.
 * @return BW_OK or BW_ENOTFOUND
 */
enum bw_status bw_backend_set_sheet_drain(struct bw_backend_table *table,
					  const char *id, bool draining,
					  struct bw_time now);

/**
 * Selects the less loaded of two servers that are chosen at random with
 * weights by slots and slow start. Does not count the request; call
 * bw_backend_request_start.
 * @param exclude handles of servers that must not be chosen again
 * @return BW_OK; BW_ENOTFOUND when no server of the service is known;
 *	BW_EUNAVAILABLE when none accepts work; BW_EAGAIN when all that do are
 *	at their limits
 */
enum bw_status bw_backend_pick(struct bw_backend_table *table,
			       const char *service, struct bw_time now,
			       struct bw_random *random,
			       const uint64_t *exclude, uint32_t exclude_count,
			       struct bw_backend_choice *choice);

/**
 * Counts a request as in flight.
 * @return BW_OK; BW_EAGAIN when the limit is reached or the server no longer
 *	accepts work (not counted); BW_ESTALE when the server has restarted
 */
enum bw_status bw_backend_request_start(struct bw_backend_table *table,
					uint64_t handle, struct bw_time now);

/**
 * Ends a started request and updates the statistics with its outcome.
 * @param latency_us time from start to end, in microseconds
 * @return BW_OK, or BW_ESTALE when the server has restarted since
 */
enum bw_status bw_backend_request_end(struct bw_backend_table *table,
				      uint64_t handle,
				      enum bw_backend_outcome outcome,
				      uint64_t latency_us, struct bw_time now);

/** Handles timeouts; to be called every 50 ms. */
void bw_backend_tick(struct bw_backend_table *table, struct bw_time now);

/**
 * Sums up the capacity of a service.
 * @return BW_OK, or BW_ENOTFOUND with a summary of zeros
 */
enum bw_status bw_backend_summarise(const struct bw_backend_table *table,
				    const char *service, struct bw_time now,
				    struct bw_backend_summary *summary);

/**
 * Looks up the state of a server.
 * @return BW_OK or BW_ENOTFOUND
 */
enum bw_status bw_backend_find(const struct bw_backend_table *table,
			       const char *id, enum bw_backend_state *state,
			       uint64_t *incarnation);

/** A server as returned by bw_backend_next. */
struct bw_backend_info {
	char id[BW_NAME_MAX];
	char service[BW_NAME_MAX];
	char failure_domain[BW_NAME_MAX];
	char address[BW_BACKEND_ADDRESS_MAX];
	uint16_t port;
	uint64_t incarnation;
	enum bw_backend_state state;
	uint32_t slots;
	uint32_t in_flight; /**< requests of this host */
	bool draining; /**< by its own request or by the steering sheet */
};

/**
 * Iterates over the table.
 * @param cursor 0 to start; updated
 * @return true when info was filled, false at the end
 */
bool bw_backend_next(const struct bw_backend_table *table, uint32_t *cursor,
		     struct bw_backend_info *info);

/**
 * Appends a packet body with entries for the other hosts of the failure
 * domain. It leaves out servers without a report for half of
 * removal_timeout_ms; otherwise hosts could restore a removed entry to each
 * other forever.
 * @param cursor 0 to start; receives the next position, or 0 at the end
 * @param entries_max limit on the entries of this packet, greater than zero
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_backend_encode(const struct bw_backend_table *table,
				 struct bw_time now, uint32_t *cursor,
				 uint32_t entries_max, struct bw_buffer *out);

/**
 * Merges entries of another host. The higher sequence wins, then the higher
 * incarnation. Within one incarnation, drain and leave stay once set, and the
 * newest report wins.
 * @return BW_OK; BW_EINVAL for a malformed packet (entries before the error
 *	are merged); BW_EVERSION; BW_EFULL when the table is full
 */
enum bw_status bw_backend_decode(struct bw_backend_table *table,
				 const void *data, size_t size_bytes,
				 struct bw_time now);

/**
 * Adds the state to a dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_backend_dump(const struct bw_backend_table *table,
			       struct bw_time now, json_t *into);

#endif
