/**
 * @file
 * Messages between the hosts of a gateway (BW_CHANNEL_GATE).
 *
 * - Entry hosts send hello messages to a few control hosts (bwmember/feed.h),
 *   control hosts to all other control hosts.
 * - Control hosts respond to entry hosts with their status: current versions,
 *   evacuations, and the index of the receiver among the entry hosts. Receivers
 *   that request more detail also get the list of control hosts and the demands
 *   of all failure domains. Voters respond to control hosts, too, which confirm
 *   their version by most of them; so does a control host that knows more
 *   control hosts than the sender.
 * - Each control host lists the entry hosts that get full detail from it, and
 *   their demands, to all other control hosts (GATE_FLEET).
 * - Control hosts forward the announcements of backend servers to each other:
 *   whole records after a change, else heartbeats. Entry hosts that requested
 *   full detail get the changes and, one after the other in a cycle, the
 *   heartbeats of all servers; a server that falls silent is named at once. A
 *   receiver requests the record when a heartbeat does not match its own.
 * - Each control host numbers the departures of servers in the order in which
 *   it learns of them, and names the last number in its hello and status. A
 *   receiver that has missed some requests what comes after the last one that
 *   it has (gate_catch_up.h).
 * - Loads of backend servers go from an entry host to the control host that
 *   sends it full detail, then to the control hosts and entry hosts that use
 *   servers in that failure domain.
 * - Entry hosts send the demand of customers with a quota to the control host
 *   that sends them full detail. It passes it on to the leader of the control
 *   hosts, whose grants come back on the same way. The leader also sends all
 *   control hosts a list of customers for their entry hosts. Nothing is sent
 *   where no customer has a quota.
 * - Entry hosts request configurations on BW_CHANNEL_DISTRIBUTE, see
 *   bwmember/distribute.h. While hosts are upgraded, control hosts of earlier
 *   versions get a GATE_ROUTING_REQUEST and send the whole text.
 */
#ifndef BORAGEWINGD_GATE_WIRE_H
#define BORAGEWINGD_GATE_WIRE_H

#include <stdbool.h>
#include <stdint.h>

#include "bwagree/state.h"
#include "bwbase/buffer.h"
#include "bwbase/codec.h"
#include "bwcustomer/quota_grants.h"
#include "bwmember/roster.h"
#include "bwsteer/registry.h"
#include "bwsteer/retired_routes.h"

/** Maximum number of known control hosts. */
#define GATE_CONTROLS_MAX 128

/** Maximum number of records, heartbeats or requests in one message. */
#define GATE_BATCH_MAX 64

/** Message types. The values are part of the wire format. */
enum gate_message_type {
	GATE_HELLO = 1,
	GATE_STATUS = 2,
	GATE_SERVERS = 3,
	GATE_SERVERS_ACK = 4, /**< acknowledges records to a control host */
	GATE_RECORDS_REQUEST = 5,
	GATE_ROUTING_REQUEST = 6,
	GATE_ROUTING = 7,
	GATE_LOADS = 8, /**< loads of backend servers */
	GATE_FLEET = 9, /**< entry hosts of a control host, and their demands */
	GATE_DEPARTURES_REQUEST = 10, /**< answered with GATE_SERVERS */
	GATE_QUOTA_DEMAND = 11, /**< demand of customers with a quota */
	GATE_QUOTA_GRANT = 12 /**< answers it; or lists customers that are not
				   open */
};

/** How much detail an entry host requests from a control host. */
enum gate_detail {
	GATE_DETAIL_BRIEF, /**< versions, evacuations, and records of
			       servers that are not ready */
	GATE_DETAIL_NAMES, /**< also the list of control hosts */
	GATE_DETAIL_FULL, /**< also demands, backend servers, loads */
	GATE_DETAIL_COUNT
};

/** Whether a host accepts requests. */
enum gate_host_state {
	GATE_HOST_STARTING,
	GATE_HOST_READY,
	GATE_HOST_LEAVING,
	GATE_HOST_STATE_COUNT
};

/** Maximum number of demands in one message. */
#define GATE_DEMANDS_MAX 256

