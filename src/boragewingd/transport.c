#include "transport.h"

#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <zmq.h>

#include "bwbase/codec.h"

#define FRAME_VERSION 1
#define FRAME_FIELDS 6
#define QUEUE_MESSAGES_MAX 1000
#define MESSAGE_MAX_BYTES (BW_PACKET_MAX_BYTES + 4096)
#define HEARTBEAT_INTERVAL_MS 1000
#define HEARTBEAT_TIMEOUT_INTERVALS 3
#define RECONNECT_MIN_MS 100
#define RECONNECT_MAX_MS 400
#define HANDSHAKE_TIMEOUT_MS 5000
/*
 * A connection attempt or retransmission that began during a network partition
 * stays in backoff for many seconds after the partition has healed; a new
 * attempt does not.
 */
#define CONNECT_TIMEOUT_MS 600
#define UNACKNOWLEDGED_MAX_MS 1500
#define LINGER_MS 200
#define RECEIVE_BATCH_MESSAGES 256
#define IDLE_TIMEOUT_MS 120000
/** Sweeps for idle connections in one idle timeout. */
#define SWEEPS_PER_TIMEOUT 4
#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define MONITOR_ENDPOINT "inproc://router-monitor"
#define KEY_BYTES 32
#define ENDPOINT_BYTES (2 * TRANSPORT_ADDRESS_BYTES + 16)

/** A host to which packets are sent, and its connection. */
struct peer {
	char name[BW_NAME_MAX];
	char address[TRANSPORT_ADDRESS_BYTES];
	void *dealer; /**< NULL while there is no connection */
	struct bw_time last_use;
};

static void derive_keys_(struct transport *transport);
static enum bw_status open_router_(struct transport *transport);
static enum bw_status open_authenticator_(struct transport *transport);
static enum bw_status open_monitor_(struct transport *transport);
static void on_monitor_(struct ev_loop *loop, ev_io *watcher, int events);
static enum bw_status
watch_socket_(struct transport *transport, void *socket, ev_io *watcher,
	      void (*callback)(struct ev_loop *, ev_io *, int));
static void on_router_(struct ev_loop *loop, ev_io *watcher, int events);
static void on_authenticator_(struct ev_loop *loop, ev_io *watcher, int events);
static void close_idle_connections_(struct ev_loop *loop, ev_timer *watcher,
				    int events);
static bool receive_message_(struct transport *transport);
static void deliver_packet_(struct transport *transport, zmq_msg_t *message);
static void update_sender_address_(struct transport *transport,
				   const char *name, const uint8_t *address,
				   size_t address_bytes);
static bool handle_zap_request_(struct transport *transport);
static size_t receive_part_(void *socket, void *out, size_t out_bytes,
			    bool *more);
static void connect_peer_(struct transport *transport, struct peer *peer);
static void disconnect_peer_(struct peer *peer);
static void free_peer_(gpointer peer);
static void encode_frame_(struct transport *transport,
			  const struct bw_packet *packet);
static void set_int_option_(void *socket, int option, int value);
static void set_heartbeat_options_(const struct transport *transport,
				   void *socket);

enum bw_status transport_init(struct transport *transport,
			      const struct transport_config *config)
{
	enum bw_status status;
	double sweep_interval_s;

	memset(transport, 0, sizeof(*transport));
	transport->config = *config;
	bw_loop_clock_init(&transport->clock, config->loop);
	bw_name_set(transport->self, config->self);
	snprintf(transport->source, sizeof(transport->source), "%s",
		 config->source_address);
	snprintf(transport->advertised, sizeof(transport->advertised), "%s",
		 config->advertise_address);
	if (config->fleet_key)
		derive_keys_(transport);
	transport->peers = g_hash_table_new_full(g_str_hash, g_str_equal, NULL,
						 free_peer_);
	transport->zmq = zmq_ctx_new();
	if (!transport->zmq)
		return BW_ENOMEM;
	status = config->fleet_key ? open_authenticator_(transport) : BW_OK;
	if (status != BW_OK)
		return status;
	status = open_router_(transport);
	if (status == BW_OK && config->fleet_key)
		status = open_monitor_(transport);
	if (status != BW_OK)
		return status;
	if (!transport->config.idle_timeout_ms)
		transport->config.idle_timeout_ms = IDLE_TIMEOUT_MS;
	sweep_interval_s =
		transport->config.idle_timeout_ms / 1000.0 / SWEEPS_PER_TIMEOUT;
	ev_timer_init(&transport->sweep_timer, close_idle_connections_,
		      sweep_interval_s, sweep_interval_s);
	transport->sweep_timer.data = transport;
	ev_timer_start(config->loop, &transport->sweep_timer);
	return BW_OK;
}

