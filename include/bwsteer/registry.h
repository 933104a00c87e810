/**
 * @file
 * Backend servers as they announced themselves. Records of one server from
 * several hosts are merged: the latest start wins, then the highest sequence
 * number. A record that left stays for a while, so that a delayed
 * announcement does not bring the server back.
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

/** Sizes of texts with their final zero. */
#define BW_SERVER_ID_MAX 64
#define BW_SERVER_TEXT_MAX 64

/** What a backend server says about itself. */
enum bw_server_state {
	BW_SERVER_READY,
	BW_SERVER_DRAINING, /**< still serves, takes no new work */
	BW_SERVER_LEFT, /**< has said goodbye */
	BW_SERVER_STATE_COUNT
};

/** Stable names of enum bw_server_state. */
extern const char *const bw_server_state_string[BW_SERVER_STATE_COUNT];

/** One announcement. */
struct bw_server_record {
	char id[BW_SERVER_ID_MAX];
	char address[BW_SERVER_TEXT_MAX]; /**< IPv4 address and port */
	char service[BW_SERVER_TEXT_MAX];
	char domain[BW_SERVER_TEXT_MAX]; /**< failure domain */
	uint32_t slots; /**< requests that it runs at once */
	enum bw_server_state state;
	uint64_t sequence; /**< increases within one start */
	int64_t started_wall_ms; /**< 0 when unknown */
	uint32_t cold_ms; /**< time that it stays slow, at the announcement */
};

/** A known backend server. */
struct bw_server {
	struct bw_server_record record;
	uint64_t id_hash; /**< see bw_registry_hash */
	struct bw_time last_heard_at; /**< latest sign of life from any host */
	struct bw_time changed_at; /**< latest change of the record */
	struct bw_time cold_until;
	bool announced_here; /**< announced to this host since it was last sent
			      */
	bool send_to_controls; /**< control hosts are to get the record */
	bool send_to_followers; /**< entry hosts that follow this host are, too
				 */
};

/** Known backend servers, by id. */
struct bw_registry {
	GHashTable *servers; /**< id -> struct bw_server */
	GHashTable *by_hash; /**< id_hash -> the same servers */
	uint64_t generation; /**< counts changes other than signs of life */
};

/** Outcome of a merge. */
enum bw_registry_outcome {
	BW_REGISTRY_STALE, /**< older than what is known */
	BW_REGISTRY_ALIVE, /**< only a sign of life */
	BW_REGISTRY_CHANGED, /**< new, or state, place or coldness changed */
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
 * Records a sign of life that another host received.
 * @param id_hash see bw_registry_hash
 */
void bw_registry_touch(struct bw_registry *registry, uint64_t id_hash,
		       uint64_t sequence, struct bw_time now);

/** Finds a server by id; NULL when it is not known. */
struct bw_server *bw_registry_find(const struct bw_registry *registry,
				   const char *id);

/** Removes servers that were not heard for a time. @return how many */
uint32_t bw_registry_expire(struct bw_registry *registry, struct bw_time now,
			    uint32_t silent_ms);

/** Hash of a server's id, the same on all hosts. */
uint64_t bw_registry_hash(const char *id);

/** Writes a record as one array. */
void bw_server_record_write(struct bw_writer *writer,
			    const struct bw_server_record *record);

/** Reads a record; the reader fails on unknown states. */
void bw_server_record_read(struct bw_reader *reader,
			   struct bw_server_record *record);

#endif
