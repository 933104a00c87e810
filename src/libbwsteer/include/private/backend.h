/**
 * @file
 * Parts of the backend server table shared by its source files.
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
	BW_BACKEND_EVENT_RESTORE, /**< the report path broke */
	BW_BACKEND_EVENT_COUNT
};

/** Actions of charts/backend.yaml. */
enum bw_backend_action {
	BW_BACKEND_ACTION_RESET,
	BW_BACKEND_ACTION_START_RAMP,
	BW_BACKEND_ACTION_COUNT
};

/** A server of the table. */
struct bw_backend_server {
	bool used;
	uint32_t generation; /**< high half of the handle */
	struct bw_backend_announcement announced;
	uint64_t sequence; /**< of the incarnation, among hosts */
	uint32_t service; /**< index into the table's services */
	enum bw_backend_state state;
	bool drain_requested; /**< by the server; replicated */
	bool drain_planned; /**< by the sheet; local */

	struct bw_time reported; /**< last announcement or heartbeat */
	struct bw_time lost; /**< when it became lost */
	struct bw_time ramp_start;
	uint32_t reported_in_flight;
	uint32_t reported_queue;
	uint32_t own_at_report; /**< own in flight at the last report */
	double trust; /**< 0..1, weight of the reported load */

	uint32_t in_flight; /**< own requests */
	double latency_us; /**< moving average of complete responses */
	double error_rate; /**< moving average */
	double refusal_rate; /**< moving average */
	uint32_t outcomes; /**< counted for the averages */
	uint32_t failures; /**< in a row */
	uint32_t refusals; /**< in a row */
	bool succeeded; /**< last_ok is valid */
	struct bw_time last_ok;

	bool ejected;
	bool probing; /**< the probe request is in flight */
	struct bw_time eject_until;
	uint32_t ejections; /**< in short succession */
};

/** Servers of one service. */
struct bw_backend_service {
	char name[BW_NAME_MAX];
	uint32_t *servers; /**< indices into the table's servers */
	uint32_t count;
	uint32_t capacity;
	uint32_t limit_max; /**< largest limit of one server */
	double latency_us; /**< moving average of complete responses */
};

/** Applies an event; returns whether the chart allows it. */
bool bw_backend_step(struct bw_backend_table *table,
		     struct bw_backend_server *server,
		     enum bw_backend_event event, struct bw_time now);

/** Finds a server; NULL if there is none. */
struct bw_backend_server *
bw_backend_lookup(const struct bw_backend_table *table, const char *id);

/** Finds a service; NULL if there is none. */
struct bw_backend_service *
bw_backend_lookup_service(const struct bw_backend_table *table,
			  const char *name);

/** Returns whether an announcement is complete and within its bounds. */
bool bw_backend_is_valid(const struct bw_backend_announcement *announcement);

/**
 * Adds a server or restarts a known one with a new incarnation.
 * @return BW_OK, BW_EFULL or BW_ENOMEM
 */
enum bw_status
bw_backend_put(struct bw_backend_table *table,
	       const struct bw_backend_announcement *announcement,
	       uint64_t sequence, struct bw_time now,
	       struct bw_backend_server **server);

/** Applies the drain flags of a server to its state. */
void bw_backend_apply_drain(struct bw_backend_table *table,
			    struct bw_backend_server *server,
			    struct bw_time now);

/** Records a report that was made at a time. */
void bw_backend_report(struct bw_backend_table *table,
		       struct bw_backend_server *server, uint32_t in_flight,
		       uint32_t queue, struct bw_time at, struct bw_time now);

/** Returns whether the state of the server allows new work. */
bool bw_backend_accepts(const struct bw_backend_server *server);

/** Returns the most requests in flight, without the slow start. */
uint32_t bw_backend_limit(const struct bw_backend_server *server);

/** Returns the part (0..1] of the limit open in the slow start. */
double bw_backend_ramp(const struct bw_backend_table *table,
		       const struct bw_backend_server *server,
		       struct bw_time now);

/** Returns the most requests in flight at a time; 0 for no new work. */
uint32_t bw_backend_limit_now(const struct bw_backend_table *table,
			      const struct bw_backend_server *server,
			      struct bw_time now);

/** Ends ejections until the minimum of a service is in use. */
void bw_backend_keep_minimum(struct bw_backend_table *table,
			     struct bw_backend_service *service);

#endif
