/**
 * @file
 * What all gateway hosts have in common: loop, log, metrics, transport, the
 * known control hosts and backend servers.
 */
#ifndef BORAGEWINGD_GATE_NODE_H
#define BORAGEWINGD_GATE_NODE_H

#include <ev.h>
#include <jansson.h>

#include "bwbase/log.h"
#include "bwbase/metrics.h"
#include "bwbase/random.h"
#include "bwproxy/listener.h"
#include "bwsteer/registry.h"
#include "gate_settings.h"
#include "gate_wire.h"
#include "transport.h"

/** Interval of hellos and of signs of life. */
#define GATE_HELLO_INTERVAL_MS 500

/** Interval of hellos while no control host has been heard. */
#define GATE_FIRST_HELLO_INTERVAL_MS 60

/** Time after which a silent host is taken for unreachable. */
#define GATE_PEER_TIMEOUT_MS 1750

/** Interval of the timers of the roles. */
#define GATE_TICK_S 0.04

/** A control host that this host talks to. */
struct gate_peer {
	char name[BW_NAME_MAX]; /**< its control address */
	char domain[BW_NAME_MAX]; /**< "" until it has said so */
	bool seed; /**< named in the settings; never forgotten */
	struct bw_time last_heard; /**< 0 ms: never */
	struct bw_time last_named; /**< last named by another control host */
	bool lost; /**< reported as lost in the log */
};

/** Common part of a host. */
struct gate_node {
	struct gate_settings settings;
	struct ev_loop *loop;
	struct bw_log *log;
	struct bw_metrics metrics;
	struct bw_random random;
	uint64_t incarnation;
	char name[BW_NAME_MAX]; /**< control address, else entry address */
	struct transport transport;
	struct bw_registry registry;
	struct gate_peer controls[GATE_CONTROLS_MAX];
	uint32_t control_count;
	struct bw_buffer frame; /**< for one message to send */
	struct bw_listener metrics_listener;
	bool stopping;
	struct bw_time stop_by;
};

/**
 * Opens transport and metrics.
 * @param receive handles packets of other hosts
 * @return BW_OK or BW_EIO, which is logged
 */
enum bw_status gate_node_init(struct gate_node *node,
			      const struct gate_settings *settings,
			      struct ev_loop *loop, struct bw_log *log,
			      transport_receive_fn *receive, void *context);

/** Closes everything. */
void gate_node_finish(struct gate_node *node);

/** Returns the time of the present round of the loop. */
struct bw_time gate_node_now(const struct gate_node *node);

/** Adds or refreshes a control host. @param heard it sent a packet itself */
void gate_node_add_control(struct gate_node *node, const char *name, bool heard,
			   struct bw_time now);

/** Records the failure domain of a control host. */
void gate_node_set_control_domain(struct gate_node *node, const char *name,
				  const char *domain);

/** Adds the seeds of changed settings. */
void gate_node_update_seeds(struct gate_node *node,
			    const struct gate_settings *settings,
			    struct bw_time now);

/** Forgets control hosts that are gone, and logs lost and regained ones. */
void gate_node_check_controls(struct gate_node *node, struct bw_time now);

/** Returns the time until the next hello. */
uint32_t gate_node_hello_interval_ms(const struct gate_node *node,
				     struct bw_time now);

/** Returns whether a control host was heard lately. */
bool gate_peer_is_alive(const struct gate_peer *peer, struct bw_time now);

/** Sends the message in node->frame to a host and leaves the frame. */
void gate_node_send(struct gate_node *node, const char *peer);

/** The same on another channel than BW_CHANNEL_GATE. */
void gate_node_send_on(struct gate_node *node, enum bw_channel channel,
		       const char *peer);

/** Returns whether a host is a known control host. */
bool gate_node_is_control(const struct gate_node *node, const char *name);

/** Starts a new message in node->frame. */
struct bw_buffer *gate_node_frame(struct gate_node *node);

/** Writes an address with the inner port of the host of another address. */
bool gate_internal_address(const struct gate_node *node, const char *address,
			   char inner[GATE_ADDRESS_BYTES]);

/** Returns the region of a failure domain; "" when it is unknown. */
const char *gate_node_region(const struct gate_node *node, const char *domain);

/** Returns the index of a region among the settings' regions. */
uint32_t gate_node_region_index(const struct gate_node *node,
				const char *region);

/** Returns the index of a failure domain; the count of them when unknown. */
uint32_t gate_node_domain_index(const struct gate_node *node,
				const char *domain);

/** Merges a record; logs changes. */
enum bw_registry_outcome gate_node_merge(struct gate_node *node,
					 const struct bw_server_record *record,
					 const char *source, struct bw_time now,
					 struct bw_server **server);

/** Handles records and signs of life; asks the sender for what is unknown. */
void gate_node_receive_servers(struct gate_node *node, const char *sender,
			       const struct gate_servers *servers,
			       struct bw_time now);

#endif