/** Request rate of a service in a failure domain. */
struct gate_demand {
	char domain[BW_NAME_MAX];
	uint64_t service_hash; /**< see bw_registry_hash */
	uint32_t millirequests_per_s; /**< request rate */
};

/** Maximum number of loads in one message. */
#define GATE_LOADS_MAX 256

/** Load, speed, limit and leave that a backend server reported in its answers.
 */
struct gate_load {
	uint64_t id_hash;
	uint32_t outstanding; /**< running and waiting requests */
	uint32_t limit_millirequests_per_s; /**< that it takes from all hosts
						 together; 0: no limit */
	uint32_t time_percent; /**< time that work takes there; 0: as usual, or
				  not told */
	bool leaving;
	int64_t started_wall_ms; /**< start of the server that leaves */
};

/** Maximum number of failure domains listed in one message. */
#define GATE_DOMAIN_LIST_MAX 64

/** Failure domains in which a host uses backend servers. */
struct gate_domain_list {
	char domains[GATE_DOMAIN_LIST_MAX][BW_NAME_MAX];
	uint32_t count;
	bool known; /**< else the host uses all */
};

/** GATE_HELLO */
struct gate_hello {
	bool control; /**< a control host; else an entry host */
	enum gate_host_state state;
	enum gate_detail detail; /**< requested by an entry host */
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	uint64_t routing_version; /**< current at the sender */
	struct gate_demand demands[GATE_DEMANDS_MAX]; /**< at the sender */
	uint32_t demand_count;
	struct gate_load loads[GATE_LOADS_MAX]; /**< recent reports */
	uint32_t load_count;
	uint64_t sent_ms; /**< by the clock of the sender; 0: unknown */
	uint32_t control_count; /**< live control hosts that a control host
				     knows, itself included; else 0 */
	bool accepts_silence; /**< understands GATE_HEARTBEAT_SILENT */
	struct gate_domain_list used; /**< loads of these are of use */
	uint64_t departures; /**< number of the last one at a control host */
};

/** GATE_STATUS */
struct gate_status {
	char domain[BW_NAME_MAX]; /**< failure domain of the sender */
	bool current; /**< routing and evacuations are up to date */
	uint64_t routing_version;
	uint64_t evacuation_index;
	char evacuated[BW_EVACUATIONS_MAX][BW_NAME_MAX];
	uint32_t evacuated_count;
	char controls[GATE_CONTROLS_MAX][BW_NAME_MAX];
	char control_domains[GATE_CONTROLS_MAX][BW_NAME_MAX]; /**< "" unknown */
	uint32_t control_count; /**< 0 for GATE_DETAIL_BRIEF */
	uint32_t entry_count; /**< known to the sender */
	uint32_t entry_index; /**< of the receiver among entry hosts */
	uint32_t domain_entry_count; /**< in the receiver's domain */
	struct gate_demand demands[GATE_DEMANDS_MAX]; /**< of all domains */
	uint32_t demand_count;
	uint64_t hello_sent_ms; /**< sent_ms of the receiver's last hello; 0:
				     none */
	bool sends_pieces; /**< the sender answers requests of
				BW_CHANNEL_DISTRIBUTE */
	bool names_retired; /**< the sender knows which routes have changed */
	struct bw_retired_routes retired; /**< without times */
	bool confirms; /**< the sender says whether most voters confirm its
			    version */
	bool confirmed; /**< they do */
	uint32_t confirmed_age_ms; /**< time since then */
	bool tells_silence; /**< the sender names servers that fall silent, and
				 sends few other heartbeats */
	uint64_t departures; /**< number of the last one at the sender */
};

/** Maximum number of entry hosts in one message. */
#define GATE_FLEET_HOSTS_MAX 512

/** GATE_FLEET */
struct gate_fleet {
	struct bw_roster_host hosts[GATE_FLEET_HOSTS_MAX];
	uint32_t host_count;
	struct gate_demand demands[GATE_DEMANDS_MAX];
	uint32_t demand_count;
};

/**
 * Added to the state in a heartbeat of a server that the sender has not heard
 * of for too long. The sequence number is the last one that it heard.
 */
#define GATE_HEARTBEAT_SILENT 0x10U

/**
 * Heartbeat of a backend server; also identifies the record that is
 * acknowledged or requested.
 */