void transport_finish(struct transport *transport)
{
	struct ev_loop *loop = transport->config.loop;

	ev_io_stop(loop, &transport->router_watcher);
	if (transport->config.fleet_key) {
		ev_io_stop(loop, &transport->authenticator_watcher);
		ev_io_stop(loop, &transport->monitor_watcher);
	}
	ev_timer_stop(loop, &transport->sweep_timer);
	if (transport->monitor) {
		zmq_socket_monitor(transport->router, NULL, 0);
		zmq_close(transport->monitor);
	}
	if (transport->peers)
		g_hash_table_destroy(transport->peers);
	if (transport->router)
		zmq_close(transport->router);
	if (transport->authenticator)
		zmq_close(transport->authenticator);
	if (transport->zmq)
		zmq_ctx_term(transport->zmq);
	bw_buffer_finish(&transport->frame);
	sodium_memzero(transport->secret_key, sizeof(transport->secret_key));
}

void transport_set_address(struct transport *transport, const char *name,
			   const char *address)
{
	struct peer *peer = g_hash_table_lookup(transport->peers, name);

	if (!strcmp(name, transport->self))
		return;
	if (!peer) {
		peer = g_new0(struct peer, 1);
		if (!bw_name_set(peer->name, name)) {
			g_free(peer);
			return;
		}
		g_hash_table_insert(transport->peers, peer->name, peer);
	}
	if (!strcmp(peer->address, address))
		return;
	disconnect_peer_(peer);
	snprintf(peer->address, sizeof(peer->address), "%s", address);
}

const char *transport_address(const struct transport *transport,
			      const char *name)
{
	const struct peer *peer = g_hash_table_lookup(transport->peers, name);

	return peer ? peer->address : NULL;
}

void transport_send(struct transport *transport, const struct bw_packet *packet)
{
	struct peer *peer = g_hash_table_lookup(transport->peers, packet->peer);

	if (!peer) {
		transport->counts.dropped_packets++;
		return;
	}
	if (!peer->dealer)
		connect_peer_(transport, peer);
	peer->last_use = bw_loop_clock_now(&transport->clock);
	encode_frame_(transport, packet);
	if (!peer->dealer ||
	    zmq_send(peer->dealer, transport->frame.data,
		     transport->frame.size_bytes, ZMQ_DONTWAIT) < 0) {
		transport->counts.dropped_packets++;
		return;
	}
	transport->counts.sent_packets++;
	transport->counts.sent_bytes += transport->frame.size_bytes;
	transport->counts.channel_sent_packets[packet->channel]++;
	transport->counts.channel_sent_bytes[packet->channel] +=
		transport->frame.size_bytes;
}

void transport_flush(struct transport *transport, struct bw_outbox *out)
{
	uint32_t i;

	for (i = 0; i < out->count; i++)
		transport_send(transport, &out->packets[i]);
	bw_outbox_clear(out);
}

static void derive_keys_(struct transport *transport)
{
	uint8_t secret[KEY_BYTES];

	crypto_box_seed_keypair(transport->public_key_bytes, secret,
				transport->config.fleet_key);
	zmq_z85_encode(transport->public_key, transport->public_key_bytes,
		       KEY_BYTES);
	zmq_z85_encode(transport->secret_key, secret, KEY_BYTES);
	sodium_memzero(secret, sizeof(secret));
}

static enum bw_status open_router_(struct transport *transport)
{
	char endpoint[ENDPOINT_BYTES];
	int64_t message_limit_bytes = MESSAGE_MAX_BYTES;

