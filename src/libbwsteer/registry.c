#include "bwsteer/registry.h"

#include <string.h>
#include <xxhash.h>

static bool differs_(const struct bw_server *server,
		     const struct bw_server_record *record, struct bw_time now);
static void update_heard_sequence_(struct bw_server *server,
				   const struct bw_server_record *record);
static void set_silent_(struct bw_registry *registry, struct bw_server *server,
			bool silent);
static gint compare_departures_(gconstpointer a, gconstpointer b);

const char *const bw_server_state_string[BW_SERVER_STATE_COUNT] = {
	[BW_SERVER_READY] = "ready",
	[BW_SERVER_DRAINING] = "draining",
	[BW_SERVER_LEFT] = "left",
};

void bw_registry_init(struct bw_registry *registry)
{
	registry->servers =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	registry->by_hash = g_hash_table_new(g_int64_hash, g_int64_equal);
	registry->generation = 0;
	registry->departures = 0;
}

void bw_registry_finish(struct bw_registry *registry)
{
	if (!registry->servers)
		return;
	g_hash_table_destroy(registry->by_hash);
	g_hash_table_destroy(registry->servers);
	registry->servers = NULL;
}

enum bw_registry_outcome
bw_registry_merge(struct bw_registry *registry,
		  const struct bw_server_record *record, struct bw_time now,
		  struct bw_server **server)
{
	struct bw_server *known =
		g_hash_table_lookup(registry->servers, record->id);
	enum bw_registry_outcome outcome = BW_REGISTRY_CHANGED;
	int64_t started_wall_ms;

	if (!known) {
		known = g_new0(struct bw_server, 1);
		known->record = *record;
		known->id_hash = bw_registry_hash(record->id);
		g_hash_table_insert(registry->servers, known->record.id, known);
		g_hash_table_insert(registry->by_hash, &known->id_hash, known);
	} else if (!bw_server_record_is_newer(&known->record, record)) {
		if (server)
			*server = known;
		return BW_REGISTRY_STALE;
	} else if (!differs_(known, record, now)) {
		outcome = BW_REGISTRY_HEARTBEAT;
	}
	update_heard_sequence_(known, record);
	started_wall_ms = known->record.started_wall_ms;
	known->record = *record;
	if (!record->started_wall_ms)
		known->record.started_wall_ms = started_wall_ms;
	known->last_heard_at = now;
	known->cold_until = bw_time_add(now, record->cold_ms);
	if (outcome == BW_REGISTRY_CHANGED) {
		known->changed_at = now;
		known->silent = false;
		known->generation = ++registry->generation;
		known->departure = 0;
		if (record->state != BW_SERVER_READY)
			known->departure = ++registry->departures;
	}
	set_silent_(registry, known, false);
	if (server)
		*server = known;
	return outcome;
}

void bw_registry_touch(struct bw_registry *registry, uint64_t id_hash,
		       uint64_t sequence, struct bw_time now)
{
	struct bw_server *server =
		g_hash_table_lookup(registry->by_hash, &id_hash);

	if (!server || sequence < server->heard_sequence)
		return;
	server->heard_sequence = sequence;
	server->last_heard_at = now;
	set_silent_(registry, server, false);
}

bool bw_registry_silence(struct bw_registry *registry, uint64_t id_hash,
			 int64_t started_wall_ms, uint64_t sequence)
{
	struct bw_server *server =
		g_hash_table_lookup(registry->by_hash, &id_hash);

	if (!server || server->silent ||
	    server->record.started_wall_ms != started_wall_ms ||
	    sequence < server->heard_sequence)
		return false;
	set_silent_(registry, server, true);
	return true;
}

bool bw_registry_lacks(const struct bw_server *known, int64_t started_wall_ms,
		       enum bw_server_state state, uint64_t sequence)
{
	struct bw_server_record shown = {
		.state = state,
		.sequence = sequence,
		.started_wall_ms = started_wall_ms,
	};
	struct bw_server_record heard;

	if (!known)
		return true;
	heard = known->record;
	heard.sequence = known->heard_sequence;
	return (heard.state != state ||
		heard.started_wall_ms != started_wall_ms) &&
	       bw_server_record_is_newer(&heard, &shown);
}

uint32_t bw_registry_departures(const struct bw_registry *registry,
				uint64_t after,
				const struct bw_server **servers,
				uint32_t count_max)
{
	GPtrArray *found = g_ptr_array_new();
	GHashTableIter iter;
	gpointer value;
	uint32_t count;

	g_hash_table_iter_init(&iter, registry->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		if (((const struct bw_server *)value)->departure > after)
			g_ptr_array_add(found, value);
	}
	g_ptr_array_sort(found, compare_departures_);
	count = MIN(found->len, count_max);
	if (count)
		memcpy(servers, found->pdata, count * sizeof(*servers));
	g_ptr_array_free(found, TRUE);
	return count;
}

