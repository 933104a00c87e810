#include "command.h"

#include <string.h>

#include "bwbase/codec.h"

#include "control.h"
#include "host.h"

#define MESSAGE_VERSION 1
#define REQUEST_VALUES 6
#define REPLY_VALUES 6
#define OUTCOME_VALUES 7

/** Maximum number of times that control hosts forward a request. */
#define FORWARD_MAX 3

/** Message types on BW_CHANNEL_OPERATOR. */
enum message_type { MESSAGE_REQUEST = 1, MESSAGE_REPLY = 2 };

/** A command that waits for its reply. */
struct command_call {
	uint64_t number;
	struct bw_buffer message; /**< encoded request, for resends */
	struct bw_time deadline;
	struct bw_time next_send;
	uint32_t attempts;
	command_done_fn *done;
	void *context;
};

static void free_call_(gpointer call);
static bool execute_locally_(struct command_client *client,
			     const struct command_call *call,
			     struct bw_time now);
static void send_call_(struct command_client *client, struct command_call *call,
		       struct bw_time now);
static void encode_request_(struct bw_buffer *out, const char *origin,
			    uint64_t call_number, uint64_t forwards,
			    const struct command *command);
static void write_command_(struct bw_writer *writer,
			   const struct command *command);
static void read_command_(struct bw_reader *reader, struct command *command);
static void write_outcome_(struct bw_writer *writer,
			   const struct bw_outcome *outcome);
static void read_outcome_(struct bw_reader *reader, struct bw_outcome *outcome);
static void handle_request_(struct command_client *client,
			    struct bw_reader *reader, struct bw_time now);
static void forward_request_(struct command_client *client, const char *origin,
			     uint64_t call_number, uint64_t forwards,
			     const struct command *command);
static void handle_reply_(struct command_client *client,
			  struct bw_reader *reader);
static void complete_call_(struct command_client *client, uint64_t number,
			   const struct command_reply *reply);
static void read_fixed_bytes_(struct bw_reader *reader, uint8_t *out,
			      size_t out_bytes);

void command_client_init(struct command_client *client, struct host *host)
{
	client->host = host;
	client->waiting = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						NULL, free_call_);
	client->next_call = bw_random_next(&host->random);
}

void command_client_finish(struct command_client *client)
{
	struct command_reply reply = { .status = BW_EUNAVAILABLE };
	GHashTableIter iter;
	gpointer value;
	struct command_call *call;

	if (!client->waiting)
		return;
	g_hash_table_iter_init(&iter, client->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call = value;
		call->done(call->context, &reply);
	}
	g_hash_table_destroy(client->waiting);
	client->waiting = NULL;
}

void command_call(struct command_client *client, const struct command *command,
		  command_done_fn *done, void *context)
{
	struct host *host = client->host;
	struct bw_time now = host_now(host);
	struct command_reply refused = { .status = BW_EFULL };
	struct command_call *call;

	if (g_hash_table_size(client->waiting) >= COMMAND_WAITING_MAX) {
		done(context, &refused);
		return;
	}
	call = g_new0(struct command_call, 1);
	call->number = client->next_call++;
	call->deadline = bw_time_add(now, COMMAND_TIMEOUT_MS);
	call->done = done;
	call->context = context;
	encode_request_(&call->message, host->settings->host.name, call->number,
			0, command);
	call->next_send = bw_time_add(now, COMMAND_RESEND_MS);
	g_hash_table_insert(client->waiting, &call->number, call);
	/* A local reply frees call before control_execute returns. */
	if (host->control &&
	    control_execute(host->control, command, host->settings->host.name,
			    call->number, now) == BW_OK)
		return;
	send_call_(client, call, now);
}

void command_receive(struct command_client *client,
		     const struct bw_packet *packet, struct bw_time now)
{
	struct bw_reader reader;
	uint64_t version;
	uint64_t type;

	bw_reader_init(&reader, packet->data, packet->size_bytes);
	bw_read_array(&reader);
	version = bw_read_uint(&reader);
	type = bw_read_uint(&reader);
	if (bw_reader_status(&reader) == BW_OK && version == MESSAGE_VERSION) {
		if (type == MESSAGE_REQUEST)
			handle_request_(client, &reader, now);
		else if (type == MESSAGE_REPLY)
			handle_reply_(client, &reader);
	}
	bw_reader_finish(&reader);
}

void command_tick(struct command_client *client, struct bw_time now)
{
	struct command_reply expired = { .status = BW_EUNAVAILABLE };
	GHashTableIter iter;
	gpointer value;
	struct command_call *call;

	g_hash_table_iter_init(&iter, client->waiting);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		call = value;
		if (bw_time_reached(now, call->deadline)) {
			g_hash_table_iter_steal(&iter);
			call->done(call->context, &expired);
			free_call_(call);
			/* done may have modified the table */
			g_hash_table_iter_init(&iter, client->waiting);
		} else if (bw_time_reached(now, call->next_send)) {
			call->next_send = bw_time_add(now, COMMAND_RESEND_MS);
			if (!execute_locally_(client, call, now))
				send_call_(client, call, now);
			/* a local reply may have modified the table */
			g_hash_table_iter_init(&iter, client->waiting);
		}
	}
}

