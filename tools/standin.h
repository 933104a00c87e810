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

/** Most instances of one process. */
#define INSTANCES_MAX 64
/** Most entry hosts that one instance announces itself to. */
#define ENTRIES_MAX 16

/** Shape of the service time. */
enum service_time { SERVICE_FIXED, SERVICE_UNIFORM, SERVICE_EXPONENTIAL };

/** What goes wrong with a response. */
enum fault {
	FAULT_NONE,
	FAULT_LATE, /**< late_ms are added before the response */
	FAULT_WRONG_LENGTH, /**< states 10 bytes more than it sends */
	FAULT_RESET, /**< closes the connection without a response */
	FAULT_SHORT_BODY, /**< closes the connection in the middle */
	FAULT_COUNT
};

/** Command line. */
struct options {
	char *service;
	char *failure_domain;
	char *id_prefix;
	char *address;
	char **entries; /**< address:port, ended by NULL */
	char *ledger_path;
	char *crash_marker;
	char *fault_name;
	char *service_time_name;
	int count;
	int port_base; /**< 0: ports chosen by the kernel */
	int slots;
	int connections;
	int service_ms; /**< mean */
	int cold_start_ms; /**< length of the slow phase after a start */
	int cold_factor; /**< service time factor at its beginning */
	int restart_ms; /**< pause after a crash; 0: stays down */
	int lie_percent; /**< heartbeats that report no load */
	int fault_percent;
	int late_ms;
	int answer_bytes;
	int drain_ms; /**< shortest time between drain and leave */
	int max_s; /**< the process ends after it */
	int seed;
	gboolean fail_fast; /**< 500 at once */
	gboolean crash_process; /**< a marker ends the whole process */
	enum fault fault; /**< from fault_name */
	enum service_time service_time;
};

/** An entry host known to an instance. */
struct entry {
	char address[BW_FRONTEND_PEER_BYTES];
	uint16_t port;
	bool announced;
};

/** State of an instance. */
enum instance_state { INSTANCE_UP, INSTANCE_DRAINING, INSTANCE_DOWN };

/** One backend server. */
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
	int64_t drain_started_ms; /**< wall clock of the drain */
	ev_timer heartbeat;
	ev_timer restart;
	ev_prepare
		crash_event; /**< fed, so that a crash happens outside events */
	bool left;
};

/** The process. */
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

/** Parses the command line. @return whether it is usable */
bool options_parse(struct options *options, int argc, char **argv);
/** Frees what options_parse allocated. */
void options_finish(struct options *options);

/** Adds the configured entry hosts. */
void report_init(struct instance *instance);
/** Announces or sends a heartbeat to every known entry host. */
void report_heartbeat(struct instance *instance);
/** Sends a report of one kind ("drain", "leave") to every entry host. */
void report_send(struct instance *instance, const char *kind);

#endif
