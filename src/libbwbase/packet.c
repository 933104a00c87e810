#include "bwbase/packet.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_CAPACITY 16

static enum bw_status ensure_capacity_(struct bw_outbox *out);

const char *const bw_channel_string[BW_CHANNEL_COUNT] = {
	[0] = "none",
	[BW_CHANNEL_REPLICA] = "replica",
	[BW_CHANNEL_MEMBER] = "member",
	[BW_CHANNEL_DISTRIBUTE] = "distribute",
	[BW_CHANNEL_SUMMARY] = "summary",
	[BW_CHANNEL_CREDIT] = "credit",
	[BW_CHANNEL_KEYS] = "keys",
	[BW_CHANNEL_POISON] = "poison",
	[BW_CHANNEL_OPERATOR] = "operator",
	[BW_CHANNEL_PLAN] = "plan",
	[BW_CHANNEL_BACKEND] = "backend",
	[BW_CHANNEL_GATE] = "gate",
};

void bw_outbox_init(struct bw_outbox *out, uint32_t limit)
{
	assert(limit > 0);
	memset(out, 0, sizeof(*out));
	out->limit = limit;
}

void bw_outbox_finish(struct bw_outbox *out)
{
	bw_outbox_clear(out);
	free(out->packets);
	out->packets = NULL;
	out->capacity = 0;
}

void bw_outbox_clear(struct bw_outbox *out)
{
	uint32_t i;

	for (i = 0; i < out->count; i++)
		free(out->packets[i].data);
	out->count = 0;
}

enum bw_status bw_outbox_add(struct bw_outbox *out, const char *peer,
			     enum bw_channel channel, const void *data,
			     size_t size_bytes)
{
	struct bw_packet *packet;
	enum bw_status status;

	if (out->count >= out->limit || size_bytes > BW_PACKET_MAX_BYTES) {
		out->dropped_count++;
		return BW_EFULL;
	}
	status = ensure_capacity_(out);
	if (status != BW_OK)
		return status;
	packet = &out->packets[out->count];
	memset(packet, 0, sizeof(*packet));
	if (!bw_name_set(packet->peer, peer))
		return BW_EINVAL;
	packet->channel = (uint8_t)channel;
	packet->size_bytes = (uint32_t)size_bytes;
	packet->data = malloc(size_bytes ? size_bytes : 1);
	if (!packet->data)
		return BW_ENOMEM;
	if (size_bytes)
		memcpy(packet->data, data, size_bytes);
	out->count++;
	return BW_OK;
}

bool bw_name_set(char name[BW_NAME_MAX], const char *text)
{
	size_t length = strlen(text);

	memset(name, 0, BW_NAME_MAX);
	if (length >= BW_NAME_MAX)
		return false;
	memcpy(name, text, length);
	return true;
}

static enum bw_status ensure_capacity_(struct bw_outbox *out)
{
	uint32_t capacity = out->capacity ? out->capacity * 2
					  : INITIAL_CAPACITY;
	struct bw_packet *packets;

	if (out->count < out->capacity)
		return BW_OK;
	packets = realloc(out->packets, capacity * sizeof(*packets));
	if (!packets)
		return BW_ENOMEM;
	out->packets = packets;
	out->capacity = capacity;
	return BW_OK;
}
