/**
 * @file
 * Table of announced backend servers and selection of one for a request.
 *
 * The table combines three sources: announcements and heartbeats of the
 * servers, entries replicated from other hosts, and the outcomes of the
 * requests this host sent. Own outcomes outweigh reports.
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

/** Size of an address text (IPv4 or IPv6) with its final zero. */
#define BW_BACKEND_ADDRESS_MAX 46

/** Most slots or connections of one server; larger values are refused. */
#define BW_BACKEND_SLOTS_MAX 65535

/** States of a backend server (charts/backend.yaml). */
enum bw_backend_state {
	BW_BACKEND_ANNOUNCED, /**< known, not yet seen to work */
	BW_BACKEND_WARMING, /**< slow start */
	BW_BACKEND_READY,
	BW_BACKEND_DRAINING, /**< finishes its requests, no new work */
	BW_BACKEND_LEFT, /**< said good-bye; kept until forgotten */
	BW_BACKEND_LOST, /**< heartbeats are missing */
	BW_BACKEND_STATE_COUNT
};

/** Stable names of enum bw_backend_state. */
extern const char *const bw_backend_state_string[BW_BACKEND_STATE_COUNT];

/** Names in charts/backend.yaml, for bw_chart_load. */
extern const struct bw_chart_names bw_backend_chart_names;

/** Outcome of one request sent to a backend server. */
enum bw_backend_outcome {
	BW_BACKEND_OK, /**< complete response */
	BW_BACKEND_REFUSED, /**< load shed by the server; not run */
	BW_BACKEND_UNREACHABLE, /**< no connection; certainly not run */
	BW_BACKEND_ERROR, /**< the server answered with a server error */
	BW_BACKEND_TIMEOUT,
	BW_BACKEND_CONNECTION_LOST, /**< during the run */
	BW_BACKEND_CANCELLED, /**< by the caller; says nothing of the server */
	BW_BACKEND_OUTCOME_COUNT
};

/** Stable names of enum bw_backend_outcome. */
extern const char *const bw_backend_outcome_string[BW_BACKEND_OUTCOME_COUNT];

/** Settings; bw_backend_config_default gives usual values. */
struct bw_backend_config {
	const struct bw_chart *chart; /**< must outlive the table */
	uint32_t servers_max; /**< bound of the table */
	uint32_t services_max;
	int64_t ramp_ms; /**< length of the slow start */
	int64_t lost_ms; /**< silence after which no new work is sent */
	int64_t forget_ms; /**< silence after which the entry is removed */
	int64_t eject_base_ms; /**< first ejection; doubles each time */
	int64_t eject_max_ms;
	uint32_t in_use_min_percent; /**< of a service's servers, at least 1 */
};

/** What a server says of itself when it starts. */
struct bw_backend_announcement {
	char id[BW_NAME_MAX];
	uint64_t incarnation; /**< non-zero; new at each start */
	char service[BW_NAME_MAX];
	char failure_domain[BW_NAME_MAX];
	char address[BW_BACKEND_ADDRESS_MAX];
	uint16_t port;
	uint32_t slots; /**< concurrent requests, 1..BW_BACKEND_SLOTS_MAX */
	uint32_t connections; /**< 1..BW_BACKEND_SLOTS_MAX */
};

/** Selected server. Valid until the next change of the table. */
struct bw_backend_choice {
	uint64_t handle; /**< for bw_backend_request_start and _finished */
	char id[BW_NAME_MAX];
	uint64_t incarnation;
	char address[BW_BACKEND_ADDRESS_MAX];
	uint16_t port;
	bool probe; /**< first request after an ejection */
	uint32_t in_flight; /**< own and reported, before this request */
};

/** Capacity of one service, for the load report. Shapes: slot counts. */
struct bw_backend_summary {
	uint32_t servers; /**< not left and not lost */
	uint32_t healthy_slots; /**< of ready servers in use */
	uint32_t warming_slots; /**< of servers in slow start */
	uint32_t usable_slots; /**< healthy plus the ramped part of warming */
	uint32_t draining_slots;
	uint32_t ejected_slots;
	uint32_t in_use_slots; /**< own requests in flight */
	uint32_t free_slots; /**< own requests that could start now */
};

struct bw_backend_server; /* private */
struct bw_backend_service; /* private */
struct bw_index; /* private */

/** The table. */
struct bw_backend_table {
	struct bw_backend_config config;
	struct bw_backend_server *servers; /**< servers_max entries */
	struct bw_backend_service *services; /**< services_max entries */
	uint32_t servers_count; /**< entries in use */
	uint32_t servers_end; /**< no entry was ever in use from here on */
	uint32_t services_count;
	struct bw_index *by_id;
	struct bw_index *by_service;
	uint32_t *free_list;
	uint32_t free_count;
	bool reports_broken; /**< most servers are silent at once */
	uint64_t malformed_count; /**< packets refused by decode */
};

