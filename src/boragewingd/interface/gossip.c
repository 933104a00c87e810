#include "gossip.h"

#include <string.h>

#include "host.h"

#define GOSSIP_ENTRIES 64

/**
 * Hosts of the domain that receive the table in a periodic round. If all
 * received it, the traffic would grow with the square of the number of hosts:
 * 245 KB/s at each host with 28 hosts and 160 servers. A state change goes to
 * all hosts at once.
 */
#define GOSSIP_FANOUT 4
#define POISON_ENTRIES 32

static uint32_t choose_receivers_(struct steering *steering, bool to_all,
				  const char **receivers);
static void send_to_domain_(struct steering *steering, enum bw_channel channel,
			    const struct bw_buffer *body);
static void send_to_aggregators_(struct steering *steering,
				 enum bw_channel channel,
				 const struct bw_buffer *body);

void gossip_backends(struct steering *steering, bool to_all, struct bw_time now)
{
	const char *receivers[BW_MEMBER_HOSTS_MAX];
	uint32_t count = choose_receivers_(steering, to_all, receivers);
	struct bw_buffer body;
	uint32_t cursor = 0;
	uint32_t i;

	bw_buffer_init(&body);
	do {
		bw_buffer_clear(&body);
		if (bw_backend_encode(&steering->backends, now, &cursor,
				      GOSSIP_ENTRIES, &body) != BW_OK)
			break;
		for (i = 0; i < count; i++)
			bw_outbox_add(&steering->host->out, receivers[i],
				      BW_CHANNEL_BACKEND, body.data,
				      body.size_bytes);
	} while (cursor);
	bw_buffer_finish(&body);
}

/* Selects all other hosts that are up, or GOSSIP_FANOUT at random. */
static uint32_t choose_receivers_(struct steering *steering, bool to_all,
				  const char **receivers)
{
	struct host *host = steering->host;
	const struct bw_member_record *record;
	const char *chosen;
	uint32_t count = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < bw_member_count(&host->member); i++) {
		record = bw_member_at(&host->member, i);
		if (count < BW_MEMBER_HOSTS_MAX &&
		    bw_member_state_is_up(record->state) &&
		    strcmp(record->host.name, host->settings->host.name) != 0)
			receivers[count++] = record->host.name;
	}
	if (to_all || count <= GOSSIP_FANOUT)
		return count;
	for (i = 0; i < GOSSIP_FANOUT; i++) {
		j = i + (uint32_t)bw_random_below(&host->random, count - i);
		chosen = receivers[j];
		receivers[j] = receivers[i];
		receivers[i] = chosen;
	}
	return GOSSIP_FANOUT;
}

void gossip_poison(struct steering *steering, struct bw_time now)
{
	struct bw_buffer body;

	if (!steering->poison.count)
		return;
	bw_buffer_init(&body);
	if (bw_poison_encode(&steering->poison, now, &steering->poison_cursor,
			     POISON_ENTRIES, &body) == BW_OK) {
		send_to_domain_(steering, BW_CHANNEL_POISON, &body);
		if (bw_aggregator_is_self(&steering->host->aggregator))
			send_to_aggregators_(steering, BW_CHANNEL_POISON,
					     &body);
	}
	bw_buffer_finish(&body);
}

static void send_to_domain_(struct steering *steering, enum bw_channel channel,
			    const struct bw_buffer *body)
{
	const char *receivers[BW_MEMBER_HOSTS_MAX];
	uint32_t count = choose_receivers_(steering, true, receivers);
	uint32_t i;

	for (i = 0; i < count; i++)
		bw_outbox_add(&steering->host->out, receivers[i], channel,
			      body->data, body->size_bytes);
}

static void send_to_aggregators_(struct steering *steering,
				 enum bw_channel channel,
				 const struct bw_buffer *body)
{
	struct host *host = steering->host;
	const struct bw_summary *summary;
	uint32_t i;

	for (i = 0; i < bw_aggregator_count(&host->aggregator); i++) {
		summary = bw_aggregator_at(&host->aggregator, i);
		if (summary->aggregator[0] &&
		    strcmp(summary->aggregator, host->settings->host.name))
			bw_outbox_add(&host->out, summary->aggregator, channel,
				      body->data, body->size_bytes);
	}
}
