/*
 * The control group: which control hosts are members, which of them vote, and
 * whether most voters confirm the state of this host.
 */
#include <string.h>

#include "bwagree/voters.h"
#include "gate_control_private.h"

/** Interval at which members are admitted, changed and removed. */
#define MEMBER_CHECK_MS 200

/**
 * Time after which a silent voter is replaced by a learner. Longer than a
 * restart, so that a restarted host keeps its vote.
 */
#define REPLACE_AFTER_MS 4000

/** Time after which a silent learner is removed. */
#define REMOVE_AFTER_MS 60000

/**
 * Age at which the status of a voter no longer confirms a version: two
 * intervals of hello messages, and the time of a slow host and path to answer.
 */
#define CONFIRMATION_MAX_AGE_MS 1500

static bool lead_group_(struct gate_control *control,
			const struct bw_replica_member *members, uint32_t count,
			struct bw_time now);
static void note_voters_(struct gate_control *control,
			 const struct bw_replica_member *members,
			 uint32_t count);
static void update_silent_since_(struct gate_control *control,
				 const struct bw_replica_member *member,
				 struct bw_time now);
static int64_t silent_ms_(const struct gate_control *control, const char *host,
			  struct bw_time now);
static bool change_voters_(struct gate_control *control,
			   const struct bw_replica_member *members,
			   uint32_t count, struct bw_time now);
static void describe_member_(struct gate_control *control,
			     const struct bw_replica_member *member,
			     struct bw_time now, struct bw_voter *voter);
static bool remove_silent_learner_(struct gate_control *control,
				   const struct bw_replica_member *members,
				   uint32_t count, struct bw_time now);
static void log_full_(struct gate_control *control, uint32_t count);

void gate_control_check_group(struct gate_control *control, struct bw_time now)
{
	struct bw_replica_member members[BW_GROUP_MAX];
	uint32_t count;
	uint32_t i;

	if (!bw_time_reached(now, control->next_member_check))
		return;
	control->next_member_check = bw_time_add(now, MEMBER_CHECK_MS);
	count = bw_replica_members(control->replica, now, members);
	/*
	 * After a restart of all processes a host knows only the seeds. The
	 * other members must reach each other to elect a leader.
	 */
	for (i = 0; i < count; i++)
		gate_node_add_control(control->node, members[i].member.host,
				      false, now);
	note_voters_(control, members, count);
	if (bw_replica_role(control->replica) != BW_REPLICA_LEADER) {
		g_hash_table_remove_all(control->silent_since);
		return;
	}
	/* The next change is due as soon as this one is committed. */
	if (lead_group_(control, members, count, now)) {
		control->dirty = true;
		control->next_member_check = now;
	}
}

struct bw_confirmation gate_control_confirm(const struct gate_control *control,
					    struct bw_time now)
{
	const struct gate_node *node = control->node;
	const struct bw_state *state = bw_replica_state(control->replica);
	struct bw_announcement announcements[GATE_CONTROLS_MAX + 1];
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		if (node->controls[i].voter)
			announcements[count++] = node->controls[i].announcement;
	}
	if (control->votes) {
		announcements[count++] = (struct bw_announcement){
			.version = state->revision,
			.current = control->current,
			.as_of = now,
		};
	}
	return bw_confirm(announcements, count, state->revision,
			  CONFIRMATION_MAX_AGE_MS, now);
}

uint32_t gate_control_quorum(const struct gate_control *control)
{
	uint32_t count = control->voter_count;

	if (!count)
		count = control->node->settings.seed_count;
	return count / 2 + 1;
}

bool gate_control_in_majority(const struct gate_control *control,
			      struct bw_time now)
{
	const struct gate_node *node = control->node;
	uint32_t alive = control->votes || !control->voter_count;
	uint32_t i;

	for (i = 0; i < node->control_count; i++) {
		const struct gate_peer *peer = &node->controls[i];

		alive += gate_control_counts(control, peer) &&
			 gate_peer_is_alive(peer, now);
	}
	return alive >= gate_control_quorum(control);
}

bool gate_control_counts(const struct gate_control *control,
			 const struct gate_peer *peer)
{
	return control->voter_count ? peer->voter : peer->seed;
}

/* @return whether a change was proposed */
static bool lead_group_(struct gate_control *control,
			const struct bw_replica_member *members, uint32_t count,
			struct bw_time now)
{
	enum bw_status status;
	uint32_t admitted;
	uint32_t i;

	for (i = 0; i < count; i++)
		update_silent_since_(control, &members[i], now);
	status = bw_replica_admit(control->replica, &admitted, now);
	if (status == BW_OK) {
		bw_log_event(control->node->log, BW_LOG_INFO, "replica",
			     "hosts_admitted", "{s:i,s:i}", "hosts",
			     (int)admitted, "members", (int)(count + admitted));
		return true;
	}
	if (status == BW_EFULL)
		log_full_(control, count);
	else if (status != BW_ENOTFOUND)
		return false;
	return change_voters_(control, members, count, now) ||
	       remove_silent_learner_(control, members, count, now);
}

