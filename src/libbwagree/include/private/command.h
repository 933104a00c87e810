/**
 * @file
 * Decoding of commands, shared by the replicated state and the replica.
 */
#ifndef PRIVATE_COMMAND_H
#define PRIVATE_COMMAND_H

#include "bwagree/state.h"
#include "bwbase/codec.h"

/** Version of commands and of the encoded state. */
#define COMMAND_VERSION 1

/**
 * Enters the array of a command and reads its version and kind.
 * @return the kind; BW_COMMAND_KIND_COUNT if malformed
 */
enum bw_command_kind command_read_header(struct bw_reader *reader);

/** Decodes the fields of a command after its header. @return success */
bool command_read_submit(struct bw_reader *reader, struct bw_submit *submit);

/**
 * Reads BW_COMMAND_SUBMIT_PACKED; text receives the text.
 * @return BW_OK, BW_EINVAL or BW_ENOMEM
 */
enum bw_status command_read_packed_submit(struct bw_reader *reader,
					  struct bw_submit *submit,
					  struct bw_buffer *text);
bool command_read_bind_key(struct bw_reader *reader, struct bw_bind_key *bind);

/** Encodes a group as one array. */
void command_write_group(struct bw_writer *writer,
			 const struct bw_group *group);

/** Decodes a group; errors are reported by the reader's status. */
void command_read_group(struct bw_reader *reader, struct bw_group *group);

/** Reads size_bytes bytes; another length is an error of the reader. */
void command_read_fixed(struct bw_reader *reader, void *into,
			size_t size_bytes);

/** Reads a submission id; a malformed one is an error of the reader. */
void command_read_id(struct bw_reader *reader, char id[BW_SUBMISSION_ID_MAX]);

#endif
