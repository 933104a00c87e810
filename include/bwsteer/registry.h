/**
 * @file
 * Registry of backend servers and their announcements. Announcements of one
 * server that reach several hosts are merged: the latest start wins, then the
 * highest sequence number. The record of a server that left is kept for a
 * while, so that a delayed announcement does not bring the server back.
 */
#ifndef BWSTEER_REGISTRY_H
#define BWSTEER_REGISTRY_H

#include <stdbool.h>
#include <stdint.h>

#include <glib.h>

#include "bwbase/buffer.h"
#include "bwbase/clock.h"
#include "bwbase/codec.h"
#include "bwbase/status.h"

/** Sizes of strings including the terminating null byte. */
#define BW_SERVER_ID_MAX 64
#define BW_SERVER_TEXT_MAX 64

/** State that a backend server announces. */
enum bw_server_state {
	BW_SERVER_READY,
	BW_SERVER_DRAINING, /**< finishes running requests, accepts no new ones
			     */
	BW_SERVER_LEFT, /**< announced that it shuts down */
	BW_SERVER_STATE_COUNT
};

/** Texts of enum bw_server_state, which appear in output. */
extern const char *const bw_server_state_string[BW_SERVER_STATE_COUNT];

/** One announcement. */
struct bw_server_record {
	char id[BW_SERVER_ID_MAX];
	char address[BW_SERVER_TEXT_MAX]; /**< IPv4 address and port */
	char service[BW_SERVER_TEXT_MAX];
	char domain[BW_SERVER_TEXT_MAX]; /**< failure domain */
	uint32_t slots; /**< maximum number of concurrent requests */
	enum bw_server_state state;
	uint64_t sequence; /**< increases within one start */
	int64_t started_wall_ms; /**< 0 when unknown */
	uint32_t cold_ms; /**< remaining warm-up time when it was announced */
};

/** A known backend server. */
struct bw_server {
	struct bw_server_record record;
	uint64_t id_hash; /**< see bw_registry_hash */
	uint64_t heard_sequence; /**< highest of this start, of announcements
				    and heartbeats; those between it and
				    record.sequence may still arrive */
	struct bw_time last_heard_at; /**< latest announcement or heartbeat,
					 received by any host */
	struct bw_time changed_at; /**< latest change of the record */
	uint64_t generation; /**< of the registry after the latest change,
				  silence included */
	uint64_t departure; /**< number of its departure at this host, see
				 bw_registry.departures; 0 while it is ready */
	struct bw_time cold_until;
	bool silent; /**< a control host has not heard of it for too long */
	bool silent_told; /**< this control host has told its entry hosts that
			       the server is silent */
	uint32_t tells_left; /**< times that it still repeats the last change of
				  that */
	bool announced_here; /**< announced directly to this host since the
				record was last sent */
	bool send_to_controls; /**< the record must be sent to control hosts */
	bool send_to_followers; /**< the record must be sent to entry hosts that
				   follow this host */
};

/** Known backend servers, by id. */
struct bw_registry {
	GHashTable *servers; /**< id -> struct bw_server */
	GHashTable *by_hash; /**< id_hash -> the same servers */
	uint64_t generation; /**< incremented on every change other than a
				heartbeat */
	uint64_t departures; /**< number of the last departure. Records that
				  come to say that a server drains or has
				  left are numbered from 1 in the order in
				  which this host learns of them. */
};

/**
 * Returns whether a record of the same server replaces a known one: of two
 * different records, at most one replaces the other.
 */
bool bw_server_record_is_newer(const struct bw_server_record *known,
			       const struct bw_server_record *record);

/** Outcome of a merge. */
enum bw_registry_outcome {
	BW_REGISTRY_STALE, /**< older than the known record */
	BW_REGISTRY_HEARTBEAT, /**< newer, but without a change */
	BW_REGISTRY_CHANGED, /**< new server, or a changed field other than the
				sequence number */
};

/** Initialises an empty registry. */
void bw_registry_init(struct bw_registry *registry);

/** Frees the registry. */
void bw_registry_finish(struct bw_registry *registry);

/** Merges one record. @param server receives the server; may be NULL */
enum bw_registry_outcome
bw_registry_merge(struct bw_registry *registry,
		  const struct bw_server_record *record, struct bw_time now,
		  struct bw_server **server);

/**
 * Records a heartbeat that another host received.
 * @param id_hash see bw_registry_hash
 */
void bw_registry_touch(struct bw_registry *registry, uint64_t id_hash,
		       uint64_t sequence, struct bw_time now);

/**
 * Records that another host has not heard of a server for too long. Ignored
 * when this host knows of a later announcement.
 * @param started_wall_ms start of the server that is silent
 * @param sequence of the last announcement that the other host heard of
 * @return whether the server has become silent by this
 */
bool bw_registry_silence(struct bw_registry *registry, uint64_t id_hash,
			 int64_t started_wall_ms, uint64_t sequence);

/**
 * Returns whether a heartbeat of another host shows a record that replaces the
 * known one: of another start, or in another state.
 * @param known NULL for an unknown server
 */
bool bw_registry_lacks(const struct bw_server *known, int64_t started_wall_ms,
		       enum bw_server_state state, uint64_t sequence);

/**
 * Lists the servers with departures after a number, the earliest first.
 * @param servers receives up to count_max
 * @return their number
 */
uint32_t bw_registry_departures(const struct bw_registry *registry,
				uint64_t after,
				const struct bw_server **servers,
				uint32_t count_max);

/** Finds a server by id; NULL when it is not known. */
struct bw_server *bw_registry_find(const struct bw_registry *registry,
				   const char *id);

/**
 * Removes servers without a heartbeat for longer than timeout_ms.
 * @return number of removed servers
 */
uint32_t bw_registry_expire(struct bw_registry *registry, struct bw_time now,
			    uint32_t timeout_ms);

/** Returns the hash of a server id, which is the same on all hosts. */
uint64_t bw_registry_hash(const char *id);

/** Encodes a record as one array. */
void bw_server_record_write(struct bw_writer *writer,
			    const struct bw_server_record *record);

/** Decodes a record; an unknown state sets the reader to failed. */
void bw_server_record_read(struct bw_reader *reader,
			   struct bw_server_record *record);

#endif