	transport->router = zmq_socket(transport->zmq, ZMQ_ROUTER);
	if (!transport->router)
		return BW_ENOMEM;
	set_int_option_(transport->router, ZMQ_LINGER, 0);
	set_int_option_(transport->router, ZMQ_RCVHWM, QUEUE_MESSAGES_MAX);
	set_int_option_(transport->router, ZMQ_HANDSHAKE_IVL,
			HANDSHAKE_TIMEOUT_MS);
	set_heartbeat_options_(transport, transport->router);
	if (transport->config.fleet_key) {
		set_int_option_(transport->router, ZMQ_CURVE_SERVER, 1);
		zmq_setsockopt(transport->router, ZMQ_CURVE_SECRETKEY,
			       transport->secret_key,
			       sizeof(transport->secret_key));
		zmq_setsockopt(transport->router, ZMQ_ZAP_DOMAIN, "fleet", 5);
	}
	zmq_setsockopt(transport->router, ZMQ_MAXMSGSIZE, &message_limit_bytes,
		       sizeof(message_limit_bytes));
	snprintf(endpoint, sizeof(endpoint), "tcp://%s",
		 transport->config.listen_address);
	if (zmq_bind(transport->router, endpoint))
		return BW_EIO;
	return watch_socket_(transport, transport->router,
			     &transport->router_watcher, on_router_);
}

/*
 * Opens the handler of the ZeroMQ Authentication Protocol (ZAP). It receives
 * a request for each CURVE handshake and accepts only the fleet's public key.
 */
static enum bw_status open_authenticator_(struct transport *transport)
{
	transport->authenticator = zmq_socket(transport->zmq, ZMQ_REP);
	if (!transport->authenticator)
		return BW_ENOMEM;
	set_int_option_(transport->authenticator, ZMQ_LINGER, 0);
	if (zmq_bind(transport->authenticator, ZAP_ENDPOINT))
		return BW_EIO;
	return watch_socket_(transport, transport->authenticator,
			     &transport->authenticator_watcher,
			     on_authenticator_);
}

/*
 * The handshake of a peer with another server key fails before a ZAP request
 * is made; only the socket monitor reports it.
 */
static enum bw_status open_monitor_(struct transport *transport)
{
	if (zmq_socket_monitor(transport->router, MONITOR_ENDPOINT,
			       ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
				       ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
				       ZMQ_EVENT_HANDSHAKE_FAILED_AUTH))
		return BW_EIO;
	transport->monitor = zmq_socket(transport->zmq, ZMQ_PAIR);
	if (!transport->monitor)
		return BW_ENOMEM;
	set_int_option_(transport->monitor, ZMQ_LINGER, 0);
	if (zmq_connect(transport->monitor, MONITOR_ENDPOINT))
		return BW_EIO;
	return watch_socket_(transport, transport->monitor,
			     &transport->monitor_watcher, on_monitor_);
}

/* An event has two parts, its number and the peer's address; both ignored. */
static void on_monitor_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct transport *transport = watcher->data;
	char ignored[ENDPOINT_BYTES];
	bool more;

	(void)loop;
	(void)events;
	while (receive_part_(transport->monitor, ignored, sizeof(ignored),
			     &more) != SIZE_MAX) {
		if (!more)
			transport->counts.rejected_peers++;
	}
}

static enum bw_status
watch_socket_(struct transport *transport, void *socket, ev_io *watcher,
	      void (*callback)(struct ev_loop *, ev_io *, int))
{
	int fd = -1;
	size_t size = sizeof(fd);

	if (zmq_getsockopt(socket, ZMQ_FD, &fd, &size))
		return BW_EIO;
	ev_io_init(watcher, callback, fd, EV_READ);
	watcher->data = transport;
	ev_io_start(transport->config.loop, watcher);
	ev_feed_event(transport->config.loop, watcher, EV_READ);
	return BW_OK;
}

/*
 * The descriptor of a ZeroMQ socket is edge-triggered, so that the socket is
 * read until it is empty. After a full batch the event is fed again, which
 * lets other watchers run in between.
 */
static void on_router_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct transport *transport = watcher->data;
	int i;

	(void)events;
	for (i = 0; i < RECEIVE_BATCH_MESSAGES; i++) {
		if (!receive_message_(transport))
			return;
	}
	ev_feed_event(loop, watcher, EV_READ);
}

static void on_authenticator_(struct ev_loop *loop, ev_io *watcher, int events)
{
	struct transport *transport = watcher->data;

	(void)loop;
	(void)events;
	while (handle_zap_request_(transport))
		;
}

static void close_idle_connections_(struct ev_loop *loop, ev_timer *watcher,
				    int events)
{
	struct transport *transport = watcher->data;
	GHashTableIter iter;
	gpointer value;
	struct peer *peer;
	struct bw_time now = bw_loop_clock_now(&transport->clock);

	(void)loop;
	(void)events;
	g_hash_table_iter_init(&iter, transport->peers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		peer = value;
		if (bw_time_diff_ms(now, peer->last_use) >
		    (int64_t)transport->config.idle_timeout_ms)
			disconnect_peer_(peer);
	}
}

