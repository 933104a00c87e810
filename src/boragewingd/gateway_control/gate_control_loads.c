/*
 * Loads of backend servers that entry hosts report. A control host sends them
 * to the hosts that use servers of their failure domain: to control hosts and
 * to its entry hosts. Loads of other regions follow less often. A limit or a
 * leave that a server has named is sent to all.
 */
#include <string.h>

#include "gate_control_private.h"

/**
 * Interval at which loads are sent. Shorter than the time that a request takes.
 */
#define LOADS_INTERVAL_MS 250

/**
 * Backend servers for which loads of other regions are sent in each interval.
 * With more of them each load is sent less often, so that the bytes per second
 * to one host are bounded.
 */
#define SERVERS_PER_ROUND 400

/** Index of the failure domain of an unknown server. */
#define DOMAIN_UNKNOWN 64

/** A load that is still to be sent. */
struct pending_load {
	struct gate_load load;
	uint32_t domain; /**< index of its failure domain, or DOMAIN_UNKNOWN */
	bool far; /**< in another region */
	bool to_controls; /**< an entry host reported it to this host */
};

static void set_place_(const struct gate_control *control,
		       struct pending_load *pending);
static bool is_used_(const struct pending_load *pending, uint64_t used);
static void send_pending_(struct gate_control *control, const char *peer,
			  uint64_t used, bool to_control, bool far);
static void flush_loads_(struct gate_control *control, const char *peer,
			 struct gate_loads *batch);
static void remove_sent_(struct gate_control *control, bool far);

void gate_control_loads_init(struct gate_control *control)
{
	control->loads = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
}

void gate_control_loads_finish(struct gate_control *control)
{
	g_hash_table_destroy(control->loads);
}

void gate_control_store_loads(struct gate_control *control,
			      const struct gate_load *loads, uint32_t count,
			      bool from_entry)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		struct pending_load *pending =
			g_hash_table_lookup(control->loads, &loads[i].id_hash);
		struct gate_load earlier;

		if (!pending) {
			pending = g_new0(struct pending_load, 1);
			pending->load = loads[i];
			g_hash_table_insert(control->loads,
					    &pending->load.id_hash, pending);
			set_place_(control, pending);
		}
		earlier = pending->load;
		pending->load = loads[i];
		pending->to_controls = pending->to_controls || from_entry;
		/* A host that does not know of the leave does not end it. */
		if (earlier.leaving && !loads[i].leaving) {
			pending->load.leaving = true;
			pending->load.started_wall_ms = earlier.started_wall_ms;
		}
	}
}

void gate_control_send_loads(struct gate_control *control, struct bw_time now)
{
	struct gate_node *node = control->node;
	uint32_t rounds = 1 + g_hash_table_size(node->registry.servers) /
				      SERVERS_PER_ROUND;
	bool far_due;
	GHashTableIter iter;
	gpointer value;
	uint32_t i;

	if (!bw_time_reached(now, control->next_loads))
		return;
	control->next_loads = bw_time_add(now, LOADS_INTERVAL_MS);
	control->loads_round++;
	if (!g_hash_table_size(control->loads))
		return;
	far_due = control->loads_round % rounds == 0;
	for (i = 0; i < node->control_count; i++)
		send_pending_(control, node->controls[i].name,
			      node->controls[i].used_domains, true, far_due);
	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (entry->detail == GATE_DETAIL_FULL)
			send_pending_(control, entry->name, entry->used_domains,
				      false, far_due);
	}
	remove_sent_(control, far_due);
}

uint64_t gate_control_used_domains(const struct gate_control *control,
				   const struct gate_domain_list *list)
{
	uint64_t used = 0;
	uint32_t i;

	if (!list->known)
		return UINT64_MAX;
	for (i = 0; i < list->count; i++) {
		uint32_t domain =
			gate_node_domain_index(control->node, list->domains[i]);

		if (domain < control->node->settings.domain_count)
			used |= 1ULL << domain;
	}
	return used;
}

void gate_control_list_used_domains(const struct gate_control *control,
				    struct gate_domain_list *list)
{
	const struct gate_settings *settings = &control->node->settings;
	uint64_t used = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->entries);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct gate_entry_host *entry = value;

		if (entry->detail == GATE_DETAIL_FULL)
			used |= entry->used_domains;
	}
	gate_domain_list_set(list, settings, used);
}

static void set_place_(const struct gate_control *control,
		       struct pending_load *pending)
{
	const struct gate_node *node = control->node;
	const struct bw_server *server = g_hash_table_lookup(
		node->registry.by_hash, &pending->load.id_hash);

	pending->domain = DOMAIN_UNKNOWN;
	if (!server)
		return;
	pending->domain =
		MIN(gate_node_domain_index(node, server->record.domain),
		    (uint32_t)DOMAIN_UNKNOWN);
	pending->far = strcmp(gate_node_region(node, server->record.domain),
			      node->settings.region) != 0;
}

static bool is_used_(const struct pending_load *pending, uint64_t used)
{
	return pending->domain >= DOMAIN_UNKNOWN || pending->load.leaving ||
	       pending->load.limit_millirequests_per_s ||
	       (used & (1ULL << pending->domain));
}

static void send_pending_(struct gate_control *control, const char *peer,
			  uint64_t used, bool to_control, bool far)
{
	static struct gate_loads batch;
	GHashTableIter iter;
	gpointer value;

	batch.count = 0;
	g_hash_table_iter_init(&iter, control->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct pending_load *pending = value;

		if ((to_control && !pending->to_controls) ||
		    (pending->far && !far) || !is_used_(pending, used))
			continue;
		batch.loads[batch.count++] = pending->load;
		if (batch.count == GATE_LOADS_MAX)
			flush_loads_(control, peer, &batch);
	}
	if (batch.count)
		flush_loads_(control, peer, &batch);
}

static void flush_loads_(struct gate_control *control, const char *peer,
			 struct gate_loads *batch)
{
	gate_loads_write(gate_node_frame(control->node), batch);
	gate_node_send(control->node, peer);
	batch->count = 0;
}

static void remove_sent_(struct gate_control *control, bool far)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, control->loads);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct pending_load *pending = value;

		if (far || !pending->far)
			g_hash_table_iter_remove(&iter);
	}
}
