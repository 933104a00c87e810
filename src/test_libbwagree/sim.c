#include "sim.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <xxhash.h>

#include "private/command.h"
#include "private/replica.h"

#define OUTBOX_LIMIT 4096

/** Names of the hosts; at least SIM_HOSTS_MAX. */
static const char host_letters[] =
	"abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789";

static void report_violation_(struct sim *sim, const char *what, int host,
			      uint64_t index);
static void push_packet_(struct sim *sim, const struct sim_packet *packet);
static bool delivered_before_(const struct sim_packet *a,
			      const struct sim_packet *b);
static struct sim_packet pop_packet_(struct sim *sim);
static int host_index_(const struct sim *sim, const char *name);
static void send_packets_(struct sim *sim, int from, struct bw_outbox *out);
static void send_packet_(struct sim *sim, int from,
			 const struct bw_packet *packet);
static void deliver_(struct sim *sim);
static void handle_events_(struct sim *sim, int host);
static void check_applied_(struct sim *sim, int host,
			   const struct bw_replica_event *event);
static void apply_reference_(struct sim *sim, const uint8_t *data,
			     size_t size_bytes, struct bw_outcome *outcome);
static void apply_reference_submit_(struct sim *sim,
				    const struct bw_submit *submit,
				    struct bw_outcome *outcome);
static void record_answer_(struct sim *sim, int host,
			   const struct bw_replica_event *event);
static void check_state_(struct sim *sim, int host);
static void check_leases_(struct sim *sim);
static struct sim_submission *find_submission_(struct sim *sim, const char *id);
static bool same_outcome_(const struct bw_outcome *a,
			  const struct bw_outcome *b);

void sim_init(struct sim *sim, uint64_t seed, int host_count, int initial_count)
{
	struct bw_yaml_error error;
	int i;

	memset(sim, 0, sizeof(*sim));
	bw_random_init(&sim->random, seed);
	if (bw_replica_chart_load(&sim->chart, BW_REPLICA_CHART, &error) !=
	    BW_OK) {
		snprintf(sim->error, sizeof(sim->error), "chart: %.200s",
			 error.text);
		return;
	}
	sim->host_count = host_count;
	sim->now_ms = 1000;
	sim->delay_min_ms = 1;
	sim->delay_max_ms = 10;
	sim->applied = calloc(SIM_INDEX_MAX, sizeof(*sim->applied));
	sim->submissions =
		calloc(SIM_SUBMISSIONS_MAX, sizeof(*sim->submissions));
	sim->config.chart = &sim->chart;
	sim->config.initial_hosts = (const char(*)[BW_NAME_MAX])sim->names;
	sim->config.initial_count = (uint32_t)initial_count;
	sim->config.compact_bytes = 3000;
	sim->config.segment_bytes = 700;
	for (i = 0; i < host_count; i++) {
		snprintf(sim->names[i], BW_NAME_MAX, "%c", host_letters[i]);
		snprintf(sim->hosts[i].name, BW_NAME_MAX, "%c",
			 host_letters[i]);
		bw_storage_init_memory(&sim->hosts[i].storage);
	}
}

void sim_finish(struct sim *sim)
{
	int i;

	for (i = 0; i < sim->host_count; i++) {
		bw_replica_free(sim->hosts[i].replica);
		bw_storage_finish(&sim->hosts[i].storage);
	}
	while (sim->packet_count)
		free(pop_packet_(sim).data);
	free(sim->packets);
	free(sim->applied);
	free(sim->submissions);
}

void sim_start(struct sim *sim, int host)
{
	struct sim_host *h = &sim->hosts[host];
	struct bw_replica_config config = sim->config;
	struct bw_time now = { sim->now_ms };
	char error[BW_WAL_ERROR_BYTES];
	enum bw_status status;

	if (h->replica)
		return;
	memcpy(config.host, h->name, BW_NAME_MAX);
	config.storage = &h->storage;
	config.seed = bw_random_next(&sim->random) + ++sim->starts;
	status = bw_replica_new(&h->replica, &config, now, error);
	if (status == BW_ECORRUPT || status == BW_EINVAL)
		report_violation_(sim, error, host, 0);
	if (status != BW_OK) {
		/* A storage fault was injected during the start. */
		bw_storage_crash(&h->storage, NULL);
		return;
	}
	h->next_tick_ms = sim->now_ms +
			  (int64_t)bw_random_below(&sim->random, SIM_TICK_MS);
	h->applied_index = h->replica->state.applied_index;
	h->revision = h->replica->state.revision;
	check_state_(sim, host);
}

