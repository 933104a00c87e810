#include "private/command.h"

#include <string.h>

#include <zlib.h>

static enum bw_status pack_text_(const struct bw_submit *submit,
				 struct bw_buffer *packed);
static void write_header_(struct bw_writer *writer, struct bw_buffer *out,
			  enum bw_command_kind kind, uint32_t fields);
static void set_failed_(struct bw_reader *reader);

const char *const bw_command_kind_string[BW_COMMAND_KIND_COUNT] = {
	[BW_COMMAND_NONE] = "none",
	[BW_COMMAND_SUBMIT] = "submit",
	[BW_COMMAND_SET_PLAN] = "set_plan",
	[BW_COMMAND_BIND_KEY] = "bind_key",
	[BW_COMMAND_GROUP] = "group",
	[BW_COMMAND_EVACUATE] = "evacuate",
	[BW_COMMAND_SUBMIT_PACKED] = "submit_packed",
};

const char *const bw_member_kind_string[BW_MEMBER_KIND_COUNT] = {
	[BW_MEMBER_VOTER] = "voter",
	[BW_MEMBER_LEARNER] = "learner",
	[BW_MEMBER_PENDING] = "pending",
};

enum bw_command_kind bw_command_kind(const uint8_t *data, size_t size_bytes)
{
	/* The array header, the version and the kind take one byte each. */
	if (size_bytes < 3 || (data[0] & 0xf0) != 0x90 ||
	    data[1] != COMMAND_VERSION || data[2] >= BW_COMMAND_KIND_COUNT)
		return BW_COMMAND_KIND_COUNT;
	return (enum bw_command_kind)data[2];
}

enum bw_status bw_command_none(struct bw_buffer *out)
{
	struct bw_writer writer;

	write_header_(&writer, out, BW_COMMAND_NONE, 0);
	return writer.status;
}

enum bw_status bw_command_submit(struct bw_buffer *out,
				 const struct bw_submit *submit)
{
	bool is_packed = submit->text_size_bytes > BW_SHEET_COMMAND_MAX_BYTES;
	struct bw_buffer packed = { 0 };
	const uint8_t *text = submit->text;
	size_t size_bytes = submit->text_size_bytes;
	struct bw_writer writer;
	enum bw_status status;

	if (!submit->id[0] || !submit->revision)
		return BW_EINVAL;
	if (is_packed) {
		status = pack_text_(submit, &packed);
		if (status != BW_OK) {
			bw_buffer_finish(&packed);
			return status;
		}
		text = packed.data;
		size_bytes = packed.size_bytes;
	}
	write_header_(&writer, out,
		      is_packed ? BW_COMMAND_SUBMIT_PACKED : BW_COMMAND_SUBMIT,
		      is_packed ? 6 : 5);
	bw_write_str(&writer, submit->id);
	bw_write_uint(&writer, submit->revision);
	bw_write_bin(&writer, submit->hash, BW_HASH_BYTES);
	bw_write_bin(&writer, text, size_bytes);
	bw_write_int(&writer, submit->accept_wall_ms);
	if (is_packed)
		bw_write_uint(&writer, submit->text_size_bytes);
	bw_buffer_finish(&packed);
	return writer.status;
}

enum bw_status bw_command_set_plan(struct bw_buffer *out, const void *plan,
				   size_t size_bytes)
{
	struct bw_writer writer;

	if (size_bytes > BW_PLAN_MAX_BYTES)
		return BW_EINVAL;
	write_header_(&writer, out, BW_COMMAND_SET_PLAN, 1);
	bw_write_bin(&writer, plan, size_bytes);
	return writer.status;
}

enum bw_status bw_command_bind_key(struct bw_buffer *out,
				   const struct bw_bind_key *bind)
{
	struct bw_writer writer;

	if (!bind->owner[0] || !bind->owner_incarnation)
		return BW_EINVAL;
	write_header_(&writer, out, BW_COMMAND_BIND_KEY, 5);
	bw_write_bin(&writer, bind->key, BW_HASH_BYTES);
	bw_write_str(&writer, bind->owner);
	bw_write_uint(&writer, bind->owner_incarnation);
	bw_write_int(&writer, bind->expiry_wall_ms);
	bw_write_int(&writer, bind->now_wall_ms);
	return writer.status;
}

