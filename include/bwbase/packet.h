/**
 * @file
 * Packets between hosts and the bounded queue of packets to send.
 */
#ifndef BWBASE_PACKET_H
#define BWBASE_PACKET_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/** Size of a name (host, service, region ...), including the final NUL. */
#define BW_NAME_MAX 32

/** Maximum size of the body of a packet, in bytes. */
#define BW_PACKET_MAX_BYTES (1024 * 1024)

/** Subsystem that handles a packet. The values are part of the wire format. */
enum bw_channel {
	BW_CHANNEL_REPLICA = 1,
	BW_CHANNEL_MEMBER = 2,
	BW_CHANNEL_DISTRIBUTE = 3,
	BW_CHANNEL_SUMMARY = 4,
	BW_CHANNEL_CREDIT = 5,
	BW_CHANNEL_KEYS = 6,
	BW_CHANNEL_POISON = 7,
	BW_CHANNEL_OPERATOR = 8,
	BW_CHANNEL_PLAN = 9,
	BW_CHANNEL_BACKEND = 10,
	BW_CHANNEL_GATE = 11,
	BW_CHANNEL_COUNT
};

/** Stable names of enum bw_channel; entry 0 is "none". */
extern const char *const bw_channel_string[BW_CHANNEL_COUNT];

/** A message; peer is the sender when received, else the destination. */
struct bw_packet {
	char peer[BW_NAME_MAX];
	uint64_t incarnation; /**< sender's incarnation; 0 in an outbox */
	uint8_t channel; /**< an enum bw_channel */
	uint8_t *data;
	uint32_t size_bytes;
};

/** Bounded FIFO queue of outgoing packets; owns their data. */
struct bw_outbox {
	struct bw_packet *packets;
	uint32_t count;
	uint32_t capacity; /**< allocated entries */
	uint32_t limit; /**< maximum number of entries */
	uint64_t dropped_count; /**< packets not added: full or too large */
};

/**
 * Initialises an empty outbox.
 * @param limit maximum number of packets, greater than zero
 */
void bw_outbox_init(struct bw_outbox *out, uint32_t limit);

/** Frees all packets and the queue. */
void bw_outbox_finish(struct bw_outbox *out);

/** Frees all packets and keeps the memory of the queue. */
void bw_outbox_clear(struct bw_outbox *out);

/**
 * Appends a copy of data as a packet.
 * @return BW_OK; BW_EFULL when the queue is full or the body is larger than
 *	BW_PACKET_MAX_BYTES (the packet is counted as dropped); BW_ENOMEM
 */
enum bw_status bw_outbox_add(struct bw_outbox *out, const char *peer,
			     enum bw_channel channel, const void *data,
			     size_t size_bytes);

/**
 * Copies a name into a fixed array of BW_NAME_MAX bytes.
 * @return whether it fits; otherwise name is set to the empty string
 */
bool bw_name_set(char name[BW_NAME_MAX], const char *text);

#endif
