#include <errno.h>
#include <string.h>
#include <sys/socket.h>

#include "bwproxy/memory.h"
#include "private/listener_private.h"

/** Connections looked at whose client has just sent something. */
#define TRIES_MAX 4

/** Fraction of the idle timeout after which a body or a response without
 * progress may be closed to release memory. */
#define MEMORY_LAG_DIVISOR 3

/** What a connection is to release. */
enum share {
	SHARE_CONNECTION, /**< the connection itself */
	SHARE_HEADS, /**< what it holds beside bodies */
	SHARE_REQUEST, /**< the body of its request */
	SHARE_RESPONSE /**< the body of its response */
};

static struct bw_server_connection *
find_victim_(struct bw_listener *first, bool all_listeners, enum share share,
	     const struct bw_server_connection *spared);
static bool describe_(struct bw_server_connection *connection, enum share share,
		      struct bw_eviction_candidate *candidate);
static uint64_t held_bytes_(const struct bw_server_connection *connection,
			    enum share share);
static enum bw_eviction_phase
phase_(const struct bw_server_connection *connection);
static bool has_unread_(struct bw_server_connection *connection);
static bool evict_for_memory_(struct bw_memory *memory, enum share share,
			      const struct bw_server_connection *spared);
static void refuse_(struct bw_server_connection *connection);

bool listener_evict_for_connection(struct bw_listener *listener)
{
	struct bw_server_connection *victim =
		find_victim_(listener, false, SHARE_CONNECTION, NULL);

	if (!victim)
		return false;
	listener_evict(victim, BW_EVICTION_CONNECTIONS);
	return true;
}

bool listener_evict_for_head(struct bw_server_connection *connection)
{
	struct bw_memory *memory = connection->listener->config.memory;

	if (!memory)
		return true;
	while (!bw_memory_allows_connection(memory,
					    connection->charged_bytes)) {
		if (!evict_for_memory_(memory, SHARE_HEADS, connection))
			return false;
	}
	return true;
}

bool listener_evict_for_body(struct bw_server_connection *connection)
{
	struct bw_memory *memory = connection->listener->config.memory;

	return memory && evict_for_memory_(memory, SHARE_REQUEST, connection);
}

void listener_evict_for_responses(struct bw_listener *listener)
{
	struct bw_memory *memory = listener->config.memory;
	const struct bw_body_budget *budget;

	if (!memory)
		return;
	budget = &memory->responses;
	while (budget->used_bytes >
		       budget->max_bytes - budget->kept_back_bytes &&
	       evict_for_memory_(memory, SHARE_RESPONSE, NULL))
		;
}

void listener_evict(struct bw_server_connection *connection,
		    enum bw_eviction_cause cause)
{
	struct bw_listener *listener = connection->listener;
	struct bw_eviction_candidate candidate;
	enum bw_eviction_phase phase = phase_(connection);

	describe_(connection, SHARE_CONNECTION, &candidate);
	listener_report_eviction(listener, cause, &candidate, connection->peer);
	if (phase == BW_EVICTION_HEAD || phase == BW_EVICTION_BODY)
		refuse_(connection);
	listener_close(connection, false);
}

void listener_report_eviction(struct bw_listener *listener,
			      enum bw_eviction_cause cause,
			      const struct bw_eviction_candidate *candidate,
			      uint32_t peer)
{
	const struct bw_listener_config *config = &listener->config;
	struct bw_listener_eviction eviction = {
		.cause = cause,
		.phase = candidate->phase,
		.address = config->address,
		.peer = peer,
		.lag_ms = candidate->lag_ms,
		.held_bytes = candidate->held_bytes,
	};

	listener->evicted_count++;
	if (config->handler->evicted)
		config->handler->evicted(config->context, &eviction);
}

void listener_charge(struct bw_server_connection *connection)
{
	struct bw_memory *memory = connection->listener->config.memory;
	const struct bw_http_message *message = &connection->reader.message;

	if (!memory)
		return;
	bw_memory_charge_connection(memory, &connection->charged_bytes,
				    connection->unread_max_bytes +
					    connection->in.capacity_bytes +
					    connection->out.capacity_bytes +
					    message->text.capacity_bytes +
					    (uint64_t)message->field_capacity *
						    sizeof(*message->fields));
}

