#include "private/replica.h"

#include <string.h>

#define HEADER_FIELDS 6

void replica_write_header(struct bw_replica *replica, struct bw_buffer *buffer,
			  struct bw_writer *writer, enum replica_type type,
			  uint64_t to, uint32_t fields)
{
	bw_buffer_init(buffer);
	bw_writer_init(writer, buffer);
	bw_write_array(writer, HEADER_FIELDS + fields);
	bw_write_uint(writer, REPLICA_VERSION);
	bw_write_uint(writer, type);
	bw_write_uint(writer, replica->group_id);
	bw_write_uint(writer, replica->meta.disk_incarnation);
	bw_write_uint(writer, to);
	bw_write_uint(writer, replica->meta.term);
}

void replica_send(struct bw_replica *replica, const char *host,
		  struct bw_buffer *buffer, const struct bw_writer *writer)
{
	/* A packet that does not fit the outbox is dropped; retries cover it.
	 */
	if (replica->out && writer->status == BW_OK &&
	    replica->role != BW_REPLICA_FAILED)
		bw_outbox_add(replica->out, host, BW_CHANNEL_REPLICA,
			      buffer->data, buffer->size_bytes);
	bw_buffer_finish(buffer);
}

enum bw_status replica_read_header(struct bw_reader *reader,
				   struct replica_header *header)
{
	uint64_t version;
	uint64_t type;

	bw_read_array(reader);
	version = bw_read_uint(reader);
	type = bw_read_uint(reader);
	if (reader->failed)
		return BW_EINVAL;
	if (version != REPLICA_VERSION || type < REPLICA_HELLO ||
	    type >= REPLICA_TYPE_COUNT)
		return BW_EVERSION;
	header->type = (enum replica_type)type;
	header->group_id = bw_read_uint(reader);
	header->from_disk = bw_read_uint(reader);
	header->to_disk = bw_read_uint(reader);
	header->term = bw_read_uint(reader);
	if (!header->from_disk)
		return BW_EINVAL;
	return bw_reader_status(reader);
}
