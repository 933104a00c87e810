#include "private/keys_store.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

static guint set_hash_(gconstpointer value);
static gboolean set_equal_(gconstpointer a, gconstpointer b);
static guint record_hash_(gconstpointer value);
static gboolean record_equal_(gconstpointer a, gconstpointer b);
static void record_free_(struct bw_keys *keys, struct bw_keys_record *record);
static bool make_room_(struct bw_keys *keys, struct bw_keys_pool *pool);
static int64_t removal_time_s_(const struct bw_keys_record *record);
static void expire_or_requeue_(struct bw_keys *keys,
			       struct bw_keys_record *record);

const char *const bw_keys_set_state_string[BW_KEYS_SET_STATE_COUNT] = {
	[BW_KEYS_SET_OWNED] = "owned",
	[BW_KEYS_SET_INCOMING] = "incoming",
	[BW_KEYS_SET_HANDED_OVER] = "handed_over",
	[BW_KEYS_SET_BACKUP] = "backup",
};

GHashTable *bw_keys_table_new(void)
{
	return g_hash_table_new(set_hash_, set_equal_);
}

struct bw_keys_set *bw_keys_table_find(GHashTable *table, const char *host,
				       uint64_t incarnation)
{
	struct bw_keys_set probe;

	probe.incarnation = incarnation;
	if (!bw_name_set(probe.host, host))
		return NULL;
	return g_hash_table_lookup(table, &probe);
}

struct bw_keys_set *bw_keys_table_add(GHashTable *table,
				      struct bw_keys_pool *pool,
				      const char *host, uint64_t incarnation,
				      enum bw_keys_set_state state)
{
	struct bw_keys_set *set = calloc(1, sizeof(*set));

	if (!set)
		return NULL;
	if (!bw_name_set(set->host, host)) {
		free(set);
		return NULL;
	}
	set->incarnation = incarnation;
	set->state = state;
	set->pool = pool;
	set->records = g_hash_table_new(record_hash_, record_equal_);
	set->sent_ms = INT64_MIN;
	g_hash_table_add(table, set);
	return set;
}

void bw_keys_table_remove(struct bw_keys *keys, GHashTable *table,
			  struct bw_keys_set *set)
{
	g_hash_table_remove(table, set);
	bw_keys_set_free(keys, set);
}

void bw_keys_set_free(struct bw_keys *keys, struct bw_keys_set *set)
{
	bw_keys_set_clear(keys, set);
	g_hash_table_destroy(set->records);
	if (set->handover_records)
		g_ptr_array_free(set->handover_records, TRUE);
	free(set);
}

void bw_keys_set_clear(struct bw_keys *keys, struct bw_keys_set *set)
{
	GHashTableIter iter;
	gpointer record;

	g_hash_table_iter_init(&iter, set->records);
	while (g_hash_table_iter_next(&iter, &record, NULL)) {
		g_hash_table_iter_remove(&iter);
		record_free_(keys, record);
	}
}

int64_t bw_keys_owner_wall_ms(const struct bw_keys_set *set, struct bw_time now)
{
	return now.ms + set->wall_offset_ms;
}

struct bw_keys_record *bw_keys_record_find(const struct bw_keys_set *set,
					   const struct bw_key *key)
{
	struct bw_keys_record probe;

	probe.kind = (uint8_t)key->kind;
	memcpy(probe.id, key->id, sizeof(probe.id));
	return g_hash_table_lookup(set->records, &probe);
}

struct bw_keys_record *bw_keys_record_add(struct bw_keys *keys,
					  struct bw_keys_set *set,
					  const struct bw_key *key)
{
	struct bw_keys_record *record;

	if (!make_room_(keys, set->pool))
		return NULL;
	record = calloc(1, sizeof(*record));
	if (!record)
		return NULL;
	record->set = set;
	record->kind = (uint8_t)key->kind;
	memcpy(record->id, key->id, sizeof(record->id));
	record->expiry_ms = key->expiry_ms;
	record->state = BW_KEYS_NEW;
	record->sent_ms = INT64_MIN;
	record->state_link.data = record;
	record->wheel_link.data = record;
	record->unacked_link.data = record;
	g_hash_table_add(set->records, record);
	set->pool->records++;
	return record;
}

void bw_keys_record_remove(struct bw_keys *keys, struct bw_keys_record *record)
{
	g_hash_table_remove(record->set->records, record);
	record_free_(keys, record);
}

void bw_keys_record_enqueue(struct bw_keys_record *record, GQueue *queue)
{
	if (record->state_queue)
		g_queue_unlink(record->state_queue, &record->state_link);
	record->state_queue = queue;
	if (queue)
		g_queue_push_tail_link(queue, &record->state_link);
}

bool bw_keys_record_store_response(struct bw_keys *keys,
				   struct bw_keys_record *record,
				   const struct bw_keys_response *response)
{
	struct bw_keys_pool *pool = record->set->pool;
	uint64_t size =
		(uint64_t)response->headers_bytes + response->body_bytes;

	bw_keys_record_drop_response(record);
	if (response->headers_bytes > BW_KEYS_HEADERS_MAX_BYTES ||
	    response->body_bytes > BW_KEYS_BODY_MAX_BYTES ||
	    size > pool->bytes_max)
		return false;
	while (pool->bytes + size > pool->bytes_max) {
		assert(pool->responses.length);
		bw_keys_record_drop_response(pool->responses.head->data);
		keys->counts.responses_dropped++;
	}
	record->response = malloc(size ? size : 1);
	if (!record->response)
		return false;
	if (response->headers_bytes)
		memcpy(record->response, response->headers,
		       response->headers_bytes);
	if (response->body_bytes)
		memcpy(record->response + response->headers_bytes,
		       response->body, response->body_bytes);
	record->headers_bytes = response->headers_bytes;
	record->body_bytes = response->body_bytes;
	record->status = response->status;
	pool->bytes += size;
	bw_keys_record_enqueue(record, &pool->responses);
	return true;
}