struct gate_heartbeat {
	uint64_t id_hash;
	int64_t started_wall_ms; /**< start time; identifies the run */
	uint64_t sequence;
	enum bw_server_state state;
	bool silent; /**< see GATE_HEARTBEAT_SILENT */
};

/**
 * GATE_SERVERS, GATE_SERVERS_ACK and GATE_RECORDS_REQUEST. A GATE_SERVERS with
 * departures_upto has all departures of its sender with numbers above
 * departures_after, up to this one.
 */
struct gate_servers {
	struct bw_server_record records[GATE_BATCH_MAX];
	uint32_t record_count;
	struct gate_heartbeat heartbeats[GATE_BATCH_MAX];
	uint32_t heartbeat_count;
	uint64_t departures_after;
	uint64_t departures_upto; /**< 0: the message does not say */
};

/** GATE_DEPARTURES_REQUEST */
struct gate_departures_request {
	uint64_t after; /**< number of the last one that the sender has */
};

/** GATE_ROUTING and GATE_ROUTING_REQUEST (without text) */
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

/** Maximum number of customers in one message about quotas. */
#define GATE_QUOTAS_MAX 128

/** GATE_QUOTA_DEMAND; report.demands refers to demands when read */
struct gate_quota_demand {
	struct bw_quota_report report;
	struct bw_quota_demand demands[GATE_QUOTAS_MAX];
};

/** GATE_QUOTA_GRANT */
struct gate_quota_grant {
	char host[BW_NAME_MAX]; /**< entry host; "": all, with a list */
	uint64_t incarnation; /**< of its process */
	uint64_t term; /**< in which the sender grants */
	uint64_t sent_ms; /**< of the demand that this answers */
	struct bw_quota_grant grants[GATE_QUOTAS_MAX];
	uint32_t grant_count;
	struct bw_quota_closed closed[BW_QUOTA_CLOSED_MAX]; /**< customers; see
						   bw_quota_set_closed */
	uint32_t closed_count;
};

/** Append an encoded message to out. */
void gate_hello_write(struct bw_buffer *out, const struct gate_hello *hello);
void gate_status_write(struct bw_buffer *out, const struct gate_status *status);
void gate_servers_write(struct bw_buffer *out, enum gate_message_type type,
			const struct gate_servers *servers);
void gate_loads_write(struct bw_buffer *out, const struct gate_loads *loads);
void gate_fleet_write(struct bw_buffer *out, const struct gate_fleet *fleet);
void gate_routing_write(struct bw_buffer *out, enum gate_message_type type,
			const struct gate_routing *routing);
void gate_departures_request_write(
	struct bw_buffer *out, const struct gate_departures_request *request);
void gate_quota_demand_write(struct bw_buffer *out,
			     const struct bw_quota_report *report);
void gate_quota_grant_write(struct bw_buffer *out,
			    const struct gate_quota_grant *grant);

/** Begins a message; field_count values must follow. */
void gate_message_begin(struct bw_writer *writer, struct bw_buffer *out,
			enum gate_message_type type, uint32_t field_count);

/**
 * Reads the version and the type of a message. The content follows.
 * @return the type, or 0 for an unknown version or type
 */
int gate_message_type(struct bw_reader *reader);

/** Fills in the heartbeat of a server. */
void gate_heartbeat_set(struct gate_heartbeat *heartbeat,
			const struct bw_server *server);

/** Decode the content of a message; invalid values set reader->failed. */
void gate_hello_read(struct bw_reader *reader, struct gate_hello *hello);
void gate_status_read(struct bw_reader *reader, struct gate_status *status);
void gate_servers_read(struct bw_reader *reader, struct gate_servers *servers);
void gate_loads_read(struct bw_reader *reader, struct gate_loads *loads);
void gate_fleet_read(struct bw_reader *reader, struct gate_fleet *fleet);
void gate_routing_read(struct bw_reader *reader, struct gate_routing *routing);
void gate_departures_request_read(struct bw_reader *reader,
				  struct gate_departures_request *request);
void gate_quota_demand_read(struct bw_reader *reader,
			    struct gate_quota_demand *demand);
void gate_quota_grant_read(struct bw_reader *reader,
			   struct gate_quota_grant *grant);

#endif