static void note_voters_(struct gate_control *control,
			 const struct bw_replica_member *members,
			 uint32_t count)
{
	struct gate_node *node = control->node;
	uint32_t i;

	for (i = 0; i < node->control_count; i++)
		node->controls[i].voter = false;
	control->votes = false;
	control->voter_count = 0;
	for (i = 0; i < count; i++) {
		const char *host = members[i].member.host;
		struct gate_peer *peer = gate_node_control(node, host);

		if (members[i].member.kind != BW_MEMBER_VOTER)
			continue;
		control->voter_count++;
		if (peer)
			peer->voter = true;
		else if (!strcmp(host, node->name))
			control->votes = true;
	}
}

static void update_silent_since_(struct gate_control *control,
				 const struct bw_replica_member *member,
				 struct bw_time now)
{
	int64_t *since =
		g_hash_table_lookup(control->silent_since, member->member.host);

	if (member->caught_up) {
		g_hash_table_remove(control->silent_since, member->member.host);
	} else if (!since) {
		since = g_new(int64_t, 1);
		*since = now.ms;
		g_hash_table_insert(control->silent_since,
				    g_strdup(member->member.host), since);
	}
}

static int64_t silent_ms_(const struct gate_control *control, const char *host,
			  struct bw_time now)
{
	const int64_t *since = g_hash_table_lookup(control->silent_since, host);

	return since ? now.ms - *since : 0;
}

static bool change_voters_(struct gate_control *control,
			   const struct bw_replica_member *members,
			   uint32_t count, struct bw_time now)
{
	const struct gate_settings *settings = &control->node->settings;
	struct bw_voter voters[BW_GROUP_MAX];
	struct bw_voter_change change;
	const struct bw_voter *changed;
	uint32_t target =
		bw_voters_target(settings->domain_count, settings->losses_max);
	uint32_t i;

	for (i = 0; i < count; i++)
		describe_member_(control, &members[i], now, &voters[i]);
	change = bw_voters_next(voters, count, target);
	changed = &voters[change.index];
	if (change.step == BW_VOTER_KEEP ||
	    bw_replica_set_voter(control->replica, changed->host,
				 change.step == BW_VOTER_PROMOTE, now) != BW_OK)
		return false;
	bw_log_event(control->node->log, BW_LOG_INFO, "replica",
		     change.step == BW_VOTER_PROMOTE ? "voter_promoted"
						     : "voter_demoted",
		     "{s:s,s:s,s:I,s:i,s:i}", "peer", changed->host, "domain",
		     changed->domain, "silent_ms",
		     (json_int_t)silent_ms_(control, changed->host, now),
		     "voters", (int)control->voter_count, "target",
		     (int)target);
	return true;
}

/* A learner is promoted only while it responds. */
static void describe_member_(struct gate_control *control,
			     const struct bw_replica_member *member,
			     struct bw_time now, struct bw_voter *voter)
{
	const struct gate_node *node = control->node;
	const char *host = member->member.host;
	const struct gate_peer *peer = gate_node_control(control->node, host);

	memset(voter, 0, sizeof(*voter));
	bw_name_set(voter->host, host);
	voter->leader = !strcmp(host, node->name);
	if (voter->leader)
		bw_name_set(voter->domain, node->settings.domain);
	else if (peer)
		bw_name_set(voter->domain, peer->domain);
	bw_name_set(voter->region, gate_node_region(node, voter->domain));
	voter->votes = member->member.kind == BW_MEMBER_VOTER ||
		       member->member.promote;
	voter->live = member->caught_up;
	if (voter->votes)
		voter->live = silent_ms_(control, host, now) < REPLACE_AFTER_MS;
}

static bool remove_silent_learner_(struct gate_control *control,
				   const struct bw_replica_member *members,
				   uint32_t count, struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		const struct bw_group_member *member = &members[i].member;
		int64_t silent_ms = silent_ms_(control, member->host, now);

		if (member->kind == BW_MEMBER_VOTER || member->promote ||
		    silent_ms <= REMOVE_AFTER_MS ||
		    bw_replica_remove(control->replica, member->host, now) !=
			    BW_OK)
			continue;
		bw_log_event(control->node->log, BW_LOG_WARNING, "replica",
			     "host_removed", "{s:s,s:i,s:I}", "peer",
			     member->host, "members", (int)count, "silent_ms",
			     (json_int_t)silent_ms);
		return true;
	}
	return false;
}

static void log_full_(struct gate_control *control, uint32_t count)
{
	if (!control->group_full)
		bw_log_event(control->node->log, BW_LOG_ERROR, "replica",
			     "group_full", "{s:i}", "members", (int)count);
	control->group_full = true;
}
