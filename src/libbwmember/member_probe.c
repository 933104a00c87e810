#include "private/member.h"

#include <string.h>

/** Maximum number of hosts that receive a ping request. */
#define INDIRECT_PROBES_MAX 3

/** Hosts that receive a new suspect or failed state immediately. */
#define URGENT_FANOUT 2

/** Minimum spacing of such sends; limits the load when many hosts fail at
 * the same time. */
#define URGENT_SPACING_MS 200

/** Hosts and seeds contacted per rejoin while no other host is up. */
#define JOIN_FANOUT 3

/** Minimum spacing of responses to differing hashes. */
#define SYNC_RESPONSE_SPACING_MS 200

static enum bw_status send_indirect_probes_(struct bw_member *member,
					    struct bw_outbox *out);
static enum bw_status suspect_probe_target_(struct bw_member *member,
					    struct bw_time now,
					    struct bw_outbox *out);
static struct bw_member_entry *pick_probe_target_(struct bw_member *member);
static const char *pick_rejoin_target_(struct bw_member *member);
static bool is_absent_seed_(const struct bw_member *member,
			    const struct bw_member_seed *seed);

void member_expire(struct bw_member *member, struct bw_time now)
{
	struct bw_member_entry *entry;
	uint32_t i = 0;

	while (i < member->entry_count) {
		entry = &member->entries[i];
		if (entry->record.state == BW_MEMBER_SUSPECT &&
		    bw_time_reached(now, entry->suspect_until))
			member_change_state(member, entry, SUSPICION_EXPIRED,
					    false, now);
		if (bw_member_state_is_up(entry->record.state) ||
		    bw_time_diff_ms(now, entry->record.since) <
			    member->config.tombstone_ms) {
			i++;
			continue;
		}
		member->entry_count--;
		memmove(entry, entry + 1,
			(member->entry_count - i) * sizeof(*entry));
	}
}

enum bw_status member_probe(struct bw_member *member, struct bw_time now,
			    struct bw_outbox *out)
{
	struct bw_member_entry *target;
	enum bw_status status = BW_OK;

	if (member->probe.target[0] && !member->probe.indirect_sent &&
	    bw_time_reached(now, member->probe.indirect_at))
		return send_indirect_probes_(member, out);
	if (!bw_time_reached(now, member->next_probe))
		return BW_OK;
	if (member->probe.target[0])
		status = suspect_probe_target_(member, now, out);
	if (status != BW_OK)
		return status;
	member->next_probe = bw_time_add(now, member->config.probe_interval_ms);
	target = pick_probe_target_(member);
	if (!target)
		return BW_OK;
	memcpy(member->probe.target, target->record.host.name, BW_NAME_MAX);
	member->probe.sequence = ++member->sequence;
	member->probe.indirect_sent = false;
	member->probe.indirect_at =
		bw_time_add(now, member->config.probe_timeout_ms);
	return member_send(member, out, member->probe.target, MEMBER_PING,
			   member->probe.sequence, "", false);
}

/* Contacts failed hosts and absent seeds at a low rate, so that the sides of
 * a partitioned failure domain merge after the partition. */
enum bw_status member_rejoin(struct bw_member *member, struct bw_time now,
			     struct bw_outbox *out)
{
	uint32_t count = member_pick_random_host(member, "") ? 1 : JOIN_FANOUT;
	char name[BW_NAME_MAX];
	enum bw_status status = BW_OK;
	const char *target;

	member->next_rejoin =
		bw_time_add(now, member->config.rejoin_interval_ms);
	while (count-- && status == BW_OK) {
		target = pick_rejoin_target_(member);
		if (!target)
			return BW_OK;
		memcpy(name, target, BW_NAME_MAX);
		status = member_send(member, out, name, MEMBER_HASHES, 0, "",
				     true);
	}
	return status;
}

struct bw_member_entry *member_pick_random_host(struct bw_member *member,
						const char *except)
{
	struct bw_member_entry *entry;
	struct bw_member_entry *chosen = NULL;
	uint32_t candidate_count = 0;
	uint32_t i;

	for (i = 0; i < member->entry_count; i++) {
		entry = &member->entries[i];
		if (entry == member_self(member) ||
		    !bw_member_state_is_up(entry->record.state) ||
		    !strcmp(entry->record.host.name, except))
			continue;
		if (!bw_random_below(&member->random, ++candidate_count))
			chosen = entry;
	}
	return chosen;
}

enum bw_status member_handle_hashes(struct bw_member *member, const char *peer,
				    const struct member_message *message,
				    struct bw_time now, struct bw_outbox *out)
{
	uint64_t own_hashes[MEMBER_BUCKETS];
	bool marked[MEMBER_BUCKETS];
	bool has_difference = false;
	enum bw_status status;
	uint32_t i;