enum bw_status bw_command_group(struct bw_buffer *out,
				const struct bw_group *group)
{
	struct bw_writer writer;

	write_header_(&writer, out, BW_COMMAND_GROUP, 1);
	command_write_group(&writer, group);
	return writer.status;
}

enum bw_status bw_command_evacuate(struct bw_buffer *out, const char *domain,
				   bool active)
{
	struct bw_writer writer;

	if (!domain[0] || strlen(domain) >= BW_NAME_MAX)
		return BW_EINVAL;
	write_header_(&writer, out, BW_COMMAND_EVACUATE, 2);
	bw_write_str(&writer, domain);
	bw_write_bool(&writer, active);
	return writer.status;
}

enum bw_status bw_command_read_group(const uint8_t *data, size_t size_bytes,
				     struct bw_group *group)
{
	struct bw_reader reader;
	enum bw_status status = bw_reader_init(&reader, data, size_bytes);

	memset(group, 0, sizeof(*group));
	if (status == BW_OK && command_read_header(&reader) == BW_COMMAND_GROUP)
		command_read_group(&reader, group);
	else
		reader.failed = true;
	status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	return status;
}

struct bw_group_member *bw_group_find(struct bw_group *group, const char *host)
{
	uint32_t i;

	for (i = 0; i < group->count; i++) {
		if (!strcmp(group->members[i].host, host))
			return &group->members[i];
	}
	return NULL;
}

enum bw_status bw_group_add(struct bw_group *group,
			    const struct bw_group_member *member)
{
	uint32_t position = 0;

	if (bw_group_find(group, member->host))
		return BW_EEXIST;
	if (group->count == BW_GROUP_MAX)
		return BW_EFULL;
	while (position < group->count &&
	       strcmp(group->members[position].host, member->host) < 0)
		position++;
	memmove(&group->members[position + 1], &group->members[position],
		(group->count - position) * sizeof(*member));
	group->members[position] = *member;
	group->count++;
	return BW_OK;
}

enum bw_status bw_group_remove(struct bw_group *group, const char *host)
{
	struct bw_group_member *member = bw_group_find(group, host);
	uint32_t position;

	if (!member)
		return BW_ENOTFOUND;
	position = (uint32_t)(member - group->members);
	group->count--;
	memmove(member, member + 1,
		(group->count - position) * sizeof(*member));
	return BW_OK;
}

enum bw_command_kind command_read_header(struct bw_reader *reader)
{
	uint64_t version;
	uint64_t kind;

	bw_read_array(reader);
	version = bw_read_uint(reader);
	kind = bw_read_uint(reader);
	if (reader->failed || version != COMMAND_VERSION ||
	    kind >= BW_COMMAND_KIND_COUNT)
		return BW_COMMAND_KIND_COUNT;
	return (enum bw_command_kind)kind;
}

enum bw_status command_read_packed_submit(struct bw_reader *reader,
					  struct bw_submit *submit,
					  struct bw_buffer *text)
{
	uint64_t plain_bytes;
	uLongf size;
	int result;

	if (!command_read_submit(reader, submit))
		return BW_EINVAL;
	plain_bytes = bw_read_uint(reader);
	if (reader->failed || plain_bytes > BW_SHEET_TEXT_MAX_BYTES)
		return BW_EINVAL;
	if (bw_buffer_reserve(text, plain_bytes) != BW_OK)
		return BW_ENOMEM;
	size = plain_bytes;
	result = uncompress(text->data, &size, submit->text,
			    submit->text_size_bytes);
	if (result == Z_MEM_ERROR)
		return BW_ENOMEM;
	if (result != Z_OK || size != plain_bytes)
		return BW_EINVAL;
	text->size_bytes = size;
	submit->text = text->data;
	submit->text_size_bytes = size;
	return BW_OK;
}

bool command_read_submit(struct bw_reader *reader, struct bw_submit *submit)
{
	memset(submit, 0, sizeof(*submit));
	command_read_id(reader, submit->id);
	submit->revision = bw_read_uint(reader);
	command_read_fixed(reader, submit->hash, BW_HASH_BYTES);
	submit->text = bw_read_bin(reader, &submit->text_size_bytes);
	submit->accept_wall_ms = bw_read_int(reader);
	return !reader->failed && submit->id[0] && submit->revision &&
	       submit->text_size_bytes <= BW_SHEET_COMMAND_MAX_BYTES;
}