void command_respond(struct host *host, const char *origin,
		     uint64_t call_number, const struct command_reply *reply)
{
	struct bw_buffer message;
	struct bw_writer writer;

	if (!strcmp(origin, host->settings->host.name)) {
		complete_call_(&host->commands, call_number, reply);
		return;
	}
	bw_buffer_init(&message);
	bw_writer_init(&writer, &message);
	bw_write_array(&writer, REPLY_VALUES);
	bw_write_uint(&writer, MESSAGE_VERSION);
	bw_write_uint(&writer, MESSAGE_REPLY);
	bw_write_uint(&writer, call_number);
	bw_write_uint(&writer, reply->status);
	write_outcome_(&writer, &reply->outcome);
	bw_write_str(&writer, reply->leader);
	bw_outbox_add(&host->out, origin, BW_CHANNEL_OPERATOR, message.data,
		      message.size_bytes);
	bw_buffer_finish(&message);
}

static void free_call_(gpointer pointer)
{
	struct command_call *call = pointer;

	bw_buffer_finish(&call->message);
	g_free(call);
}

/* This host may have become the leader since the last attempt. */
static bool execute_locally_(struct command_client *client,
			     const struct command_call *call,
			     struct bw_time now)
{
	struct host *host = client->host;
	struct bw_reader reader;
	struct command command;
	bool executed = false;

	if (!host->control)
		return false;
	bw_reader_init(&reader, call->message.data, call->message.size_bytes);
	bw_read_array(&reader);
	bw_read_uint(&reader); /* version */
	bw_read_uint(&reader); /* type */
	bw_read_uint(&reader); /* call */
	bw_read_bin(&reader, &(size_t){ 0 }); /* origin */
	bw_read_uint(&reader); /* forwards */
	read_command_(&reader, &command);
	if (bw_reader_status(&reader) == BW_OK)
		executed = control_execute(host->control, &command,
					   host->settings->host.name,
					   call->number, now) == BW_OK;
	bw_reader_finish(&reader);
	return executed;
}

/* Each attempt goes to the next control host by rank. */
static void send_call_(struct command_client *client, struct command_call *call,
		       struct bw_time now)
{
	struct host *host = client->host;
	uint32_t count = bw_aggregator_control_count(&host->aggregator);
	const char *self = host->settings->host.name;
	const char *target = NULL;
	uint32_t tried;

	call->next_send = bw_time_add(now, COMMAND_RESEND_MS);
	for (tried = 0; tried < count; tried++) {
		target = bw_aggregator_ranked_control(&host->aggregator,
						      call->attempts++ % count);
		if (target && strcmp(target, self))
			break;
		target = NULL;
	}
	if (target)
		bw_outbox_add(&host->out, target, BW_CHANNEL_OPERATOR,
			      call->message.data, call->message.size_bytes);
}

static void handle_request_(struct command_client *client,
			    struct bw_reader *reader, struct bw_time now)
{
	struct host *host = client->host;
	struct command command;
	char origin[BW_NAME_MAX];
	uint64_t call_number;
	uint64_t forwards;

	call_number = bw_read_uint(reader);
	bw_read_name(reader, origin);
	forwards = bw_read_uint(reader);
	read_command_(reader, &command);
	if (bw_reader_status(reader) != BW_OK || !host->control)
		return;
	if (control_execute(host->control, &command, origin, call_number,
			    now) != BW_OK)
		forward_request_(client, origin, call_number, forwards,
				 &command);
}

static void forward_request_(struct command_client *client, const char *origin,
			     uint64_t call_number, uint64_t forwards,
			     const struct command *command)
{
	struct host *host = client->host;
	const char *leader = control_leader(host->control);
	struct bw_buffer message;

	if (!leader[0] || forwards >= FORWARD_MAX ||
	    !strcmp(leader, host->settings->host.name))
		return;
	bw_buffer_init(&message);
	encode_request_(&message, origin, call_number, forwards + 1, command);
	bw_outbox_add(&host->out, leader, BW_CHANNEL_OPERATOR, message.data,
		      message.size_bytes);
	bw_buffer_finish(&message);
}

static void handle_reply_(struct command_client *client,
			  struct bw_reader *reader)
{
	struct command_reply reply = { .status = BW_OK };
	uint64_t call_number;
	uint64_t status;

	call_number = bw_read_uint(reader);
	status = bw_read_uint(reader);
	read_outcome_(reader, &reply.outcome);
	bw_read_name(reader, reply.leader);
	if (bw_reader_status(reader) != BW_OK || status >= BW_STATUS_COUNT)
		return;
	reply.status = (enum bw_status)status;
	complete_call_(client, call_number, &reply);
}

