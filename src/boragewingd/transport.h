/**
 * @file
 * Packet transport between hosts (ZeroMQ), encrypted with CURVE when the
 * fleet has a key.
 */
#ifndef BORAGEWINGD_TRANSPORT_H
#define BORAGEWINGD_TRANSPORT_H

#include <stdint.h>

#include <ev.h>
#include <glib.h>

#include "bwbase/metrics.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"
#include "bwproxy/loop_clock.h"

/** Buffer size of an address such as "127.0.0.1:7000", with its NUL. */
#define TRANSPORT_ADDRESS_BYTES 64

/**
 * Called for each packet received; the packet is valid during the call.
 */
typedef void transport_receive_fn(void *context,
				  const struct bw_packet *packet);

/** Counters of the transport since its start. */
struct transport_counts {
	uint64_t sent_packets;
	uint64_t sent_bytes;
	uint64_t received_packets;
	uint64_t received_bytes;
	uint64_t dropped_packets; /**< queue full or peer not connected */
	uint64_t malformed_packets; /**< received, but not a valid frame */
	uint64_t rejected_peers; /**< failed handshakes, for example with
				 another key */
	uint64_t channel_sent_packets[BW_CHANNEL_COUNT];
	uint64_t channel_sent_bytes[BW_CHANNEL_COUNT];
};

/** Configuration of a transport; strings need not outlive transport_init. */
struct transport_config {
	struct ev_loop *loop;
	const char *self; /**< own host name */
	uint64_t incarnation; /**< own incarnation */
	const char *listen_address; /**< address:port to bind */
	const char *advertise_address; /**< address:port that peers use */
	const char *source_address; /**< local IPv4 address of outgoing
					connections */
	const uint8_t *fleet_key; /**< 32 bytes, seed of the CURVE key pair;
				     NULL disables encryption */
	uint32_t heartbeat_ms; /**< interval of ZMTP heartbeats; 0 for the
				  default */
	uint32_t idle_timeout_ms; /**< time without a packet to a peer after
				     which its connection is closed; 0 for the
				     default */
	transport_receive_fn *receive;
	void *context;
};

/**
 * A transport. Each frame carries the advertised address of its sender, so
 * that a receiver can reply to a host that is not in its settings.
 */
struct transport {
	struct transport_config config;
	char self[BW_NAME_MAX];
	char source[TRANSPORT_ADDRESS_BYTES];
	char advertised[TRANSPORT_ADDRESS_BYTES];
	char public_key[41]; /**< Z85 text */
	char secret_key[41]; /**< Z85 text */
	uint8_t public_key_bytes[32];
	void *zmq;
	void *router;
	void *authenticator;
	void *monitor; /**< reports failed handshakes of the router */
	GHashTable *peers; /**< name -> struct peer */
	ev_io router_watcher;
	ev_io authenticator_watcher;
	ev_io monitor_watcher;
	ev_timer sweep_timer;
	struct bw_loop_clock clock;
	struct bw_buffer frame;
	struct transport_counts counts;
};

/**
 * Binds the listener and starts to receive packets.
 * @return BW_OK, BW_EIO when the address cannot be bound (errno is set), or
 *	BW_ENOMEM
 */
enum bw_status transport_init(struct transport *transport,
			      const struct transport_config *config);

/** Closes all connections; waits at most 200 ms for queued packets. */
void transport_finish(struct transport *transport);

/**
 * Sets the address of a peer; a changed address closes the old connection.
 * @param address "address:port"
 */
void transport_set_address(struct transport *transport, const char *peer,
			   const char *address);

/** Returns the address of a peer, or NULL if none is set. */
const char *transport_address(const struct transport *transport,
			      const char *peer);

/**
 * Queues one packet. Packets to a peer without a connection, or with a full
 * send queue, are dropped and counted.
 */
void transport_send(struct transport *transport,
		    const struct bw_packet *packet);

/** Sends and removes all packets of an outbox. */
void transport_flush(struct transport *transport, struct bw_outbox *out);

#endif