static bool evict_for_memory_(struct bw_memory *memory, enum share share,
			      const struct bw_server_connection *spared)
{
	struct bw_server_connection *victim =
		find_victim_(memory->listeners, true, share, spared);

	if (!victim)
		return false;
	listener_evict(victim, BW_EVICTION_MEMORY);
	return true;
}

/* A client that has sent something since the last event is not idle. Of equal
 * ones the oldest goes, which is the last in the list. */
static struct bw_server_connection *
find_victim_(struct bw_listener *first, bool all_listeners, enum share share,
	     const struct bw_server_connection *spared)
{
	enum bw_eviction_cause cause = share == SHARE_CONNECTION
					       ? BW_EVICTION_CONNECTIONS
					       : BW_EVICTION_MEMORY;
	int i;

	for (i = 0; i < TRIES_MAX; i++) {
		struct bw_listener *listener = first;
		struct bw_server_connection *victim = NULL;
		struct bw_server_connection *connection;
		struct bw_eviction_candidate candidate;
		struct bw_eviction_candidate best;

		for (; listener;
		     listener = all_listeners ? listener->next : NULL) {
			for (connection = listener->connections; connection;
			     connection = connection->next) {
				if (connection == spared ||
				    !describe_(connection, share, &candidate) ||
				    !bw_eviction_allows(&candidate, cause) ||
				    (victim &&
				     bw_eviction_precedes(&best, &candidate)))
					continue;
				victim = connection;
				best = candidate;
			}
		}
		if (!victim || !has_unread_(victim))
			return victim;
		victim->state_since = listener_run_time(victim->listener);
	}
	return NULL;
}

/* @return whether it holds anything of the share */
static bool describe_(struct bw_server_connection *connection, enum share share,
		      struct bw_eviction_candidate *candidate)
{
	struct bw_listener *listener = connection->listener;

	candidate->phase = phase_(connection);
	candidate->lag_ms = bw_time_diff_ms(listener_run_time(listener),
					    connection->state_since);
	candidate->held_bytes = held_bytes_(connection, share);
	candidate->memory_lag_ms =
		listener->config.idle_timeout_ms / MEMORY_LAG_DIVISOR;
	return candidate->held_bytes > 0;
}

static uint64_t held_bytes_(const struct bw_server_connection *connection,
			    enum share share)
{
	switch (share) {
	case SHARE_CONNECTION:
		return sizeof(*connection) + connection->charged_bytes +
		       connection->body.charged_bytes +
		       connection->out_body.charged_bytes;
	case SHARE_HEADS:
		return connection->charged_bytes;
	case SHARE_REQUEST:
		return connection->body.charged_bytes;
	case SHARE_RESPONSE:
		return connection->out_body.charged_bytes;
	}
	return 0;
}

static enum bw_eviction_phase
phase_(const struct bw_server_connection *connection)
{
	if (connection->busy)
		return BW_EVICTION_BUSY;
	if (connection->lingering)
		return BW_EVICTION_REFUSED;
	if (listener_has_output(connection))
		return BW_EVICTION_RESPONSE;
	if (connection->reader.message.head_complete)
		return BW_EVICTION_BODY;
	if (connection->reader.started || connection->in.size_bytes)
		return BW_EVICTION_HEAD;
	return connection->served ? BW_EVICTION_IDLE : BW_EVICTION_UNUSED;
}

static bool has_unread_(struct bw_server_connection *connection)
{
	enum bw_eviction_phase phase = phase_(connection);
	uint8_t byte;

	return (phase == BW_EVICTION_IDLE || phase == BW_EVICTION_UNUSED) &&
	       recv(connection->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) > 0;
}

/* The request has not run. Sent only if the socket takes it at once. */
static void refuse_(struct bw_server_connection *connection)
{
	struct bw_buffer fields;
	struct bw_buffer out;

	bw_buffer_init(&fields);
	bw_buffer_init(&out);
	listener_append_unavailable(connection->listener, &fields);
	listener_write_head(&out, 503, &fields, 0, true);
	if (!out.incomplete)
		(void)!send(connection->fd, out.data, out.size_bytes,
			    MSG_DONTWAIT | MSG_NOSIGNAL);
	bw_buffer_finish(&fields);
	bw_buffer_finish(&out);
}