	if (!message->has_hashes ||
	    !bw_time_reached(now, member->next_sync_response))
		return BW_OK;
	member_hash(member, own_hashes);
	for (i = 0; i < MEMBER_BUCKETS; i++) {
		marked[i] = own_hashes[i] != message->hashes[i];
		has_difference |= marked[i];
	}
	if (!has_difference)
		return BW_OK;
	member->next_sync_response = bw_time_add(now, SYNC_RESPONSE_SPACING_MS);
	status = member_send_buckets(member, out, peer, marked);
	if (status != BW_OK || !message->reply)
		return status;
	return member_send(member, out, peer, MEMBER_HASHES, 0, "", false);
}

static enum bw_status send_indirect_probes_(struct bw_member *member,
					    struct bw_outbox *out)
{
	char helpers[INDIRECT_PROBES_MAX][BW_NAME_MAX] = { { 0 } };
	struct bw_member_entry *helper;
	enum bw_status status;
	uint32_t i;
	uint32_t j;

	member->probe.indirect_sent = true;
	for (i = 0; i < INDIRECT_PROBES_MAX; i++) {
		helper = member_pick_random_host(member, member->probe.target);
		if (!helper)
			return BW_OK;
		for (j = 0; j < i; j++) {
			if (!strcmp(helpers[j], helper->record.host.name))
				break;
		}
		if (j < i)
			continue;
		memcpy(helpers[i], helper->record.host.name, BW_NAME_MAX);
		status = member_send(member, out, helpers[i],
				     MEMBER_PING_REQUEST,
				     member->probe.sequence,
				     member->probe.target, false);
		if (status != BW_OK)
			return status;
	}
	return BW_OK;
}

/* Suspects the host that did not respond. The claim is sent to that host, too,
 * so that it can refute it. */
static enum bw_status suspect_probe_target_(struct bw_member *member,
					    struct bw_time now,
					    struct bw_outbox *out)
{
	struct bw_member_entry *entry =
		member_find(member, member->probe.target);
	struct bw_member_record claim;

	member->probe.target[0] = 0;
	if (!entry)
		return BW_OK;
	claim = entry->record;
	claim.state = BW_MEMBER_SUSPECT;
	if (!member_claim_wins(&claim, &entry->record))
		return BW_OK;
	member->stats.suspected_count++;
	member_merge(member, &claim, now);
	return member_send(member, out, claim.host.name, MEMBER_RECORDS, 0, "",
			   false);
}

/* Selects a random host that was not probed in this round. When all have been
 * probed, the next round starts with the second pass. */
static struct bw_member_entry *pick_probe_target_(struct bw_member *member)
{
	struct bw_member_entry *entry;
	struct bw_member_entry *chosen = NULL;
	uint32_t pass;
	uint32_t candidate_count = 0;
	uint32_t i;

	for (pass = 0; pass < 2 && !chosen; pass++) {
		for (i = 0; i < member->entry_count; i++) {
			entry = &member->entries[i];
			if (entry == member_self(member) ||
			    entry->probe_round > member->probe_round ||
			    !bw_member_state_is_up(entry->record.state))
				continue;
			if (!bw_random_below(&member->random,
					     ++candidate_count))
				chosen = entry;
		}
		if (!chosen)
			member->probe_round++;
	}
	if (chosen)
		chosen->probe_round = member->probe_round + 1;
	return chosen;
}

/* Selects failed hosts and absent seeds in rotation: if there are many, a
 * random choice can skip one for a long time. */
static const char *pick_rejoin_target_(struct bw_member *member)
{
	uint32_t total = member->entry_count + member->config.seed_count;
	const struct bw_member_entry *entry;
	uint32_t index;
	uint32_t i;

	for (i = 0; i < total; i++) {
		index = (member->rejoin_index + i) % total;
		if (index >= member->entry_count) {
			index -= member->entry_count;
			if (!is_absent_seed_(member, &member->seeds[index]))
				continue;
			member->rejoin_index += i + 1;
			return member->seeds[index].name;
		}
		entry = &member->entries[index];
		if (entry->record.state != BW_MEMBER_FAILED)
			continue;
		member->rejoin_index += i + 1;
		return entry->record.host.name;
	}
	return NULL;
}

/* A seed in state left may run again without a record of this host. */
static bool is_absent_seed_(const struct bw_member *member,
			    const struct bw_member_seed *seed)
{
	const struct bw_member_entry *entry = member_find(member, seed->name);

	return !strcmp(seed->domain, member->config.self.domain) &&
	       (!entry || !bw_member_state_is_up(entry->record.state));
}

enum bw_status member_gossip_urgent(struct bw_member *member,
				    struct bw_time now, struct bw_outbox *out)
{
	struct bw_member_entry *other;
	enum bw_status status = BW_OK;
	uint32_t i;

	if (!member->urgent_pending ||
	    !bw_time_reached(now, member->next_urgent_gossip))
		return BW_OK;
	member->urgent_pending = false;
	member->next_urgent_gossip = bw_time_add(now, URGENT_SPACING_MS);
	for (i = 0; i < URGENT_FANOUT && status == BW_OK; i++) {
		other = member_pick_random_host(member, "");
		if (!other)
			break;
		status = member_send(member, out, other->record.host.name,
				     MEMBER_RECORDS, 0, "", false);
	}
	return status;
}
