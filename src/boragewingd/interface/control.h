/**
 * @file
 * Role of a control host: its replica, the commands that it executes as
 * leader, publication of committed documents, and the planner.
 */
#ifndef BORAGEWINGD_CONTROL_H
#define BORAGEWINGD_CONTROL_H

#include <stdint.h>

#include <glib.h>
#include <jansson.h>

#include "bwagree/replica.h"
#include "bwbase/chart.h"
#include "bwbase/yaml.h"
#include "bwsteer/plan.h"

#include "command.h"

/** Time between two planning steps. */
#define CONTROL_PLAN_INTERVAL_MS 1000

/** The control role of a host. */
struct control {
	struct host *host;
	struct bw_storage storage;
	struct bw_chart replica_chart;
	struct bw_chart shift_chart;
	struct bw_replica *replica;
	GHashTable *waiting; /**< log index -> struct waiting_command */
	struct bw_plan plan; /**< may be newer than the committed plan */
	struct bw_sheet *sheet; /**< sheet that the planner uses */
	uint64_t plan_index; /**< log index of the plan in flight; 0 none */
	struct bw_time next_plan;
	bool current; /**< the replica has caught up since the start */
	bool is_leader; /**< with a valid lease, as of the last tick */
	bool dirty; /**< there are proposals not yet sent and synced */
};

/**
 * Opens the data folder and starts the replica.
 * @return BW_OK, or another status with error filled
 */
enum bw_status control_init(struct control *control, struct host *host,
			    struct bw_yaml_error *error);

/** Frees the role. Waiting commands get no reply. */
void control_finish(struct control *control);

/** Handles a packet of BW_CHANNEL_REPLICA. */
void control_receive(struct control *control, const struct bw_packet *packet,
		     struct bw_time now);

/** Runs timers; called every 50 ms. */
void control_tick(struct control *control, struct bw_time now);

/**
 * Sends and syncs the pending proposals, then handles the replica's events.
 * Called once before the event loop blocks, so that all proposals of one
 * iteration share one sync.
 */
void control_flush(struct control *control, struct bw_time now);

/**
 * Executes a command if this host is the leader.
 * @param origin host that waits for the reply
 * @param call_number number that the origin assigned to the command
 * @return BW_OK when the reply was sent or will be; BW_EUNAVAILABLE when this
 *	host is not the leader
 */
enum bw_status control_execute(struct control *control,
			       const struct command *command,
			       const char *origin, uint64_t call_number,
			       struct bw_time now);

/** Returns the leader's name, "" when unknown. */
const char *control_leader(const struct control *control);

/** Writes the state dump. */
void control_dump(const struct control *control, json_t *into);

#endif
