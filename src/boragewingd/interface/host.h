/**
 * @file
 * One running host: the daemon's modules and their event loop.
 */
#ifndef BORAGEWINGD_HOST_H
#define BORAGEWINGD_HOST_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <jansson.h>

#include "bwbase/chart.h"
#include "bwbase/clock.h"
#include "bwbase/log.h"
#include "bwbase/metrics.h"
#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwmember/aggregator.h"
#include "bwmember/distribute.h"
#include "bwmember/member.h"
#include "bwproxy/frontend.h"
#include "bwproxy/upstream.h"

#include "command.h"
#include "directory.h"
#include "settings.h"
#include "steering.h"
#include "transport.h"

struct control;
struct calls;

/** States of a host (charts/host.yaml). */
enum host_state {
	HOST_RUNNING,
	HOST_LEAVING, /**< departure announced; still serves requests */
	HOST_STOPPING, /**< listeners closed; waits for requests in flight */
	HOST_STOPPED,
	HOST_STATE_COUNT
};

/** Stable names of enum host_state. */
extern const char *const host_state_string[HOST_STATE_COUNT];

/** Events of the host's chart. */
enum host_event {
	HOST_EVENT_LEAVE, /**< shutdown requested by a signal or an operator */
	HOST_EVENT_HANDED_OVER, /**< request keys handed over, or no
				     successor exists */
	HOST_EVENT_IDLE, /**< no request is in flight */
	HOST_EVENT_FORCE, /**< second signal or drain timeout */
	HOST_EVENT_COUNT
};

/** HTTP listeners of the front end. */
enum host_listener {
	HOST_LISTENER_ENTRY,
	HOST_LISTENER_OPERATORS,
	HOST_LISTENER_COUNT
};

/** A host. */
struct host {
	const struct settings *settings;
	struct ev_loop *loop;
	struct bw_log *log;
	struct bw_metrics metrics;
	struct bw_clock clock;
	struct bw_random random;
	uint64_t incarnation;
	int64_t start_wall_ms;
	struct bw_time start;

	struct bw_chart chart;
	uint8_t state; /**< an enum host_state */
	struct bw_time state_since;

	struct transport transport;
	struct bw_outbox out;
	struct bw_member member;
	struct bw_aggregator aggregator;
	struct bw_distribute distribute;
	struct directory directory;
	struct steering steering;
	struct command_client commands;
	struct control *control; /**< NULL unless a control host */
	struct bw_frontend *frontend;
	struct bw_upstream *upstream;
	struct calls *calls; /**< client requests */

	uint64_t lookup_sequence; /**< distributes lookups over domains */

	ev_timer tick_timer;
	ev_prepare prepare_watcher;
	ev_signal signals[3];
};

/**
 * Starts all modules on the event loop.
 * @param log logger; must outlive the host
 * @param error receives the cause of a failure
 * @return BW_OK or another status; host_finish is needed in both cases
 */
enum bw_status host_init(struct host *host, const struct settings *settings,
			 struct ev_loop *loop, struct bw_log *log,
			 struct bw_yaml_error *error);

/** Stops all modules and frees their memory. */
void host_finish(struct host *host);

/** Returns the current monotonic time. */
struct bw_time host_now(const struct host *host);

/**
 * Returns the wall clock time in milliseconds: the wall clock at the start of
 * the process plus the monotonic time since then. Unlike the system's wall
 * clock it never steps.
 */
int64_t host_wall_ms(const struct host *host);

/** Starts a graceful shutdown; a second call stops the host at once. */
void host_leave(struct host *host);

/** Returns whether a shutdown is in progress or complete. */
bool host_is_leaving(const struct host *host);

/** Writes the state of all modules into a JSON object. */
void host_dump(const struct host *host, json_t *into);

#endif