void sim_crash(struct sim *sim, int host, bool torn)
{
	struct sim_host *h = &sim->hosts[host];

	if (!h->replica)
		return;
	bw_replica_free(h->replica);
	h->replica = NULL;
	bw_storage_crash(&h->storage, torn ? &sim->random : NULL);
	sim->crashes++;
}

void sim_lose_disk(struct sim *sim, int host)
{
	sim_crash(sim, host, false);
	bw_storage_wipe(&sim->hosts[host].storage);
	sim->disks_lost++;
}

void sim_run(struct sim *sim, int64_t ms)
{
	int64_t end_ms = sim->now_ms + ms;
	struct bw_outbox out;
	int i;

	bw_outbox_init(&out, OUTBOX_LIMIT);
	while (sim->now_ms < end_ms && !sim->error[0]) {
		sim->now_ms++;
		deliver_(sim);
		for (i = 0; i < sim->host_count; i++) {
			struct sim_host *h = &sim->hosts[i];
			struct bw_time now = { sim->now_ms };

			if (!h->replica || sim->now_ms < h->next_tick_ms)
				continue;
			h->next_tick_ms += SIM_TICK_MS;
			bw_replica_tick(h->replica, now, &out);
			send_packets_(sim, i, &out);
			handle_events_(sim, i);
		}
		check_leases_(sim);
	}
	bw_outbox_finish(&out);
}

int sim_leader(const struct sim *sim)
{
	struct bw_time now = { sim->now_ms };
	int i;

	for (i = 0; i < sim->host_count; i++) {
		if (sim->hosts[i].replica &&
		    bw_replica_has_lease(sim->hosts[i].replica, now))
			return i;
	}
	return -1;
}

struct sim_submission *sim_submit(struct sim *sim, int host, const char *id,
				  uint64_t revision, uint8_t content)
{
	struct sim_submission *s = find_submission_(sim, id);
	struct bw_replica *replica = sim->hosts[host].replica;
	struct bw_time now = { sim->now_ms };
	struct bw_submit submit = { .accept_wall_ms = 1 };
	struct bw_buffer command;
	struct bw_outbox out;
	uint64_t index = 0;
	enum bw_status status;

	if (!s && sim->submission_count < SIM_SUBMISSIONS_MAX) {
		s = &sim->submissions[sim->submission_count++];
		snprintf(s->id, sizeof(s->id), "%s", id);
		s->revision = revision;
		memset(s->hash, content, BW_HASH_BYTES);
	}
	if (!replica || !s)
		return NULL;
	memcpy(submit.id, s->id, sizeof(submit.id));
	submit.revision = s->revision;
	memcpy(submit.hash, s->hash, BW_HASH_BYTES);
	submit.text = s->hash;
	submit.text_size_bytes = BW_HASH_BYTES;
	bw_buffer_init(&command);
	bw_command_submit(&command, &submit);
	status = bw_replica_propose(replica, command.data, command.size_bytes,
				    now, &index);
	bw_buffer_finish(&command);
	if (status != BW_OK)
		return NULL;
	s->host = host;
	s->index = index;
	s->term = bw_replica_term(replica);
	bw_outbox_init(&out, OUTBOX_LIMIT);
	bw_replica_flush(replica, now, &out);
	bw_replica_sync(replica, now, &out);
	send_packets_(sim, host, &out);
	bw_outbox_finish(&out);
	handle_events_(sim, host);
	return s;
}

int sim_missing_voters(const struct sim *sim, int voters_expected)
{
	int complete = 0;
	int i;

	for (i = 0; i < sim->host_count; i++) {
		const struct sim_host *h = &sim->hosts[i];
		struct bw_group group = sim->group;
		const struct bw_group_member *member =
			bw_group_find(&group, h->name);
		struct replica_meta meta;

		/* Reads the disk, as the host may be down. */
		if (replica_meta_load((struct bw_storage *)&h->storage,
				      &meta) != BW_OK)
			continue;
		complete += member && member->kind == BW_MEMBER_VOTER &&
			    member->disk_incarnation == meta.disk_incarnation;
	}
	return voters_expected - complete;
}