static void complete_call_(struct command_client *client, uint64_t number,
			   const struct command_reply *reply)
{
	struct command_call *call =
		g_hash_table_lookup(client->waiting, &number);

	if (!call)
		return;
	g_hash_table_steal(client->waiting, &number);
	call->done(call->context, reply);
	free_call_(call);
}

static void encode_request_(struct bw_buffer *out, const char *origin,
			    uint64_t call_number, uint64_t forwards,
			    const struct command *command)
{
	struct bw_writer writer;

	bw_writer_init(&writer, out);
	bw_write_array(&writer, REQUEST_VALUES);
	bw_write_uint(&writer, MESSAGE_VERSION);
	bw_write_uint(&writer, MESSAGE_REQUEST);
	bw_write_uint(&writer, call_number);
	bw_write_str(&writer, origin);
	bw_write_uint(&writer, forwards);
	write_command_(&writer, command);
}

static void write_command_(struct bw_writer *writer,
			   const struct command *command)
{
	switch (command->kind) {
	case COMMAND_SUBMIT:
		bw_write_array(writer, 5);
		bw_write_uint(writer, command->kind);
		bw_write_str(writer, command->submit.id);
		bw_write_uint(writer, command->submit.revision);
		bw_write_bin(writer, command->submit.hash, BW_HASH_BYTES);
		bw_write_bin(writer, command->submit.text,
			     command->submit.text_size_bytes);
		break;
	case COMMAND_BIND_KEY:
		bw_write_array(writer, 5);
		bw_write_uint(writer, command->kind);
		bw_write_bin(writer, command->bind.key, BW_HASH_BYTES);
		bw_write_str(writer, command->bind.owner);
		bw_write_uint(writer, command->bind.owner_incarnation);
		bw_write_int(writer, command->bind.expiry_wall_ms);
		break;
	case COMMAND_GROUP_ADD:
	case COMMAND_GROUP_REMOVE:
		bw_write_array(writer, 2);
		bw_write_uint(writer, command->kind);
		bw_write_str(writer, command->host);
		break;
	case COMMAND_READ:
	case COMMAND_KIND_COUNT:
		bw_write_array(writer, 1);
		bw_write_uint(writer, command->kind);
		break;
	}
}

/* submit.text points into the packet. */
static void read_command_(struct bw_reader *reader, struct command *command)
{
	memset(command, 0, sizeof(*command));
	bw_read_array(reader);
	command->kind = (enum command_kind)bw_read_uint(reader);
	switch (command->kind) {
	case COMMAND_SUBMIT:
		bw_read_text(reader, command->submit.id, BW_SUBMISSION_ID_MAX);
		command->submit.revision = bw_read_uint(reader);
		read_fixed_bytes_(reader, command->submit.hash, BW_HASH_BYTES);
		command->submit.text =
			bw_read_bin(reader, &command->submit.text_size_bytes);
		break;
	case COMMAND_BIND_KEY:
		read_fixed_bytes_(reader, command->bind.key, BW_HASH_BYTES);
		bw_read_name(reader, command->bind.owner);
		command->bind.owner_incarnation = bw_read_uint(reader);
		command->bind.expiry_wall_ms = bw_read_int(reader);
		break;
	case COMMAND_GROUP_ADD:
	case COMMAND_GROUP_REMOVE:
		bw_read_name(reader, command->host);
		break;
	case COMMAND_READ:
		break;
	case COMMAND_KIND_COUNT:
	default:
		reader->failed = true;
		break;
	}
}

static void write_outcome_(struct bw_writer *writer,
			   const struct bw_outcome *outcome)
{
	bw_write_array(writer, OUTCOME_VALUES);
	bw_write_uint(writer, outcome->kind);
	bw_write_bool(writer, outcome->repeated);
	bw_write_uint(writer, outcome->revision);
	bw_write_bin(writer, outcome->hash, BW_HASH_BYTES);
	bw_write_str(writer, outcome->owner);
	bw_write_uint(writer, outcome->owner_incarnation);
	bw_write_int(writer, outcome->expiry_wall_ms);
}

static void read_outcome_(struct bw_reader *reader, struct bw_outcome *outcome)
{
	uint64_t kind;

	bw_read_array(reader);
	kind = bw_read_uint(reader);
	if (kind >= BW_OUTCOME_KIND_COUNT)
		reader->failed = true;
	else
		outcome->kind = (enum bw_outcome_kind)kind;
	outcome->repeated = bw_read_bool(reader);
	outcome->revision = bw_read_uint(reader);
	read_fixed_bytes_(reader, outcome->hash, BW_HASH_BYTES);
	bw_read_name(reader, outcome->owner);
	outcome->owner_incarnation = bw_read_uint(reader);
	outcome->expiry_wall_ms = bw_read_int(reader);
	bw_read_end(reader);
}

static void read_fixed_bytes_(struct bw_reader *reader, uint8_t *out,
			      size_t out_bytes)
{
	size_t size_bytes = 0;
	const uint8_t *data = bw_read_bin(reader, &size_bytes);

	if (!data || size_bytes != out_bytes) {
		reader->failed = true;
		return;
	}
	memcpy(out, data, out_bytes);
}