static bool receive_message_(struct transport *transport)
{
	zmq_msg_t message;
	int parts = 0;
	int more;

	zmq_msg_init(&message);
	do {
		if (zmq_msg_recv(&message, transport->router, ZMQ_DONTWAIT) <
		    0) {
			zmq_msg_close(&message);
			return false;
		}
		more = zmq_msg_more(&message);
		parts++;
	} while (more);
	if (parts == 2)
		deliver_packet_(transport, &message);
	else
		transport->counts.malformed_packets++;
	zmq_msg_close(&message);
	return true;
}

static void deliver_packet_(struct transport *transport, zmq_msg_t *message)
{
	struct bw_packet packet = { .channel = 0 };
	struct bw_reader reader;
	const uint8_t *data;
	const uint8_t *address;
	size_t address_bytes = 0;
	size_t size_bytes = 0;
	uint64_t version;
	uint64_t channel;

	transport->counts.received_packets++;
	transport->counts.received_bytes += zmq_msg_size(message);
	bw_reader_init(&reader, zmq_msg_data(message), zmq_msg_size(message));
	bw_read_array(&reader);
	version = bw_read_uint(&reader);
	channel = bw_read_uint(&reader);
	bw_read_name(&reader, packet.peer);
	packet.incarnation = bw_read_uint(&reader);
	address = bw_read_bin(&reader, &address_bytes);
	data = bw_read_bin(&reader, &size_bytes);
	if (bw_reader_status(&reader) != BW_OK || version != FRAME_VERSION ||
	    !channel || channel >= BW_CHANNEL_COUNT || !address_bytes ||
	    address_bytes >= TRANSPORT_ADDRESS_BYTES ||
	    size_bytes > BW_PACKET_MAX_BYTES) {
		transport->counts.malformed_packets++;
	} else {
		update_sender_address_(transport, packet.peer, address,
				       address_bytes);
		packet.channel = (uint8_t)channel;
		packet.data = (uint8_t *)data;
		packet.size_bytes = (uint32_t)size_bytes;
		transport->config.receive(transport->config.context, &packet);
	}
	bw_reader_finish(&reader);
}

static void update_sender_address_(struct transport *transport,
				   const char *name, const uint8_t *address,
				   size_t address_bytes)
{
	char text[TRANSPORT_ADDRESS_BYTES] = "";

	memcpy(text, address, address_bytes);
	transport_set_address(transport, name, text);
}

/* ZAP request: version, id, domain, address, identity, mechanism, key. */
static bool handle_zap_request_(struct transport *transport)
{
	char version[16] = "";
	char request_id[64];
	size_t request_id_bytes;
	char ignored[256];
	char mechanism[16] = "";
	uint8_t client_key[KEY_BYTES];
	bool more = false;
	bool admitted;
	size_t key_bytes = 0;
	int i;

	if (receive_part_(transport->authenticator, version,
			  sizeof(version) - 1, &more) == SIZE_MAX)
		return false;
	request_id_bytes = receive_part_(transport->authenticator, request_id,
					 sizeof(request_id), &more);
	for (i = 0; i < 3 && more; i++)
		receive_part_(transport->authenticator, ignored,
			      sizeof(ignored), &more);
	receive_part_(transport->authenticator, mechanism,
		      sizeof(mechanism) - 1, &more);
	if (more)
		key_bytes = receive_part_(transport->authenticator, client_key,
					  sizeof(client_key), &more);
	while (more)
		receive_part_(transport->authenticator, ignored,
			      sizeof(ignored), &more);
	admitted = !strcmp(version, ZAP_VERSION) &&
		   !strcmp(mechanism, "CURVE") && key_bytes == KEY_BYTES &&
		   !sodium_memcmp(client_key, transport->public_key_bytes,
				  KEY_BYTES);
	if (request_id_bytes > sizeof(request_id))
		request_id_bytes = 0;
	zmq_send(transport->authenticator, ZAP_VERSION, 3, ZMQ_SNDMORE);
	zmq_send(transport->authenticator, request_id, request_id_bytes,
		 ZMQ_SNDMORE);
	zmq_send(transport->authenticator, admitted ? "200" : "400", 3,
		 ZMQ_SNDMORE);
	zmq_send(transport->authenticator, admitted ? "OK" : "unknown key",
		 admitted ? 2 : 11, ZMQ_SNDMORE);
	zmq_send(transport->authenticator, "", 0, ZMQ_SNDMORE);
	zmq_send(transport->authenticator, "", 0, 0);
	return true;
}