bool sim_converged(const struct sim *sim, int count)
{
	int i;

	if (sim_leader(sim) < 0 || sim_missing_voters(sim, count))
		return false;
	for (i = 0; i < sim->host_count; i++) {
		const struct bw_replica *replica = sim->hosts[i].replica;

		if (!replica || replica->role == BW_REPLICA_FAILED ||
		    replica->state.applied_index != sim->applied_max)
			return false;
	}
	return true;
}

void sim_check_end(struct sim *sim)
{
	struct bw_outcome outcome;
	uint32_t i;
	int h;

	for (h = 0; h < sim->host_count && !sim->error[0]; h++) {
		const struct bw_state *state =
			bw_replica_state(sim->hosts[h].replica);

		if (state->revision != sim->revision ||
		    memcmp(state->hash, sim->hash, BW_HASH_BYTES))
			report_violation_(
				sim,
				"accepted sheet differs from the reference", h,
				0);
		for (i = 0; i < sim->submission_count; i++) {
			struct sim_submission *s = &sim->submissions[i];

			if (!s->answered)
				continue;
			if (!bw_state_submission(state, s->id, &outcome) ||
			    !same_outcome_(&outcome, &s->answer))
				report_violation_(sim, "answer lost or changed",
						  h, s->index);
		}
	}
}

static void report_violation_(struct sim *sim, const char *what, int host,
			      uint64_t index)
{
	if (!sim->error[0])
		snprintf(sim->error, sizeof(sim->error),
			 "%.150s (host %s, index %llu, at %lld ms)", what,
			 sim->names[host], (unsigned long long)index,
			 (long long)sim->now_ms);
}

static bool delivered_before_(const struct sim_packet *a,
			      const struct sim_packet *b)
{
	return a->deliver_ms != b->deliver_ms ? a->deliver_ms < b->deliver_ms
					      : a->sequence < b->sequence;
}

static void push_packet_(struct sim *sim, const struct sim_packet *packet)
{
	uint32_t at = sim->packet_count;

	if (at == sim->packet_capacity) {
		sim->packet_capacity = at ? at * 2 : 256;
		sim->packets = realloc(sim->packets,
				       sim->packet_capacity * sizeof(*packet));
	}
	sim->packet_count++;
	while (at && delivered_before_(packet, &sim->packets[(at - 1) / 2])) {
		sim->packets[at] = sim->packets[(at - 1) / 2];
		at = (at - 1) / 2;
	}
	sim->packets[at] = *packet;
}

static struct sim_packet pop_packet_(struct sim *sim)
{
	struct sim_packet first = sim->packets[0];
	struct sim_packet last = sim->packets[--sim->packet_count];
	uint32_t at = 0;

	for (;;) {
		uint32_t child = 2 * at + 1;

		if (child + 1 < sim->packet_count &&
		    delivered_before_(&sim->packets[child + 1],
				      &sim->packets[child]))
			child++;
		if (child >= sim->packet_count ||
		    !delivered_before_(&sim->packets[child], &last))
			break;
		sim->packets[at] = sim->packets[child];
		at = child;
	}
	if (sim->packet_count)
		sim->packets[at] = last;
	return first;
}

static int host_index_(const struct sim *sim, const char *name)
{
	const char *at = strchr(host_letters, name[0]);
	int host = at && name[0] ? (int)(at - host_letters) : -1;

	return host < sim->host_count ? host : -1;
}

static void send_packets_(struct sim *sim, int from, struct bw_outbox *out)
{
	uint32_t i;

	for (i = 0; i < out->count; i++) {
		send_packet_(sim, from, &out->packets[i]);
		if (bw_random_below(&sim->random, 100) < sim->duplicate_percent)
			send_packet_(sim, from, &out->packets[i]);
	}
	bw_outbox_clear(out);
}

static void send_packet_(struct sim *sim, int from,
			 const struct bw_packet *packet)
{
	struct sim_packet copy = { .from = from, .sequence = sim->sequence++ };
	uint64_t spread = (uint64_t)(sim->delay_max_ms - sim->delay_min_ms + 1);

	copy.to = host_index_(sim, packet->peer);
	if (copy.to < 0 || sim->blocked[from][copy.to] ||
	    bw_random_below(&sim->random, 100) < sim->drop_percent)
		return;
	copy.deliver_ms = sim->now_ms + sim->delay_min_ms +
			  (int64_t)bw_random_below(&sim->random, spread);
	copy.size_bytes = packet->size_bytes;
	copy.data = malloc(packet->size_bytes);
	memcpy(copy.data, packet->data, packet->size_bytes);
	push_packet_(sim, &copy);
}

