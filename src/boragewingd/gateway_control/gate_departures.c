#include "gate_departures.h"

#include <string.h>

#define FILE_NAME "departures.log"

/**
 * Size up to which the file grows by appended records, and its smallest ratio
 * to the records that are still known, before it is written anew.
 */
#define REWRITE_MIN_BYTES (64 * 1024)
#define REWRITE_FACTOR 4

/** Estimate of the size of one record in the file. */
#define RECORD_BYTES 200

/** Delay of the next attempt after a failed sync. */
#define RETRY_MS 500

/** An acknowledgement that waits for the sync. */
struct acknowledgement {
	char peer[BW_NAME_MAX];
	struct gate_heartbeat records[GATE_BATCH_MAX];
	uint32_t count;
};

static void load_record_(void *context, const uint8_t *data,
			 uint32_t size_bytes);
static void append_(struct gate_departures *departures,
		    const struct bw_server_record *record);
static void append_all_(struct gate_departures *departures);
static bool is_large_(const struct gate_departures *departures);
static uint32_t count_(const struct gate_departures *departures);
static void finish_sync_(struct gate_departures *departures,
			 enum bw_status status, struct bw_time now);
static void send_acknowledgements_(struct gate_departures *departures);

enum bw_status gate_departures_init(struct gate_departures *departures,
				    struct gate_node *node,
				    struct bw_storage *storage)
{
	enum bw_status status;

	memset(departures, 0, sizeof(*departures));
	departures->node = node;
	departures->acknowledgements = g_ptr_array_new_with_free_func(g_free);
	status = bw_record_file_open(&departures->file, storage, FILE_NAME,
				     load_record_, departures);
	departures->is_open = status == BW_OK;
	if (departures->file.dropped_bytes)
		append_all_(departures);
	bw_log_event(node->log, status == BW_OK ? BW_LOG_INFO : BW_LOG_ERROR,
		     "registry", "departures_loaded", "{s:s,s:i,s:I}", "status",
		     bw_status_string[status], "servers",
		     (int)count_(departures), "dropped_bytes",
		     (json_int_t)departures->file.dropped_bytes);
	return status;
}

void gate_departures_finish(struct gate_departures *departures)
{
	if (!departures->node)
		return;
	bw_record_file_finish(&departures->file);
	g_ptr_array_free(departures->acknowledgements, TRUE);
	departures->node = NULL;
}

void gate_departures_note(struct gate_departures *departures,
			  const struct bw_server *server)
{
	if (server->record.state != BW_SERVER_READY)
		append_(departures, &server->record);
}

void gate_departures_acknowledge(struct gate_departures *departures,
				 const char *peer,
				 const struct gate_servers *records)
{
	struct acknowledgement *waiting = g_new0(struct acknowledgement, 1);

	bw_name_set(waiting->peer, peer);
	waiting->count = records->heartbeat_count;
	memcpy(waiting->records, records->heartbeats,
	       waiting->count * sizeof(waiting->records[0]));
	g_ptr_array_add(departures->acknowledgements, waiting);
}

bool gate_departures_sync(struct gate_departures *departures,
			  struct bw_time now)
{
	struct bw_record_file *file = &departures->file;
	bool due = bw_record_file_is_dirty(file) || departures->failed;

	if (departures->failed && !bw_time_reached(now, departures->retry_at)) {
		g_ptr_array_set_size(departures->acknowledgements, 0);
		return false;
	}
	if (due) {
		if (departures->failed || is_large_(departures))
			append_all_(departures);
		finish_sync_(departures, bw_record_file_sync(file), now);
	}
	if (departures->failed)
		g_ptr_array_set_size(departures->acknowledgements, 0);
	else
		send_acknowledgements_(departures);
	return due && !departures->failed;
}

static void load_record_(void *context, const uint8_t *data,
			 uint32_t size_bytes)
{
	struct gate_departures *departures = context;
	struct gate_node *node = departures->node;
	struct bw_server_record record;
	struct bw_reader reader;

	bw_reader_init(&reader, data, size_bytes);
	bw_server_record_read(&reader, &record);
	if (bw_reader_status(&reader) == BW_OK)
		gate_node_merge(node, &record, "disk", gate_node_now(node),
				NULL);
	bw_reader_finish(&reader);
}

static void append_(struct gate_departures *departures,
		    const struct bw_server_record *record)
{
	struct bw_buffer bytes;
	struct bw_writer writer;
	enum bw_status status;

	bw_buffer_init(&bytes);
	bw_writer_init(&writer, &bytes);
	bw_server_record_write(&writer, record);
	status = writer.status;
	if (status == BW_OK)
		status = bw_record_file_append(&departures->file, bytes.data,
					       (uint32_t)bytes.size_bytes);
	bw_buffer_finish(&bytes);
	/* The next sync then writes all records again. */
	if (status != BW_OK)
		finish_sync_(departures, status,
			     gate_node_now(departures->node));
}

/* Replaces the file by the records that are still known. */
static void append_all_(struct gate_departures *departures)
{
	GHashTableIter iter;
	gpointer value;

	bw_record_file_clear(&departures->file);
	g_hash_table_iter_init(&iter, departures->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		gate_departures_note(departures, value);
}

/* Returns whether most records of the file are of servers that are forgotten.
 */
static bool is_large_(const struct gate_departures *departures)
{
	uint64_t size_bytes = departures->file.size_bytes;

	return size_bytes > REWRITE_MIN_BYTES &&
	       size_bytes > (uint64_t)REWRITE_FACTOR * RECORD_BYTES *
				    count_(departures);
}

static uint32_t count_(const struct gate_departures *departures)
{
	GHashTableIter iter;
	uint32_t count = 0;
	gpointer value;

	g_hash_table_iter_init(&iter, departures->node->registry.servers);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		count += ((const struct bw_server *)value)->record.state !=
			 BW_SERVER_READY;
	return count;
}

static void finish_sync_(struct gate_departures *departures,
			 enum bw_status status, struct bw_time now)
{
	bool failed = status != BW_OK;

	if (failed != departures->failed)
		bw_log_event(departures->node->log,
			     failed ? BW_LOG_ERROR : BW_LOG_WARNING, "registry",
			     failed ? "departures_failed"
				    : "departures_restored",
			     "{s:s}", "status", bw_status_string[status]);
	departures->failed = failed;
	departures->retry_at = bw_time_add(now, RETRY_MS);
}

static void send_acknowledgements_(struct gate_departures *departures)
{
	struct gate_node *node = departures->node;
	static struct gate_servers message;
	guint i;

	message.record_count = 0;
	for (i = 0; i < departures->acknowledgements->len; i++) {
		const struct acknowledgement *waiting =
			departures->acknowledgements->pdata[i];

		message.heartbeat_count = waiting->count;
		memcpy(message.heartbeats, waiting->records,
		       waiting->count * sizeof(waiting->records[0]));
		gate_servers_write(gate_node_frame(node), GATE_SERVERS_ACK,
				   &message);
		gate_node_send(node, waiting->peer);
	}
	g_ptr_array_set_size(departures->acknowledgements, 0);
}
