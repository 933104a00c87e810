#include "bwmember/roster.h"

#include <string.h>

/** A host, and when it was heard of. */
struct entry {
	struct bw_roster_host host; /**< first, so that sorted can point here */
	struct bw_time reported_at; /**< by itself; 0 ms: never */
	struct bw_time listed_at; /**< by a control host; 0 ms: never */
};

static enum bw_roster_outcome update_(struct bw_roster *roster,
				      const struct bw_roster_host *host,
				      struct entry **updated);
static bool is_recent_(struct bw_time at, int64_t age_max_ms,
		       struct bw_time now);
static gint compare_names_(gconstpointer a, gconstpointer b);

void bw_roster_init(struct bw_roster *roster)
{
	roster->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	roster->sorted = g_ptr_array_new();
	roster->sorted_due = false;
}

void bw_roster_finish(struct bw_roster *roster)
{
	if (!roster->hosts)
		return;
	g_ptr_array_free(roster->sorted, TRUE);
	g_hash_table_destroy(roster->hosts);
	roster->hosts = NULL;
}

enum bw_roster_outcome bw_roster_report(struct bw_roster *roster,
					const struct bw_roster_host *host,
					struct bw_time now)
{
	struct entry *entry;
	enum bw_roster_outcome outcome = update_(roster, host, &entry);

	entry->reported_at = now;
	return outcome;
}

enum bw_roster_outcome bw_roster_list(struct bw_roster *roster,
				      const struct bw_roster_host *host,
				      struct bw_time now)
{
	struct entry *entry = g_hash_table_lookup(roster->hosts, host->name);
	enum bw_roster_outcome outcome = BW_ROSTER_UNCHANGED;

	if (!entry ||
	    !is_recent_(entry->reported_at, BW_ROSTER_REPORT_MAX_MS, now))
		outcome = update_(roster, host, &entry);
	entry->listed_at = now;
	return outcome;
}

bool bw_roster_expire(struct bw_roster *roster, struct bw_time now,
		      struct bw_roster_host *host, int64_t *silent_ms)
{
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, roster->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct entry *entry = value;

		if (is_recent_(entry->reported_at, BW_ROSTER_REPORT_MAX_MS,
			       now) ||
		    is_recent_(entry->listed_at, BW_ROSTER_LIST_MAX_MS, now))
			continue;
		*host = entry->host;
		*silent_ms = now.ms -
			     MAX(entry->reported_at.ms, entry->listed_at.ms);
		g_hash_table_iter_remove(&iter);
		roster->sorted_due = true;
		return true;
	}
	return false;
}

const GPtrArray *bw_roster_sorted(struct bw_roster *roster)
{
	GHashTableIter iter;
	gpointer value;

	if (!roster->sorted_due)
		return roster->sorted;
	roster->sorted_due = false;
	g_ptr_array_set_size(roster->sorted, 0);
	g_hash_table_iter_init(&iter, roster->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value))
		g_ptr_array_add(roster->sorted, value);
	g_ptr_array_sort(roster->sorted, compare_names_);
	return roster->sorted;
}

uint32_t bw_roster_index(struct bw_roster *roster, const char *name)
{
	const GPtrArray *sorted = bw_roster_sorted(roster);
	uint32_t low = 0;
	uint32_t high = sorted->len;

	while (low < high) {
		uint32_t middle = low + (high - low) / 2;
		const struct bw_roster_host *host = sorted->pdata[middle];

		if (strcmp(host->name, name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

uint32_t bw_roster_count_in(struct bw_roster *roster, const char *domain)
{
	const GPtrArray *sorted = bw_roster_sorted(roster);
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < sorted->len; i++) {
		const struct bw_roster_host *host = sorted->pdata[i];

		count += !strcmp(host->domain, domain);
	}
	return count;
}

static enum bw_roster_outcome update_(struct bw_roster *roster,
				      const struct bw_roster_host *host,
				      struct entry **updated)
{
	struct entry *entry = g_hash_table_lookup(roster->hosts, host->name);

	*updated = entry;
	if (!entry) {
		entry = g_new0(struct entry, 1);
		entry->host = *host;
		g_hash_table_insert(roster->hosts, entry->host.name, entry);
		roster->sorted_due = true;
		*updated = entry;
		return BW_ROSTER_ADDED;
	}
	if (entry->host.state == host->state &&
	    !strcmp(entry->host.domain, host->domain) &&
	    !strcmp(entry->host.region, host->region))
		return BW_ROSTER_UNCHANGED;
	entry->host = *host;
	return BW_ROSTER_CHANGED;
}

static bool is_recent_(struct bw_time at, int64_t age_max_ms,
		       struct bw_time now)
{
	return at.ms && bw_time_diff_ms(now, at) <= age_max_ms;
}

static gint compare_names_(gconstpointer a, gconstpointer b)
{
	const struct bw_roster_host *left =
		*(const struct bw_roster_host *const *)a;
	const struct bw_roster_host *right =
		*(const struct bw_roster_host *const *)b;

	return strcmp(left->name, right->name);
}