static void deliver_(struct sim *sim)
{
	struct bw_time now = { sim->now_ms };
	struct bw_outbox out;

	bw_outbox_init(&out, OUTBOX_LIMIT);
	while (sim->packet_count && sim->packets[0].deliver_ms <= sim->now_ms) {
		struct sim_packet packet = pop_packet_(sim);
		struct bw_replica *replica = sim->hosts[packet.to].replica;
		struct bw_packet received = {
			.channel = BW_CHANNEL_REPLICA,
			.data = packet.data,
			.size_bytes = packet.size_bytes,
		};
		enum bw_status status = BW_OK;

		bw_name_set(received.peer, sim->names[packet.from]);
		if (replica)
			status = bw_replica_receive(replica, &received, now,
						    &out);
		if (status != BW_OK && status != BW_EIO)
			report_violation_(sim, "valid packet rejected",
					  packet.to, 0);
		send_packets_(sim, packet.to, &out);
		if (replica)
			handle_events_(sim, packet.to);
		free(packet.data);
	}
	bw_outbox_finish(&out);
}

static void handle_events_(struct sim *sim, int host)
{
	struct sim_host *h = &sim->hosts[host];
	struct bw_replica_event event;
	bool changed = false;

	while (bw_replica_next_event(h->replica, &event)) {
		changed = true;
		switch (event.kind) {
		case BW_REPLICA_APPLIED:
			check_applied_(sim, host, &event);
			record_answer_(sim, host, &event);
			break;
		case BW_REPLICA_LEADER_CHANGED:
			sim->leader_changes += event.leader[0] != '\0';
			break;
		case BW_REPLICA_SNAPSHOT_INSTALLED:
			sim->snapshots_installed++;
			if (event.index <= h->applied_index)
				report_violation_(
					sim,
					"installed snapshot is older than the state",
					host, event.index);
			h->applied_index = event.index;
			break;
		case BW_REPLICA_STORAGE_FAILED:
			sim->storage_failures++;
			break;
		case BW_REPLICA_STORAGE_REOPENED:
			sim->storage_reopened++;
			h->applied_index = h->replica->state.applied_index;
			h->revision = h->replica->state.revision;
			break;
		case BW_REPLICA_MEMBER_CHANGED:
			h->group_changes++;
			break;
		case BW_REPLICA_EVENT_KIND_COUNT:
			break;
		}
	}
	if (changed)
		check_state_(sim, host);
}

/* Each index has one command, with the same outcome as the reference. */
static void check_applied_(struct sim *sim, int host,
			   const struct bw_replica_event *event)
{
	struct sim_host *h = &sim->hosts[host];
	struct sim_applied *applied = &sim->applied[event->index];
	const struct bw_wal_entry *entry =
		bw_wal_entry(&h->replica->wal, event->index);
	uint64_t hash;

	if (event->index >= SIM_INDEX_MAX) {
		report_violation_(sim, "log index exceeds SIM_INDEX_MAX", host,
				  event->index);
		return;
	}
	if (event->index != h->applied_index + 1)
		report_violation_(sim, "applied out of order", host,
				  event->index);
	h->applied_index = event->index;
	/* The entry is gone if its segment was compacted in the same call. */
	hash = entry ? XXH3_64bits(entry->data, entry->size_bytes) : 0;
	if (event->index > sim->applied_max) {
		if (event->index != sim->applied_max + 1 || !entry) {
			report_violation_(
				sim, "first application of an index was missed",
				host, event->index);
			return;
		}
		sim->applied_max = event->index;
		applied->term = event->term;
		applied->command_hash = hash;
		apply_reference_(sim, entry->data, entry->size_bytes,
				 &applied->outcome);
	}
	if (applied->term != event->term ||
	    (hash && hash != applied->command_hash))
		report_violation_(sim, "log index has two different commands",
				  host, event->index);
	if (!same_outcome_(&applied->outcome, &event->outcome))
		report_violation_(sim, "outcome differs from the reference",
				  host, event->index);
}

/* Applies a command to the reference model. */
static void apply_reference_(struct sim *sim, const uint8_t *data,
			     size_t size_bytes, struct bw_outcome *outcome)
{
	struct bw_submit submit;
	struct bw_reader reader;

	memset(outcome, 0, sizeof(*outcome));
	bw_reader_init(&reader, data, size_bytes);
	switch (command_read_header(&reader)) {
	case BW_COMMAND_SUBMIT:
		if (command_read_submit(&reader, &submit))
			apply_reference_submit_(sim, &submit, outcome);
		break;
	case BW_COMMAND_GROUP:
		command_read_group(&reader, &sim->group);
		outcome->kind = BW_OUTCOME_GROUP_CHANGED;
		break;
	default:
		break;
	}
	bw_reader_finish(&reader);
}

