/**
 * @file
 * Messages between the hosts of a gateway (BW_CHANNEL_GATE).
 *
 * - Every host says hello to all control hosts.
 * - Control hosts answer with their status: numbers in force, evacuations, and
 *   the receiver's place among the entry hosts; to those that ask for more
 *   detail also the control hosts and the demands of all failure domains.
 * - Control hosts tell each other what backend servers told them: whole records
 *   when something changed, else signs of life. They pass it on to the entry
 *   hosts that asked for full detail. A receiver asks for the records of signs
 *   of life that do not match its own.
 * - Loads of backend servers go the same way: from an entry host to the control
 *   host that tells it details, to all control hosts, to all entry hosts.
 * - Hosts fetch a configuration by its version.
 */
#ifndef BORAGEWINGD_GATE_WIRE_H
#define BORAGEWINGD_GATE_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "bwagree/state.h"
#include "bwbase/buffer.h"
#include "bwbase/codec.h"
#include "bwsteer/registry.h"

/** Most control hosts named in one message. */
#define GATE_CONTROLS_MAX 24

/** Most records, signs of life or requests in one message. */
#define GATE_BATCH_MAX 64

/** Types of message. The values are part of the wire format. */
enum gate_message_type {
	GATE_HELLO = 1,
	GATE_STATUS = 2,
	GATE_SERVERS = 3,
	GATE_SERVERS_ACK = 4, /**< confirms records to a control host */
	GATE_RECORDS_REQUEST = 5,
	GATE_ROUTING_REQUEST = 6,
	GATE_ROUTING = 7,
	GATE_LOADS = 8 /**< loads of backend servers */
};

/** How much an entry host asks a control host to tell. */
enum gate_detail {
	GATE_DETAIL_BRIEF, /**< numbers in force, and records that bind */
	GATE_DETAIL_NAMES, /**< the control hosts too */
	GATE_DETAIL_FULL, /**< all: demands, backend servers and their loads */
	GATE_DETAIL_COUNT
};

/** Whether a host takes requests. */
enum gate_host_state {
	GATE_HOST_STARTING,
	GATE_HOST_READY,
	GATE_HOST_LEAVING,
	GATE_HOST_STATE_COUNT
};

/** Most demands in one message. */
#define GATE_DEMANDS_MAX 256

/** Requests for a service in a failure domain. */
struct gate_demand {
	char domain[BW_NAME_MAX];
	uint64_t service_hash; /**< see bw_registry_hash */
	uint32_t millirequests_per_s; /**< thousandths of a request a second */
};

/** Most loads in one message. */
#define GATE_LOADS_MAX 256

/** Requests at a backend server, as it reported them itself. */
struct gate_load {
	uint64_t id_hash;
	uint32_t outstanding; /**< running and waiting */
};

/** GATE_HELLO */
struct gate_hello {
	bool control; /**< a control host; else an entry host */
	enum gate_host_state state;
	enum gate_detail detail; /**< of an entry host: what it asks for */
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	uint64_t routing_version; /**< in force at the sender */
	struct gate_demand demands[GATE_DEMANDS_MAX]; /**< at the sender */
	uint32_t demand_count;
	struct gate_load loads[GATE_LOADS_MAX]; /**< reported lately */
	uint32_t load_count;
};

/** GATE_STATUS */
struct gate_status {
	char domain[BW_NAME_MAX]; /**< failure domain of the sender */
	bool current; /**< routing and evacuations may be used */
	uint64_t routing_version;
	uint64_t evacuation_index;
	char evacuated[BW_EVACUATIONS_MAX][BW_NAME_MAX];
	uint32_t evacuated_count;
	char controls[GATE_CONTROLS_MAX][BW_NAME_MAX];
	uint32_t control_count; /**< 0 when only brief detail was asked for */
	uint32_t entry_count; /**< entry hosts that the sender knows */
	uint32_t entry_index; /**< of the receiver among them */
	uint32_t domain_entry_count; /**< of them in the receiver's domain */
	struct gate_demand demands[GATE_DEMANDS_MAX]; /**< of all domains */
	uint32_t demand_count;
};

/** A sign of life of a backend server, or what confirms or asks for it. */
struct gate_heartbeat {
	uint64_t id_hash;
	int64_t started_wall_ms; /**< which start of the server it is */
	uint64_t sequence;
	uint32_t state; /**< an enum bw_server_state */
};

/** GATE_SERVERS, GATE_SERVERS_ACK and GATE_RECORDS_REQUEST */
struct gate_servers {
	struct bw_server_record records[GATE_BATCH_MAX];
	uint32_t record_count;
	struct gate_heartbeat heartbeats[GATE_BATCH_MAX];
	uint32_t heartbeat_count;
};

/** GATE_ROUTING and GATE_ROUTING_REQUEST (without a text) */
struct gate_routing {
	uint64_t version;
	const uint8_t *text; /**< points into the message */
	size_t text_bytes;
};

/** GATE_LOADS */
struct gate_loads {
	struct gate_load loads[GATE_LOADS_MAX];
	uint32_t count;
};

/** Encode a message at the end of out. */
void gate_hello_write(struct bw_buffer *out, const struct gate_hello *hello);
void gate_status_write(struct bw_buffer *out, const struct gate_status *status);
void gate_servers_write(struct bw_buffer *out, enum gate_message_type type,
			const struct gate_servers *servers);
void gate_loads_write(struct bw_buffer *out, const struct gate_loads *loads);
void gate_routing_write(struct bw_buffer *out, enum gate_message_type type,
			const struct gate_routing *routing);

/**
 * Reads version and type of a message; its content follows.
 * @return the type, or 0 for an unknown version or type
 */
int gate_message_type(struct bw_reader *reader);

/** Fills in the sign of life of a server. */
void gate_heartbeat_set(struct gate_heartbeat *sign,
			const struct bw_server *server);

/** Decode the content of a message; the reader fails on bad values. */
void gate_hello_read(struct bw_reader *reader, struct gate_hello *hello);
void gate_status_read(struct bw_reader *reader, struct gate_status *status);
void gate_servers_read(struct bw_reader *reader, struct gate_servers *servers);
void gate_loads_read(struct bw_reader *reader, struct gate_loads *loads);
void gate_routing_read(struct bw_reader *reader, struct gate_routing *routing);

#endif