static size_t receive_part_(void *socket, void *out, size_t out_bytes,
			    bool *more)
{
	int value = 0;
	size_t size = sizeof(value);
	int part_bytes = zmq_recv(socket, out, out_bytes, ZMQ_DONTWAIT);

	if (part_bytes < 0) {
		*more = false;
		return SIZE_MAX;
	}
	zmq_getsockopt(socket, ZMQ_RCVMORE, &value, &size);
	*more = value;
	return (size_t)part_bytes;
}

/*
 * ZMQ_IMMEDIATE prevents queueing for a peer that is not connected; otherwise
 * outdated packets would arrive in a burst after an outage.
 */
static void connect_peer_(struct transport *transport, struct peer *peer)
{
	char endpoint[ENDPOINT_BYTES];

	peer->dealer = zmq_socket(transport->zmq, ZMQ_DEALER);
	if (!peer->dealer)
		return;
	set_int_option_(peer->dealer, ZMQ_LINGER, LINGER_MS);
	set_int_option_(peer->dealer, ZMQ_SNDHWM, QUEUE_MESSAGES_MAX);
	set_int_option_(peer->dealer, ZMQ_IMMEDIATE, 1);
	set_int_option_(peer->dealer, ZMQ_RECONNECT_IVL, RECONNECT_MIN_MS);
	set_int_option_(peer->dealer, ZMQ_RECONNECT_IVL_MAX, RECONNECT_MAX_MS);
	set_int_option_(peer->dealer, ZMQ_HANDSHAKE_IVL, HANDSHAKE_TIMEOUT_MS);
	set_int_option_(peer->dealer, ZMQ_CONNECT_TIMEOUT, CONNECT_TIMEOUT_MS);
	set_int_option_(peer->dealer, ZMQ_TCP_MAXRT, UNACKNOWLEDGED_MAX_MS);
	set_heartbeat_options_(transport, peer->dealer);
	if (transport->config.fleet_key) {
		zmq_setsockopt(peer->dealer, ZMQ_CURVE_SERVERKEY,
			       transport->public_key,
			       sizeof(transport->public_key));
		zmq_setsockopt(peer->dealer, ZMQ_CURVE_PUBLICKEY,
			       transport->public_key,
			       sizeof(transport->public_key));
		zmq_setsockopt(peer->dealer, ZMQ_CURVE_SECRETKEY,
			       transport->secret_key,
			       sizeof(transport->secret_key));
	}
	snprintf(endpoint, sizeof(endpoint), "tcp://%s:0;%s", transport->source,
		 peer->address);
	if (zmq_connect(peer->dealer, endpoint))
		disconnect_peer_(peer);
}

static void disconnect_peer_(struct peer *peer)
{
	if (peer->dealer)
		zmq_close(peer->dealer);
	peer->dealer = NULL;
}

static void free_peer_(gpointer peer)
{
	disconnect_peer_(peer);
	g_free(peer);
}

static void encode_frame_(struct transport *transport,
			  const struct bw_packet *packet)
{
	struct bw_writer writer;

	bw_buffer_clear(&transport->frame);
	bw_writer_init(&writer, &transport->frame);
	bw_write_array(&writer, FRAME_FIELDS);
	bw_write_uint(&writer, FRAME_VERSION);
	bw_write_uint(&writer, packet->channel);
	bw_write_str(&writer, transport->self);
	bw_write_uint(&writer, transport->config.incarnation);
	bw_write_str(&writer, transport->advertised);
	bw_write_bin(&writer, packet->data, packet->size_bytes);
}

static void set_int_option_(void *socket, int option, int value)
{
	zmq_setsockopt(socket, option, &value, sizeof(value));
}

static void set_heartbeat_options_(const struct transport *transport,
				   void *socket)
{
	int interval_ms = transport->config.heartbeat_ms
				  ? (int)transport->config.heartbeat_ms
				  : HEARTBEAT_INTERVAL_MS;

	set_int_option_(socket, ZMQ_HEARTBEAT_IVL, interval_ms);
	set_int_option_(socket, ZMQ_HEARTBEAT_TIMEOUT,
			interval_ms * HEARTBEAT_TIMEOUT_INTERVALS);
}