static void apply_reference_submit_(struct sim *sim,
				    const struct bw_submit *submit,
				    struct bw_outcome *outcome)
{
	struct sim_submission *s = find_submission_(sim, submit->id);

	if (s->reference_decided) {
		*outcome = s->reference_outcome;
		return;
	}
	outcome->kind = BW_OUTCOME_CONFLICT;
	if (submit->revision > sim->revision) {
		outcome->kind = BW_OUTCOME_ACCEPTED;
		sim->revision = submit->revision;
		memcpy(sim->hash, submit->hash, BW_HASH_BYTES);
		sim->accepted_count++;
	} else if (submit->revision == sim->revision &&
		   !memcmp(submit->hash, sim->hash, BW_HASH_BYTES)) {
		outcome->kind = BW_OUTCOME_ALREADY_ACCEPTED;
	}
	outcome->revision = sim->revision;
	memcpy(outcome->hash, sim->hash, BW_HASH_BYTES);
	s->reference_decided = true;
	s->reference_outcome = *outcome;
}

/* Records the answer to the sender; a later one must be equal. */
static void record_answer_(struct sim *sim, int host,
			   const struct bw_replica_event *event)
{
	struct sim_submission *s;

	if (event->command != BW_COMMAND_SUBMIT)
		return;
	s = find_submission_(sim, event->outcome.submission);
	if (!s || s->host != host || s->index != event->index ||
	    s->term != event->term)
		return;
	if (s->answered) {
		sim->repeated_answers++;
		if (!same_outcome_(&s->answer, &event->outcome))
			report_violation_(sim, "answer changed on resend", host,
					  event->index);
	}
	s->answered = true;
	s->answer = event->outcome;
	if (event->outcome.kind == BW_OUTCOME_ACCEPTED &&
	    event->outcome.revision > sim->answered_revision)
		sim->answered_revision = event->outcome.revision;
}

/* At each index all hosts have equal states; no revision decreases. */
static void check_state_(struct sim *sim, int host)
{
	struct sim_host *h = &sim->hosts[host];
	const struct bw_state *state = bw_replica_state(h->replica);
	struct bw_buffer bytes;
	uint64_t hash;

	if (state->revision < h->revision)
		report_violation_(sim, "revision decreased", host,
				  state->applied_index);
	h->revision = state->revision;
	if (!state->applied_index || state->applied_index >= SIM_INDEX_MAX ||
	    h->replica->role == BW_REPLICA_FAILED)
		return;
	bw_buffer_init(&bytes);
	bw_state_save(state, &bytes);
	hash = XXH3_64bits(bytes.data, bytes.size_bytes);
	bw_buffer_finish(&bytes);
	if (sim->applied[state->applied_index].state_hash &&
	    sim->applied[state->applied_index].state_hash != hash)
		report_violation_(sim, "states differ at one log index", host,
				  state->applied_index);
	sim->applied[state->applied_index].state_hash = hash;
}

/* At most one lease, whose holder has every acknowledged revision. */
static void check_leases_(struct sim *sim)
{
	struct bw_time now = { sim->now_ms };
	int holder = -1;
	int i;

	for (i = 0; i < sim->host_count; i++) {
		const struct bw_replica *replica = sim->hosts[i].replica;

		if (!replica || !bw_replica_has_lease(replica, now))
			continue;
		sim->lease_checks++;
		if (holder >= 0)
			report_violation_(sim, "two leases overlap", i, 0);
		holder = i;
		if (replica->state.revision < sim->answered_revision)
			report_violation_(
				sim,
				"lease holder lacks an acknowledged revision",
				i, replica->state.applied_index);
	}
}

static struct sim_submission *find_submission_(struct sim *sim, const char *id)
{
	uint32_t i;

	for (i = 0; i < sim->submission_count; i++) {
		if (!strcmp(sim->submissions[i].id, id))
			return &sim->submissions[i];
	}
	return NULL;
}

static bool same_outcome_(const struct bw_outcome *a,
			  const struct bw_outcome *b)
{
	return a->kind == b->kind && a->revision == b->revision &&
	       !memcmp(a->hash, b->hash, BW_HASH_BYTES);
}
