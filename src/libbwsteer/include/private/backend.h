/**
 * @file
 * Internals of the backend server table.
 */
#ifndef PRIVATE_BACKEND_H
#define PRIVATE_BACKEND_H

#include "bwsteer/backend.h"
#include "private/index.h"

/** Events of charts/backend.yaml. */
enum bw_backend_event {
	BW_BACKEND_EVENT_ANNOUNCE,
	BW_BACKEND_EVENT_CONFIRM, /**< a heartbeat or a complete response */
	BW_BACKEND_EVENT_RAMPED, /**< end of the slow start */
	BW_BACKEND_EVENT_DRAIN,
	BW_BACKEND_EVENT_UNDRAIN,
	BW_BACKEND_EVENT_LEAVE,
	BW_BACKEND_EVENT_MISS, /**< heartbeats are missing */
	BW_BACKEND_EVENT_RESTORE, /**< loss was a failure of the report path */
	BW_BACKEND_EVENT_COUNT
};

/** Actions of charts/backend.yaml. */
enum bw_backend_action {
	BW_BACKEND_ACTION_RESET,
	BW_BACKEND_ACTION_START_RAMP,
	BW_BACKEND_ACTION_COUNT
};

/** Table entry of a server. */
struct bw_backend_server {
	bool used;
	uint32_t generation; /**< high half of the handle */
	struct bw_backend_announcement announced;
	uint64_t sequence; /**< orders incarnations between hosts */
	uint32_t service; /**< index into the table's services */
	enum bw_backend_state state;
	bool drain_requested; /**< by the server; replicated to other hosts */
	bool drain_by_sheet; /**< by the steering sheet; not replicated */

	struct bw_time reported_at; /**< last announcement or heartbeat */
	struct bw_time lost_at; /**< when the state became lost */
	struct bw_time ramp_start;
	uint32_t reported_in_flight;
	uint32_t reported_queue;
	uint32_t in_flight_at_report; /**< in_flight at the last report */
	double trust; /**< 0..1; weight of the reported load in selection */

	uint32_t in_flight; /**< requests of this host */
	double latency_us; /**< moving average of complete responses */
	double error_rate; /**< moving average, 0..1 */
	double refusal_rate; /**< moving average, 0..1 */
	uint32_t outcome_count; /**< in error_rate since the last ejection */
	uint32_t consecutive_failures;
	uint32_t consecutive_refusals;
	bool succeeded; /**< last_success is valid */
	struct bw_time last_success;

	bool ejected;
	bool probing; /**< the probe request is in flight */
	/** End of the ejection; afterwards, start of the decay interval. */
	struct bw_time eject_until;
	uint32_t
		ejections; /**< recent ones; halved after each decay interval */
};

/** A service and its servers. */
struct bw_backend_service {
	char name[BW_NAME_MAX];
	uint32_t *servers; /**< indices into the table's servers */
	uint32_t count;
	uint32_t servers_capacity; /**< allocated length of servers */
	uint32_t limit_max; /**< largest bw_backend_limit of a server */
	double latency_us; /**< moving average of complete responses */
};

/** Applies an event; returns false if the state chart has no transition. */
bool bw_backend_apply_event(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    enum bw_backend_event event, struct bw_time now);

/** Finds a server; NULL if there is none. */
struct bw_backend_server *
bw_backend_lookup(const struct bw_backend_table *table, const char *id);

/** Finds a service; NULL if there is none. */
struct bw_backend_service *
bw_backend_lookup_service(const struct bw_backend_table *table,
			  const char *name);

/** Returns whether an announcement is complete and within the limits. */
bool bw_backend_is_valid(const struct bw_backend_announcement *announcement);

/**
 * Adds a server, or resets a known one for a new incarnation.
 * @return BW_OK, BW_EFULL or BW_ENOMEM
 */
enum bw_status
bw_backend_put(struct bw_backend_table *table,
	       const struct bw_backend_announcement *announcement,
	       uint64_t sequence, struct bw_time now,
	       struct bw_backend_server **server);

/** Updates the state of a server to match its drain flags. */
void bw_backend_apply_drain(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    struct bw_time now);

/** Records a load report made at the time at. */
void bw_backend_report(struct bw_backend_table *table,
		       struct bw_backend_server *server, uint32_t in_flight,
		       uint32_t queue, struct bw_time at, struct bw_time now);

/** Returns whether the state of the server allows new work. */
bool bw_backend_accepts(const struct bw_backend_server *server);

/** Returns the limit on requests in flight, ignoring slow start. */
uint32_t bw_backend_limit(const struct bw_backend_server *server);

/** Returns the fraction (0..1] of the limit that slow start allows. */
double bw_backend_ramp(const struct bw_backend_table *table,
		       const struct bw_backend_server *server,
		       struct bw_time now);

/** Returns the current limit on requests in flight; 0 if none may start. */
uint32_t bw_backend_limit_now(const struct bw_backend_table *table,
			      const struct bw_backend_server *server,
			      struct bw_time now);

/** Ends ejections, the next to expire first, until enough servers are in use.
 */
void bw_backend_end_excess_ejections(struct bw_backend_table *table,
				     struct bw_backend_service *service);

#endif
