#include "private/member.h"

#include <string.h>

/** Process age below which a later start claimed for this host is attributed
 * to a wall clock that was set back, not to a newer process. */
#define CLOCK_STEP_AGE_MS 60000

static void merge_self_(struct bw_member *member,
			const struct bw_member_record *claim,
			struct bw_time now);
static void merge_new_(struct bw_member *member,
		       const struct bw_member_record *claim,
		       struct bw_time now);
static int compare_start_(const struct bw_member_host *a,
			  const struct bw_member_host *b);
static uint32_t state_rank_(enum bw_member_state state);
static void apply_claim_(struct bw_member *member,
			 struct bw_member_entry *entry,
			 const struct bw_member_record *claim,
			 struct bw_time now);
static void raise_document_numbers_(struct bw_member *member,
				    struct bw_member_entry *entry,
				    uint64_t revision, uint64_t plan);

void member_merge(struct bw_member *member,
		  const struct bw_member_record *claim, struct bw_time now)
{
	struct bw_member_entry *entry;

	if (!strcmp(claim->host.name, member->config.self.name)) {
		merge_self_(member, claim, now);
		return;
	}
	entry = member_find(member, claim->host.name);
	if (!entry) {
		merge_new_(member, claim, now);
		return;
	}
	if (member_claim_wins(claim, &entry->record)) {
		apply_claim_(member, entry, claim, now);
		return;
	}
	if (compare_start_(&claim->host, &entry->record.host) < 0 ||
	    claim->host.version < entry->record.host.version)
		member->stats.stale_count++;
	if (!compare_start_(&claim->host, &entry->record.host))
		raise_document_numbers_(member, entry, claim->host.revision,
					claim->host.plan);
}

void member_merge_document_numbers(
	struct bw_member *member, const struct member_document_numbers *numbers)
{
	struct bw_member_entry *entry = member_find(member, numbers->name);

	if (!entry || entry == member_self(member) ||
	    entry->record.host.incarnation != numbers->incarnation)
		return;
	raise_document_numbers_(member, entry, numbers->revision,
				numbers->plan);
}

bool member_claim_wins(const struct bw_member_record *claim,
		       const struct bw_member_record *known)
{
	int order = compare_start_(&claim->host, &known->host);

	if (order)
		return order > 0;
	if (known->state == BW_MEMBER_LEFT)
		return false;
	if (claim->host.version != known->host.version)
		return claim->host.version > known->host.version;
	return state_rank_(claim->state) > state_rank_(known->state);
}

void member_change_state(struct bw_member *member,
			 struct bw_member_entry *entry,
			 enum member_chart_event event, bool restarted,
			 struct bw_time now)
{
	struct bw_member_record *record = &entry->record;
	enum bw_member_state old_state = record->state;
	struct bw_chart_step step;

	entry->record_sends_left = member_gossip_limit(member);
	if (bw_chart_next(&member->chart, (uint8_t)old_state, (uint8_t)event,
			  &step) != BW_OK)
		return;
	record->state = (enum bw_member_state)step.state;
	if (record->state != old_state && (record->state == BW_MEMBER_SUSPECT ||
					   record->state == BW_MEMBER_FAILED))
		member->urgent_pending = true;
	if (record->state != old_state || restarted) {
		record->since = now;
		entry->suspect_until =
			bw_time_add(now, member->config.suspicion_ms);
	}
	if (restarted && bw_member_state_is_up(record->state))
		step.action = BW_MEMBER_EVENT_JOINED;
	if (step.action != BW_CHART_NO_ACTION)
		member_push_event(
			member, (enum bw_member_event_kind)step.action, record);
}

/* Refutes a suspect, failed or left claim about this host with a higher
 * version. */
static void merge_self_(struct bw_member *member,
			const struct bw_member_record *claim,
			struct bw_time now)
{
	struct bw_member_entry *self = member_self(member);
	struct bw_member_host *host = &self->record.host;
	int order = compare_start_(&claim->host, host);

	if (order < 0 || member->superseded)
		return;
	if (order > 0 &&
	    bw_time_diff_ms(now, member->started) >= CLOCK_STEP_AGE_MS) {
		member->superseded = true;
		member_push_event(member, BW_MEMBER_EVENT_SUPERSEDED, claim);
		return;
	}
	if (order > 0)
		host->start_wall_ms = claim->host.start_wall_ms + 1;
	else if (claim->host.version < host->version ||
		 !state_rank_(claim->state))
		return;
	if (claim->host.version >= host->version)
		host->version = claim->host.version + 1;
	self->record_sends_left = member_gossip_limit(member);
	member->stats.refuted_count++;
}

/* Drops failed and left claims about unknown hosts; otherwise expired
 * tombstones would circulate forever. */
static void merge_new_(struct bw_member *member,
		       const struct bw_member_record *claim, struct bw_time now)
{
	struct bw_member_entry *entry;

	if (!bw_member_state_is_up(claim->state))
		return;
	entry = member_insert(member, claim->host.name);
	if (!entry)
		return;
	entry->record = *claim;
	entry->record.since = now;
	entry->suspect_until = bw_time_add(now, member->config.suspicion_ms);
	entry->record_sends_left = member_gossip_limit(member);
	member_push_event(member, BW_MEMBER_EVENT_JOINED, &entry->record);
}

/* Orders by start time, then by the random incarnation. */
static int compare_start_(const struct bw_member_host *a,
			  const struct bw_member_host *b)
{
	if (a->start_wall_ms != b->start_wall_ms)
		return a->start_wall_ms < b->start_wall_ms ? -1 : 1;
	if (a->incarnation != b->incarnation)
		return a->incarnation < b->incarnation ? -1 : 1;
	return 0;
}

/* Of two claims with the same version, the higher rank (later state) wins. */
static uint32_t state_rank_(enum bw_member_state state)
{
	switch (state) {
	case BW_MEMBER_SUSPECT:
		return 1;
	case BW_MEMBER_FAILED:
		return 2;
	case BW_MEMBER_LEFT:
		return 3;
	default:
		return 0;
	}
}

static void apply_claim_(struct bw_member *member,
			 struct bw_member_entry *entry,
			 const struct bw_member_record *claim,
			 struct bw_time now)
{
	static const enum member_chart_event event_of[BW_MEMBER_STATE_COUNT] = {
		[BW_MEMBER_ALIVE] = CLAIM_ALIVE,
		[BW_MEMBER_SUSPECT] = CLAIM_SUSPECT,
		[BW_MEMBER_LEAVING] = CLAIM_LEAVING,
		[BW_MEMBER_FAILED] = CLAIM_FAILED,
		[BW_MEMBER_LEFT] = CLAIM_LEFT,
	};
	struct bw_member_host old_host = entry->record.host;
	bool restarted = old_host.incarnation != claim->host.incarnation;

	entry->record.host = claim->host;
	if (!restarted && old_host.revision > claim->host.revision)
		entry->record.host.revision = old_host.revision;
	if (!restarted && old_host.plan > claim->host.plan)
		entry->record.host.plan = old_host.plan;
	member_change_state(member, entry, event_of[claim->state], restarted,
			    now);
}

static void raise_document_numbers_(struct bw_member *member,
				    struct bw_member_entry *entry,
				    uint64_t revision, uint64_t plan)
{
	struct bw_member_host *host = &entry->record.host;

	if (revision <= host->revision && plan <= host->plan)
		return;
	if (revision > host->revision)
		host->revision = revision;
	if (plan > host->plan)
		host->plan = plan;
	entry->numbers_sends_left = member_bit_count(member->entry_count);
}
