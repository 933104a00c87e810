/**
 * @file
 * State that every gateway host has, whatever its roles: event loop, log,
 * metrics, transport, and the known control hosts and backend servers.
 */
#ifndef BORAGEWINGD_GATE_NODE_H
#define BORAGEWINGD_GATE_NODE_H

#include <ev.h>
#include <jansson.h>

#include "bwbase/log.h"
#include "bwbase/metrics.h"
#include "bwbase/random.h"
#include "bwmember/confirmation.h"
#include "bwproxy/listener.h"
#include "bwproxy/loop_clock.h"
#include "bwsteer/registry.h"
#include "gate_eviction.h"
#include "gate_settings.h"
#include "gate_wire.h"
#include "transport.h"

/** Interval of hello messages and of heartbeats. */
#define GATE_HELLO_INTERVAL_MS 500

/** Interval of hello messages while no control host responds. */
#define GATE_FIRST_HELLO_INTERVAL_MS 60

/** Time without a packet after which a host counts as unreachable. */
#define GATE_PEER_TIMEOUT_MS 1750

/** Interval of the periodic work of the entry and control roles. */
#define GATE_TICK_S 0.04

/** Which departures of a control host are known here, see gate_catch_up.h. */
struct gate_peer_departures {
	uint64_t named; /**< number of the last one at the control host */
	uint64_t received; /**< all up to this number have arrived */
	bool lacks_records; /**< the records of some have been requested */
	uint64_t tried_after; /**< 1 + received when it was requested again for
				   such records */
	struct bw_time requested_at;
};

/** A known control host. */
struct gate_peer {
	char name[BW_NAME_MAX]; /**< control address */
	char domain[BW_NAME_MAX]; /**< failure domain; "" while unknown */
	bool seed; /**< listed in the settings; never removed */
	struct bw_time last_heard; /**< last packet from it; 0 ms: none */
	struct bw_time last_listed; /**< last listed or heard from */
	bool lost; /**< unreachable, and logged as lost */
	uint64_t incarnation; /**< of its process */
	struct gate_peer_departures departures;
	bool voter; /**< votes in the control group; known to control hosts */
	struct bw_announcement announcement; /**< from its last status */
	bool sends_pieces; /**< of configurations */
	bool confirms; /**< says whether most voters confirm its version */
	bool tells_silence; /**< names servers that fall silent */
	uint64_t used_domains; /**< bit set of failure domains whose loads its
				    entry hosts use; kept by control hosts */
	struct bw_time contact_since; /**< this entry host sends it hellos since
					   then; 0 ms: it does not */
	struct bw_time avoided_until; /**< it did not respond to them */
	struct bw_time unconfirmed_since; /**< its first status in a row that
					       most voters did not confirm;
					       0 ms: the last one is */
	struct bw_time cut_off_until; /**< it said that it is cut off from most
					   voters */
};

/** State of a gateway host that all roles share. */
struct gate_node {
	struct gate_settings settings;
	struct ev_loop *loop;
	struct bw_loop_clock clock;
	struct bw_log *log;
	struct bw_metrics metrics;
	struct bw_random random;
	uint64_t incarnation;
	char name[BW_NAME_MAX]; /**< control address, else entry address */
	struct transport transport;
	struct bw_registry registry;
	struct gate_peer controls[GATE_CONTROLS_MAX];
	uint32_t control_count;
	bool controls_full; /**< logged that controls has no room */
	struct bw_time started_at;
	struct bw_time next_expire; /**< of backend servers */
	struct bw_buffer frame; /**< the message that is being sent */
	struct bw_memory memory; /**< of clients and backend servers */
	struct gate_evictions evictions;
	struct bw_listener metrics_listener;
	bool stopping;
	struct bw_time stop_by;
};

/**
 * Opens the transport and the metrics address.
 * @param receive handles packets from other hosts
 * @return BW_OK; BW_EIO after logging the failure
 */
enum bw_status gate_node_init(struct gate_node *node,
			      const struct gate_settings *settings,
			      struct ev_loop *loop, struct bw_log *log,
			      transport_receive_fn *receive, void *context);

/**
 * Returns the maximum number of connections of a listener.
 * @param fraction of the file descriptors that are not reserved
 */