/** Fills in the defaults: 4096 servers, 256 services, 10 s ramp, lost after
 * 5 s, forgotten after 60 s, ejection 1 s to 60 s, half stays in use. */
void bw_backend_config_default(struct bw_backend_config *config,
			       const struct bw_chart *chart);

/**
 * Initialises an empty table; servers and services are allocated here.
 * @return BW_OK, BW_ENOMEM, or BW_EINVAL for a zero bound
 */
enum bw_status bw_backend_init(struct bw_backend_table *table,
			       const struct bw_backend_config *config);

/** Frees the table. */
void bw_backend_finish(struct bw_backend_table *table);

/**
 * Adds a server, or restarts it when the incarnation is new. The same
 * incarnation again counts as a heartbeat and does not end a drain.
 * @return BW_OK; BW_EINVAL for an incomplete announcement; BW_EFULL when the
 *	table is full
 */
enum bw_status
bw_backend_announce(struct bw_backend_table *table,
		    const struct bw_backend_announcement *announcement,
		    struct bw_time now);

/**
 * Records a report of a server.
 * @param in_flight requests running on the server, from all hosts
 * @param queue requests waiting on the server
 * @return BW_OK; BW_ENOTFOUND or BW_ESTALE (another incarnation is known):
 *	the server must announce itself again
 */
enum bw_status bw_backend_heartbeat(struct bw_backend_table *table,
				    const char *id, uint64_t incarnation,
				    uint32_t in_flight, uint32_t queue,
				    struct bw_time now);

/** The server asks for no new work. Returns as bw_backend_heartbeat. */
enum bw_status bw_backend_drain(struct bw_backend_table *table, const char *id,
				uint64_t incarnation, struct bw_time now);

/** The server is gone on purpose. Returns as bw_backend_heartbeat. */
enum bw_status bw_backend_leave(struct bw_backend_table *table, const char *id,
				uint64_t incarnation, struct bw_time now);

/**
 * Starts or ends a drain by the steering sheet. It is local, independent of
 * the server's own drain, and survives a restart of the server.
 * @return BW_OK or BW_ENOTFOUND
 */
enum bw_status bw_backend_set_sheet_drain(struct bw_backend_table *table,
					  const char *id, bool draining,
					  struct bw_time now);

/**
 * Selects a server: the less loaded of two chosen at random, weighted by
 * slots and slow start. Does not count the request; call
 *bw_backend_request_start.
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
 * Ends a started request and learns from its outcome.
 * @param latency_us time from start to end, in microseconds
 * @return BW_OK, or BW_ESTALE when the server has restarted meanwhile
 */
enum bw_status bw_backend_request_end(struct bw_backend_table *table,
				      uint64_t handle,
				      enum bw_backend_outcome outcome,
				      uint64_t latency_us, struct bw_time now);

/** Applies timeouts; call every 50 ms. */
void bw_backend_tick(struct bw_backend_table *table, struct bw_time now);

/**
 * Sums up a service.
 * @return BW_OK, or BW_ENOTFOUND with a summary of zeros
 */
enum bw_status bw_backend_summarise(const struct bw_backend_table *table,
				    const char *service, struct bw_time now,
				    struct bw_backend_summary *summary);

/**
 * Gives the state of a server.
 * @return BW_OK or BW_ENOTFOUND
 */
enum bw_status bw_backend_find(const struct bw_backend_table *table,
			       const char *id, enum bw_backend_state *state,
			       uint64_t *incarnation);

/** Identity and state of a server, for iteration. */
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
	bool draining; /**< by its own request or by the sheet */
};

/**
 * Iterates over the table.
 * @param cursor 0 to start; updated
 * @return whether info was filled
 */
bool bw_backend_next(const struct bw_backend_table *table, uint32_t *cursor,
		     struct bw_backend_info *info);

/**
 * Appends one packet body with entries for other hosts of the domain.
 * Entries silent for half of forget_ms are left out, so that hosts cannot
 * keep a forgotten entry alive between them.
 * @param cursor 0 to start; receives the next position, or 0 at the end
 * @param entries_max most entries of this packet, greater than zero
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_backend_encode(const struct bw_backend_table *table,
				 struct bw_time now, uint32_t *cursor,
				 uint32_t entries_max, struct bw_buffer *out);

/**
 * Merges entries of another host. A higher sequence wins, then the higher
 * incarnation; within one incarnation drain and leave are kept once set and
 * the youngest report wins.
 * @return BW_OK; BW_EINVAL for a malformed packet (entries before the fault
 *	are merged); BW_EVERSION; BW_EFULL when the table is full
 */
enum bw_status bw_backend_decode(struct bw_backend_table *table,
				 const void *data, size_t size_bytes,
				 struct bw_time now);

/**
 * Writes the state dump.
 * @param into JSON object that receives the members
 * @return BW_OK or BW_ENOMEM
 */
enum bw_status bw_backend_dump(const struct bw_backend_table *table,
			       struct bw_time now, json_t *into);

#endif