struct bw_server *bw_registry_find(const struct bw_registry *registry,
				   const char *id)
{
	return g_hash_table_lookup(registry->servers, id);
}

uint32_t bw_registry_expire(struct bw_registry *registry, struct bw_time now,
			    uint32_t timeout_ms)
{
	GHashTableIter iter;
	gpointer value;
	uint32_t count = 0;

	g_hash_table_iter_init(&iter, registry->servers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct bw_server *server = value;

		if (bw_time_diff_ms(now, server->last_heard_at) <= timeout_ms)
			continue;
		g_hash_table_remove(registry->by_hash, &server->id_hash);
		g_hash_table_iter_remove(&iter);
		count++;
	}
	if (count)
		registry->generation++;
	return count;
}

uint64_t bw_registry_hash(const char *id)
{
	return XXH64(id, strlen(id), 0);
}

/*
 * The start time is unknown (0) in some leave announcements, which then apply
 * to any start.
 */
bool bw_server_record_is_newer(const struct bw_server_record *known,
			       const struct bw_server_record *record)
{
	if (record->started_wall_ms != known->started_wall_ms &&
	    record->started_wall_ms && known->started_wall_ms)
		return record->started_wall_ms > known->started_wall_ms;
	if (record->state == BW_SERVER_LEFT)
		return known->state != BW_SERVER_LEFT;
	if (known->state == BW_SERVER_LEFT)
		return false;
	return record->sequence > known->sequence;
}

void bw_server_record_write(struct bw_writer *writer,
			    const struct bw_server_record *record)
{
	bw_write_array(writer, 9);
	bw_write_str(writer, record->id);
	bw_write_str(writer, record->address);
	bw_write_str(writer, record->service);
	bw_write_str(writer, record->domain);
	bw_write_uint(writer, record->slots);
	bw_write_uint(writer, record->state);
	bw_write_uint(writer, record->sequence);
	bw_write_int(writer, record->started_wall_ms);
	bw_write_uint(writer, record->cold_ms);
}

void bw_server_record_read(struct bw_reader *reader,
			   struct bw_server_record *record)
{
	uint64_t state;

	memset(record, 0, sizeof(*record));
	bw_read_array(reader);
	bw_read_text(reader, record->id, sizeof(record->id));
	bw_read_text(reader, record->address, sizeof(record->address));
	bw_read_text(reader, record->service, sizeof(record->service));
	bw_read_text(reader, record->domain, sizeof(record->domain));
	record->slots = (uint32_t)bw_read_uint(reader);
	state = bw_read_uint(reader);
	record->sequence = bw_read_uint(reader);
	record->started_wall_ms = bw_read_int(reader);
	record->cold_ms = (uint32_t)bw_read_uint(reader);
	bw_read_end(reader);
	if (state >= BW_SERVER_STATE_COUNT)
		reader->failed = true;
	else
		record->state = (enum bw_server_state)state;
}

static void set_silent_(struct bw_registry *registry, struct bw_server *server,
			bool silent)
{
	if (server->silent == silent)
		return;
	server->silent = silent;
	server->generation = ++registry->generation;
}

static bool differs_(const struct bw_server *server,
		     const struct bw_server_record *record, struct bw_time now)
{
	const struct bw_server_record *known = &server->record;
	bool was_cold = !bw_time_reached(now, server->cold_until);

	return record->state != known->state || record->slots != known->slots ||
	       record->started_wall_ms != known->started_wall_ms ||
	       (record->cold_ms > 0) != was_cold ||
	       strcmp(record->address, known->address) != 0 ||
	       strcmp(record->service, known->service) != 0 ||
	       strcmp(record->domain, known->domain) != 0;
}

static void update_heard_sequence_(struct bw_server *server,
				   const struct bw_server_record *record)
{
	if (record->started_wall_ms != server->record.started_wall_ms ||
	    record->sequence > server->heard_sequence)
		server->heard_sequence = record->sequence;
}

/* Sorts pointers to servers. */
static gint compare_departures_(gconstpointer a, gconstpointer b)
{
	const struct bw_server *left = *(const struct bw_server *const *)a;
	const struct bw_server *right = *(const struct bw_server *const *)b;

	return (left->departure > right->departure) -
	       (left->departure < right->departure);
}
