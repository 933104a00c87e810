/**
 * @file
 * Stand-in backend servers: several instances in one process.
 */
#ifndef TOOLS_STANDIN_H
#define TOOLS_STANDIN_H

#include <ev.h>
#include <glib.h>
#include <stdbool.h>
#include <stdint.h>

#include "bwbase/packet.h"
#include "bwbase/random.h"
#include "bwproxy/frontend.h"
#include "bwproxy/upstream.h"

/** Maximum number of instances per process. */
#define INSTANCES_MAX 64
/** Maximum number of entry hosts that an instance reports to. */
#define ENTRIES_MAX 16

/** Distribution of the service time. */
enum service_time { SERVICE_FIXED, SERVICE_UNIFORM, SERVICE_EXPONENTIAL };

/** Fault that is injected into a response. */
enum fault {
	FAULT_NONE,
	FAULT_LATE, /**< delays the response by late_ms */
	FAULT_WRONG_LENGTH, /**< Content-Length is 10 bytes too large */
	FAULT_RESET, /**< closes the connection without a response */
	FAULT_SHORT_BODY, /**< sends half of the body, then closes the
			   connection */
	FAULT_COUNT
};

/** Command line options. */
struct options {
	char *service;
	char *failure_domain;
	char *id_prefix;
	char *address;
	char **entries; /**< address:port, NULL-terminated */
	char *ledger_path;
	char *crash_marker;
	char *fault_name;
	char *service_time_name;
	int count;
	int port_base; /**< 0: ports chosen by the kernel */
	int slots;
	int connections;
	int service_ms; /**< mean */
	int cold_start_ms; /**< duration of the cold start */
	int cold_factor; /**< initial factor of the service time; falls to 1
			    linearly during the cold start */
	int restart_ms; /**< time from crash to restart; 0: no restart */
	int lie_percent; /**< share of heartbeats that report in_flight 0 */
	int fault_percent;
	int late_ms;
	int answer_bytes;
	int drain_ms; /**< minimum time between drain and leave */
	int max_s; /**< time limit of the process */
	int seed;
	gboolean fail_fast; /**< responds 500 at once */
	gboolean crash_process; /**< crash_marker ends the whole process */
	enum fault fault; /**< from fault_name */
	enum service_time service_time;
};

/** Entry host that an instance reports to. */
struct entry {
	char address[BW_FRONTEND_PEER_BYTES];
	uint16_t port;
	bool announced;
};

/** Lifecycle state of an instance. */
enum instance_state { INSTANCE_UP, INSTANCE_DRAINING, INSTANCE_DOWN };

/** Stand-in backend server. */
struct instance {
	struct standin *standin;
	char id[BW_NAME_MAX];
	uint64_t incarnation;
	uint16_t port;
	enum instance_state state;
	struct bw_frontend *frontend;
	struct entry entries[ENTRIES_MAX];
	uint32_t entry_count;
	uint32_t in_flight;
	int64_t started_ms; /**< wall clock */
	int64_t drain_started_ms; /**< wall clock */
	ev_timer heartbeat;
	ev_timer restart;
	ev_prepare crash_event; /**< triggered by the request that crashes the
				   instance, so that the frontend is freed
				   outside its own callbacks */
	bool left; /**< leave sent, or down at shutdown */
};

/** State of the process. */
struct standin {
	struct options options;
	struct ev_loop *loop;
	struct bw_upstream *upstream;
	struct bw_random random;
	struct instance instances[INSTANCES_MAX];
	uint32_t count;
	int ledger_fd; /**< -1: none */
	uint32_t reports_in_flight;
	bool shutting_down;
};

/** Parses the command line. @return whether it is valid */
bool options_parse(struct options *options, int argc, char **argv);
/** Frees what options_parse allocated. */
void options_finish(struct options *options);

/** Adds the entry hosts of the command line. */
void report_init(struct instance *instance);
/** Sends an announce or a heartbeat to every known entry host. */
void report_heartbeat(struct instance *instance);
/** Sends a report of one kind ("drain", "leave") to every entry host. */
void report_send(struct instance *instance, const char *kind);

#endif