uint32_t gate_node_connections_max(const struct gate_node *node,
				   double fraction);

/** Counts and logs a connection that a listener closed for others. */
void gate_node_note_eviction(struct gate_node *node,
			     const struct bw_listener_eviction *eviction);

/** Closes the transport and the metrics address, and frees the state. */
void gate_node_finish(struct gate_node *node);

/**
 * Returns the time of the current iteration of the event loop. It is unrelated
 * to the wall clock.
 */
struct bw_time gate_node_now(struct gate_node *node);

/**
 * Reads the clock again and returns the time. Promises between control hosts
 * (leases, votes) need a time after the packet or request was received, also
 * when the process was stopped within the iteration.
 */
struct bw_time gate_node_refresh(struct gate_node *node);

/**
 * Adds or refreshes a control host.
 * @param direct whether a packet came from the control host itself
 */
void gate_node_add_control(struct gate_node *node, const char *name,
			   bool direct, struct bw_time now);

/**
 * Records what a control host says in its status: of itself, and which other
 * control hosts there are.
 */
void gate_node_note_status(struct gate_node *node, const char *name,
			   const struct gate_status *status,
			   struct bw_time now);

/** Records the failure domain of a control host. */
void gate_node_set_control_domain(struct gate_node *node, const char *name,
				  const char *domain);

/** Replaces the set of seeds after a change of the settings. */
void gate_node_update_seeds(struct gate_node *node,
			    const struct gate_settings *settings,
			    struct bw_time now);

/**
 * Logs control hosts that became unreachable, removes the ones that have been
 * unreachable for long, and expires backend servers.
 */
void gate_node_check_controls(struct gate_node *node, struct bw_time now);

/** Returns the time until the next hello message. */
uint32_t gate_node_hello_interval_ms(const struct gate_node *node,
				     struct bw_time now);

/** Returns whether a control host sent a packet within the time limit. */
bool gate_peer_is_alive(const struct gate_peer *peer, struct bw_time now);

/** Sends the message in node->frame to a host. The frame stays unchanged. */
void gate_node_send(struct gate_node *node, const char *peer);

/** Does the same on a channel other than BW_CHANNEL_GATE. */
void gate_node_send_on(struct gate_node *node, enum bw_channel channel,
		       const char *peer);

/** Returns the number of live control hosts, this control host included. */
uint32_t gate_node_live_controls(const struct gate_node *node,
				 struct bw_time now);

/** Returns a known control host, or NULL. */
struct gate_peer *gate_node_control(struct gate_node *node, const char *name);

/** Clears node->frame for a new message, and returns it. */
struct bw_buffer *gate_node_frame(struct gate_node *node);

/**
 * Writes the address for traffic between hosts: the IP address of another
 * address of the host, with the internal port.
 * @return whether the other address is valid
 */
bool gate_internal_address(const struct gate_node *node, const char *address,
			   char internal[GATE_ADDRESS_BYTES]);

/** Returns the region of a failure domain; "" when it is unknown. */
const char *gate_node_region(const struct gate_node *node, const char *domain);

/** Returns an index below 32 for a region; 31 when it is unknown. */
uint32_t gate_node_region_index(const struct gate_node *node,
				const char *region);

/** Lists the failure domains of a bit set of their indices. */
void gate_domain_list_set(struct gate_domain_list *list,
			  const struct gate_settings *settings, uint64_t used);

/** Returns the index of a failure domain in the settings, else their count. */
uint32_t gate_node_domain_index(const struct gate_node *node,
				const char *domain);

/**
 * Adds the known control hosts to a state dump: their domain, whether they
 * vote, and how old what this host has from them is.
 */
void gate_node_dump(const struct gate_node *node, struct bw_time now,
		    json_t *into);

/** Merges a record of a backend server, and logs a change. */
enum bw_registry_outcome gate_node_merge(struct gate_node *node,
					 const struct bw_server_record *record,
					 const char *source, struct bw_time now,
					 struct bw_server **server);

/**
 * Merges records and applies heartbeats. Requests the records from the sender
 * that its heartbeats show to be missing or outdated here.
 */
void gate_node_receive_servers(struct gate_node *node, const char *sender,
			       const struct gate_servers *servers,
			       struct bw_time now);

#endif
