#include "gate_poison.h"

#include <string.h>

#include <sodium.h>

/** Table sizes; few distinct requests crash servers at the same time. */
#define FINGERPRINTS_MAX 128
#define SUSPECTS_MAX 512

/**
 * Most requests in one message to other hosts, and the minimum weight of each.
 * When a failure domain is lost, every entry host may send a message to all
 * others, over links of 2 Mbit/s on the smallest hosts.
 */
#define SHARED_MAX 2
#define SHARED_WEIGHT_MIN (BW_POISON_CRASH_WEIGHT / 2)

/**
 * A new crash is sent several times, because a message may be lost and other
 * hosts may have recorded parts of the crash in the meantime.
 */
#define SHARE_COUNT 3
#define SHARE_INTERVAL_MS 500

static void compute_fingerprint_(const struct gate_request *request,
				 struct bw_fingerprint *fingerprint);
static uint64_t server_incarnation_(uint64_t id_hash, int64_t started_wall_ms);
static void send_crash_records_(struct gate_entry *entry, struct bw_time now);

enum bw_status gate_poison_init(struct gate_poison *poison,
				const struct gate_node *node)
{
	struct bw_poison_config config;

	memset(poison, 0, sizeof(*poison));
	bw_poison_config_default(&config, node->name);
	config.fingerprints_max = FINGERPRINTS_MAX;
	config.suspects_max = SUSPECTS_MAX;
	return bw_poison_init(&poison->table, &config);
}

void gate_poison_finish(struct gate_poison *poison)
{
	bw_poison_finish(&poison->table);
}

bool gate_poison_rejects(struct gate_poison *poison,
			 const struct gate_request *request, struct bw_time now,
			 uint32_t *retry_after_ms)
{
	struct bw_fingerprint fingerprint;

	if (!poison->table.count)
		return false;
	compute_fingerprint_(request, &fingerprint);
	return bw_poison_check(&poison->table, &fingerprint, 0, now,
			       retry_after_ms);
}

void gate_poison_keep_fingerprint(struct gate_request *request)
{
	compute_fingerprint_(request, &request->fingerprint);
	request->has_fingerprint = true;
}

void gate_poison_connection_lost(struct gate_poison *poison,
				 const struct gate_request *request,
				 struct bw_time now)
{
	const struct bw_target *target = request->job.target;
	struct bw_fingerprint fingerprint;

	compute_fingerprint_(request, &fingerprint);
	bw_poison_connection_lost(
		&poison->table, &fingerprint,
		server_incarnation_(target->id_hash, target->started_wall_ms),
		target->in_flight + (uint32_t)target->other_requests, now);
}

void gate_poison_completed(struct gate_poison *poison,
			   const struct gate_request *request,
			   struct bw_time now)
{
	struct bw_fingerprint fingerprint;

	if (!poison->table.count)
		return;
	compute_fingerprint_(request, &fingerprint);
	bw_poison_completed(&poison->table, &fingerprint, now);
}

void gate_poison_server_lost(struct gate_poison *poison, uint64_t id_hash,
			     int64_t started_wall_ms, struct bw_time now)
{
	if (poison->table.suspects_count)
		bw_poison_server_lost(
			&poison->table,
			server_incarnation_(id_hash, started_wall_ms), now);
}

void gate_poison_tick(struct gate_entry *entry, struct bw_time now)
{
	struct gate_poison *poison = &entry->poison;

	bw_poison_tick(&poison->table, now);
	if (poison->logged_crash_count != poison->table.crash_count) {
		bw_log_event(entry->node->log, BW_LOG_WARNING, "registry",
			     "server_crash_counted", "{s:I,s:i}", "crashes",
			     (json_int_t)poison->table.crash_count, "suspects",
			     (int)poison->table.count);
		poison->logged_crash_count = poison->table.crash_count;
		poison->shares_remaining = SHARE_COUNT;
	}
	if (!poison->shares_remaining ||
	    !bw_time_reached(now, poison->next_share))
		return;
	poison->shares_remaining--;
	poison->next_share = bw_time_add(now, SHARE_INTERVAL_MS);
	send_crash_records_(entry, now);
}

void gate_poison_receive(struct gate_entry *entry,
			 const struct bw_packet *packet, struct bw_time now)
{
	enum bw_status status = bw_poison_decode(
		&entry->poison.table, packet->data, packet->size_bytes, now);

	if (status != BW_OK)
		bw_log_event(entry->node->log, BW_LOG_WARNING, "registry",
			     "crash_records_invalid", "{s:s,s:s}", "peer",
			     packet->peer, "status", bw_status_string[status]);
}

/*
 * Hashes the request line and the body, because these stay the same when a
 * client repeats a request with a new id.
 */
static void compute_fingerprint_(const struct gate_request *request,
				 struct bw_fingerprint *fingerprint)
{
	uint8_t digest[crypto_generichash_BYTES];
	const uint8_t *head = request->head.data;
	const uint8_t *end = memchr(head, '\r', request->head.size_bytes);
	size_t line_bytes = end ? (size_t)(end - head) : 0;
	crypto_generichash_state state;

	if (request->has_fingerprint) {
		*fingerprint = request->fingerprint;
		return;
	}
	crypto_generichash_init(&state, NULL, 0, sizeof(digest));
	crypto_generichash_update(&state, head, line_bytes);
	if (request->body.bytes.size_bytes)
		crypto_generichash_update(&state, request->body.bytes.data,
					  request->body.bytes.size_bytes);
	crypto_generichash_final(&state, digest, sizeof(digest));
	bw_poison_fingerprint(request->job.service->name, "", "", digest,
			      sizeof(digest), "", fingerprint);
}

static uint64_t server_incarnation_(uint64_t id_hash, int64_t started_wall_ms)
{
	return id_hash ^ ((uint64_t)started_wall_ms * 0x9e3779b97f4a7c15ULL);
}

static void send_crash_records_(struct gate_entry *entry, struct bw_time now)
{
	struct gate_node *node = entry->node;
	uint32_t count;

	if (!entry->feed.source[0] ||
	    bw_poison_encode_heaviest(&entry->poison.table, now,
				      SHARED_WEIGHT_MIN, SHARED_MAX,
				      gate_node_frame(node), &count) != BW_OK ||
	    !count)
		return;
	gate_node_send_on(node, BW_CHANNEL_POISON, entry->feed.source);
}