void bw_keys_record_drop_response(struct bw_keys_record *record)
{
	if (!record->response)
		return;
	record->set->pool->bytes -=
		(uint64_t)record->headers_bytes + record->body_bytes;
	free(record->response);
	record->response = NULL;
	record->headers_bytes = 0;
	record->body_bytes = 0;
	bw_keys_record_enqueue(record, NULL);
}

void bw_keys_record_get_response(const struct bw_keys_record *record,
				 struct bw_keys_response *response)
{
	memset(response, 0, sizeof(*response));
	if (!record->response)
		return;
	response->status = record->status;
	response->headers = record->response;
	response->headers_bytes = record->headers_bytes;
	response->body = record->response + record->headers_bytes;
	response->body_bytes = record->body_bytes;
}

void bw_keys_wheel_insert(struct bw_keys *keys, struct bw_keys_record *record)
{
	int64_t second = removal_time_s_(record);

	assert(!record->in_wheel);
	if (second <= keys->wheel_s)
		second = keys->wheel_s + 1;
	/* A record that expires later is inserted again from its bucket. */
	if (second >= keys->wheel_s + BW_KEYS_WHEEL_SIZE)
		second = keys->wheel_s + BW_KEYS_WHEEL_SIZE - 1;
	record->bucket = (uint16_t)(second & (BW_KEYS_WHEEL_SIZE - 1));
	g_queue_push_tail_link(&keys->wheel[record->bucket],
			       &record->wheel_link);
	record->in_wheel = true;
}

void bw_keys_wheel_advance(struct bw_keys *keys, struct bw_time now)
{
	GQueue due_links;
	GQueue *bucket;
	GList *link;
	struct bw_keys_record *record;

	while (keys->wheel_s < now.ms / 1000) {
		keys->wheel_s++;
		bucket = &keys->wheel[keys->wheel_s & (BW_KEYS_WHEEL_SIZE - 1)];
		due_links = *bucket;
		g_queue_init(bucket);
		while ((link = g_queue_pop_head_link(&due_links))) {
			record = link->data;
			record->in_wheel = false;
			expire_or_requeue_(keys, record);
		}
	}
}

/* Rounds up to the next second, so that no record is removed early. */
static int64_t removal_time_s_(const struct bw_keys_record *record)
{
	return (record->expiry_ms - record->set->wall_offset_ms) / 1000 + 1;
}

static void expire_or_requeue_(struct bw_keys *keys,
			       struct bw_keys_record *record)
{
	struct bw_keys_set *set = record->set;
	/* Keep the record of a run in progress or of a handover. */
	bool in_use =
		set->state != BW_KEYS_SET_BACKUP &&
		(record->state == BW_KEYS_RUNNING || set->handover_records);

	if (in_use || removal_time_s_(record) > keys->wheel_s) {
		bw_keys_wheel_insert(keys, record);
		return;
	}
	keys->counts.expired++;
	bw_keys_record_remove(keys, record);
	if (set->state == BW_KEYS_SET_BACKUP &&
	    !g_hash_table_size(set->records))
		bw_keys_table_remove(keys, keys->backups, set);
}

/*
 * Evicts only a record in state new, since a key without a record counts as new
 * as well.
 */
static bool make_room_(struct bw_keys *keys, struct bw_keys_pool *pool)
{
	if (pool->records < pool->records_max)
		return true;
	if (!pool->released.length)
		return false;
	bw_keys_record_remove(keys, pool->released.head->data);
	return true;
}

static void record_free_(struct bw_keys *keys, struct bw_keys_record *record)
{
	struct bw_keys_pool *pool = record->set->pool;

	bw_keys_record_drop_response(record);
	bw_keys_record_enqueue(record, NULL);
	if (record->in_unacked)
		g_queue_unlink(&keys->unacked, &record->unacked_link);
	if (record->in_wheel)
		g_queue_unlink(&keys->wheel[record->bucket],
			       &record->wheel_link);
	assert(pool->records);
	pool->records--;
	free(record);
}

static guint set_hash_(gconstpointer value)
{
	const struct bw_keys_set *set = value;

	return g_str_hash(set->host) ^ (guint)set->incarnation;
}

static gboolean set_equal_(gconstpointer a, gconstpointer b)
{
	const struct bw_keys_set *x = a;
	const struct bw_keys_set *y = b;

	return x->incarnation == y->incarnation && !strcmp(x->host, y->host);
}

/* The id is a hash or a keyed nonce, so its first bytes are evenly spread. */
static guint record_hash_(gconstpointer value)
{
	const struct bw_keys_record *record = value;
	guint hash;

	memcpy(&hash, record->id, sizeof(hash));
	return hash;
}

static gboolean record_equal_(gconstpointer a, gconstpointer b)
{
	const struct bw_keys_record *x = a;
	const struct bw_keys_record *y = b;

	return x->kind == y->kind && !memcmp(x->id, y->id, sizeof(x->id));
}