bool command_read_bind_key(struct bw_reader *reader, struct bw_bind_key *bind)
{
	memset(bind, 0, sizeof(*bind));
	command_read_fixed(reader, bind->key, BW_HASH_BYTES);
	bw_read_name(reader, bind->owner);
	bind->owner_incarnation = bw_read_uint(reader);
	bind->expiry_wall_ms = bw_read_int(reader);
	bind->now_wall_ms = bw_read_int(reader);
	return !reader->failed && bind->owner[0] && bind->owner_incarnation;
}

void command_write_group(struct bw_writer *writer, const struct bw_group *group)
{
	uint32_t i;

	bw_write_array(writer, 2);
	bw_write_uint(writer, group->id);
	bw_write_array(writer, group->count);
	for (i = 0; i < group->count; i++) {
		const struct bw_group_member *member = &group->members[i];

		bw_write_array(writer, 4);
		bw_write_str(writer, member->host);
		bw_write_uint(writer, member->disk_incarnation);
		bw_write_uint(writer, member->kind);
		bw_write_bool(writer, member->promote);
	}
}

void command_read_group(struct bw_reader *reader, struct bw_group *group)
{
	struct bw_group_member member;
	uint64_t kind;
	uint32_t count;

	memset(group, 0, sizeof(*group));
	bw_read_array(reader);
	group->id = bw_read_uint(reader);
	count = bw_read_array(reader);
	while (count-- && !reader->failed) {
		memset(&member, 0, sizeof(member));
		bw_read_array(reader);
		bw_read_name(reader, member.host);
		member.disk_incarnation = bw_read_uint(reader);
		kind = bw_read_uint(reader);
		member.promote = bw_read_bool(reader);
		bw_read_end(reader);
		member.kind = (enum bw_member_kind)kind;
		if (kind >= BW_MEMBER_KIND_COUNT || !member.host[0] ||
		    bw_group_add(group, &member) != BW_OK)
			set_failed_(reader);
	}
	bw_read_end(reader);
	bw_read_end(reader);
}

void command_read_fixed(struct bw_reader *reader, void *into, size_t size_bytes)
{
	size_t actual_bytes = 0;
	const uint8_t *bytes = bw_read_bin(reader, &actual_bytes);

	if (!bytes || actual_bytes != size_bytes) {
		set_failed_(reader);
		return;
	}
	memcpy(into, bytes, size_bytes);
}

void command_read_id(struct bw_reader *reader, char id[BW_SUBMISSION_ID_MAX])
{
	size_t actual_bytes = 0;
	const uint8_t *bytes = bw_read_bin(reader, &actual_bytes);

	memset(id, 0, BW_SUBMISSION_ID_MAX);
	if (!bytes || actual_bytes >= BW_SUBMISSION_ID_MAX ||
	    memchr(bytes, 0, actual_bytes)) {
		set_failed_(reader);
		return;
	}
	memcpy(id, bytes, actual_bytes);
}

static enum bw_status pack_text_(const struct bw_submit *submit,
				 struct bw_buffer *packed)
{
	uLongf size = compressBound(submit->text_size_bytes);
	enum bw_status status;

	if (submit->text_size_bytes > BW_SHEET_TEXT_MAX_BYTES)
		return BW_EFULL;
	status = bw_buffer_reserve(packed, size);
	if (status != BW_OK)
		return status;
	if (compress2(packed->data, &size, submit->text,
		      submit->text_size_bytes, Z_BEST_SPEED) != Z_OK)
		return BW_ENOMEM;
	packed->size_bytes = size;
	return size > BW_SHEET_COMMAND_MAX_BYTES ? BW_EFULL : BW_OK;
}

static void write_header_(struct bw_writer *writer, struct bw_buffer *out,
			  enum bw_command_kind kind, uint32_t fields)
{
	bw_writer_init(writer, out);
	bw_write_array(writer, 2 + fields);
	bw_write_uint(writer, COMMAND_VERSION);
	bw_write_uint(writer, kind);
}

static void set_failed_(struct bw_reader *reader)
{
	reader->failed = true;
}
