#include "bwcustomer/quota_shares.h"

#include <string.h>

/** Interval of demands, and the shortest one when a lease is used up. */
#define DEMAND_INTERVAL_MS 1500
#define DEMAND_URGENT_INTERVAL_MS 100

/** Time after which the answer to a demand counts as lost. */
#define ANSWER_TIMEOUT_MS 400

/** Requests of the next interval that a lease allows for beyond the last. */
#define HEADROOM 0.25
#define HEADROOM_MIN 1

/**
 * Requests from which on the rate of a customer that has just begun is taken
 * from the time since then, which counts as at least a part of a window. Fewer
 * are enough where a host has a base, as much is then due at each host.
 */
#define BEGUN_ASKED_MIN 4
#define BEGUN_ASKED_MIN_LARGE 2
#define BEGUN_PARTS 4

/**
 * Requests of an open customer that a host may admit beyond its lease before
 * the granting host has counted them: more where more is due at each host. A
 * customer of which much is due at each host needs it only to begin.
 */
#define OPEN_LESS 1
#define OPEN_MORE 2
#define OPEN_MORE_DUE_PER_HOST 3.2

/**
 * Retry-After of a request that the next lease can admit: the last one was
 * exceeded by little.
 */
#define RETRY_AFTER_LEASE_MS 400
#define RISE_MIN 2

/** The share of one customer. */
struct share {
	struct bw_quota quota; /**< of the last request */
	struct bw_quota_window admitted;
	struct bw_quota_window asked;
	uint32_t leased; /**< requests per window */
	double leased_of; /**< what was due when it was granted */
	struct bw_time leased_until;
	struct bw_time lease_sent_at; /**< of the demand that it answers */
	struct bw_time begun_at;
	struct bw_time demanded_at;
	double demanded_of; /**< what was due then */
	struct bw_time room_at; /**< latest time that a refused request was
				     told */
	uint32_t unsent; /**< admitted since the last demand */
	uint32_t uncounted; /**< admitted before it, and since the last one that
				 was answered */
	bool unanswered; /**< the last demand */
	bool refused; /**< a request since the last demand */
	uint32_t work_ms; /**< since the last demand */
	uint32_t fleet_work_ms_per_s;
};

static struct share *find_share_(const struct bw_quota_shares *shares,
				 uint64_t customer_hash);
static struct share *get_share_(struct bw_quota_shares *shares,
				const struct bw_quota *quota,
				struct bw_time now);
static void advance_(const struct bw_quota_shares *shares, struct share *share,
		     struct bw_time now);
static uint32_t leased_(const struct bw_quota_shares *shares,
			const struct share *share, struct bw_time now);
static uint32_t base_(const struct bw_quota_shares *shares,
		      const struct share *share);
static bool is_open_here_(const struct bw_quota_shares *shares,
			  const struct bw_quota_closed *closed);
static uint32_t open_(const struct bw_quota_shares *shares,
		      const struct share *share, struct bw_time now);
static uint32_t asked_(const struct bw_quota_shares *shares,
		       const struct share *share, uint32_t base,
		       struct bw_time now);
static uint32_t wanted_(const struct bw_quota_shares *shares,
			const struct share *share, uint32_t base,
			struct bw_time now);
static uint32_t room_in_ms_(const struct bw_quota_shares *shares,
			    struct share *share, uint32_t allowed,
			    struct bw_time now);
static bool is_due_(const struct bw_quota_shares *shares,
		    const struct share *share, struct bw_time now);
static void fill_demand_(const struct bw_quota_shares *shares,
			 struct share *share, struct bw_quota_demand *demand,
			 struct bw_time now);

void bw_quota_shares_init(struct bw_quota_shares *shares,
			  const struct bw_quota_bounds *bounds,
			  struct bw_time now)
{
	memset(shares, 0, sizeof(*shares));
	shares->bounds = *bounds;
	shares->open_until = bw_time_add(now, BW_QUOTA_OPEN_MS);
	shares->shares = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
	shares->closed = g_hash_table_new_full(g_int64_hash, g_int64_equal,
					       NULL, g_free);
}

void bw_quota_shares_finish(struct bw_quota_shares *shares)
{
	if (!shares->shares)
		return;
	g_hash_table_destroy(shares->shares);
	g_hash_table_destroy(shares->closed);
	shares->shares = NULL;
}

void bw_quota_shares_set_hosts(struct bw_quota_shares *shares, uint32_t count,
			       uint32_t index)
{
	if (count < shares->host_count)
		return;
	shares->host_count = count;
	shares->host_index = index;
}

bool bw_quota_admit(struct bw_quota_shares *shares,
		    const struct bw_quota *quota, struct bw_time now,
		    uint32_t *retry_after_ms)
{
	struct share *share = get_share_(shares, quota, now);
	struct bw_quota_window *admitted = &share->admitted;
	uint32_t allowed;

	share->quota = *quota;
	advance_(shares, share, now);
	share->asked.counts[share->asked.slot % BW_QUOTA_SLOTS]++;
	share->asked.sum++;
	allowed = base_(shares, share) + leased_(shares, share, now);
	if (admitted->sum < allowed ||
	    share->unsent + share->uncounted < open_(shares, share, now)) {
		share->unsent++;
		admitted->counts[admitted->slot % BW_QUOTA_SLOTS]++;
		admitted->sum++;
		return true;
	}
	share->refused = true;
	*retry_after_ms = room_in_ms_(shares, share, allowed, now);
	return false;
}

void bw_quota_give_back(struct bw_quota_shares *shares, uint64_t customer_hash,
			struct bw_time admitted_at, struct bw_time now)
{
	struct share *share = find_share_(shares, customer_hash);
	int64_t slot = bw_quota_slot(shares->bounds.window_ms, admitted_at);
	uint32_t *count;

	if (!share)
		return;
	advance_(shares, share, now);
	count = &share->admitted.counts[slot % BW_QUOTA_SLOTS];
	if (share->admitted.slot - slot >= BW_QUOTA_SLOTS || !*count)
		return;
	--*count;
	share->admitted.sum--;
}

void bw_quota_note_work(struct bw_quota_shares *shares, uint64_t customer_hash,
			uint32_t work_ms)
{
	struct share *share = find_share_(shares, customer_hash);

	if (share)
		share->work_ms += work_ms;
}

uint32_t bw_quota_demands(struct bw_quota_shares *shares,
			  struct bw_quota_demand *demands, uint32_t max,
			  struct bw_time now)
{
	uint32_t count = 0;
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, shares->shares);
	while (count < max && g_hash_table_iter_next(&iter, NULL, &value)) {
		struct share *share = value;

		advance_(shares, share, now);
		if (!is_due_(shares, share, now))
			continue;
		fill_demand_(shares, share, &demands[count++], now);
		if (share->asked.sum || share->admitted.sum)
			continue;
		/* The last demand gives the lease up. */
		demands[count - 1].leased = 0;
		g_hash_table_iter_remove(&iter);
	}
	return count;
}

void bw_quota_shares_set_term(struct bw_quota_shares *shares, uint64_t term)
{
	GHashTableIter iter;
	gpointer value;

	if (term <= shares->term)
		return;
	shares->term = term;
	g_hash_table_iter_init(&iter, shares->shares);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct share *share = value;

		share->demanded_at.ms = 0;
	}
}

void bw_quota_lease(struct bw_quota_shares *shares,
		    const struct bw_quota_grant *grant, struct bw_time sent_at,
		    struct bw_time now)
{
	struct share *share = find_share_(shares, grant->customer_hash);

	if (!share || sent_at.ms < share->lease_sent_at.ms)
		return;
	advance_(shares, share, now);
	if (grant->leased > leased_(shares, share, now))
		share->room_at = now;
	if (sent_at.ms == share->demanded_at.ms) {
		share->uncounted = 0;
		share->unanswered = false;
	}
	share->lease_sent_at = sent_at;
	share->leased = grant->leased;
	share->leased_of = share->demanded_of;
	share->leased_until = bw_time_add(sent_at, BW_QUOTA_LEASE_MS);
	share->fleet_work_ms_per_s = grant->fleet_work_ms_per_s;
}

void bw_quota_set_closed(struct bw_quota_shares *shares,
			 const struct bw_quota_closed *closed, uint32_t count,
			 struct bw_time now)
{
	uint32_t i;

	shares->listed = true;
	shares->open_until = bw_time_add(now, BW_QUOTA_OPEN_MS);
	g_hash_table_remove_all(shares->closed);
	for (i = 0; i < count; i++) {
		struct bw_quota_closed *copy =
			g_memdup2(&closed[i], sizeof(closed[i]));

		g_hash_table_insert(shares->closed, &copy->customer_hash, copy);
	}
}

uint32_t bw_quota_fleet_work(const struct bw_quota_shares *shares,
			     uint64_t customer_hash)
{
	const struct share *share = find_share_(shares, customer_hash);

	return share ? share->fleet_work_ms_per_s : 0;
}

static struct share *find_share_(const struct bw_quota_shares *shares,
				 uint64_t customer_hash)
{
	return g_hash_table_lookup(shares->shares, &customer_hash);
}

static struct share *get_share_(struct bw_quota_shares *shares,
				const struct bw_quota *quota,
				struct bw_time now)
{
	struct share *share = find_share_(shares, quota->customer_hash);

	if (share)
		return share;
	share = g_new0(struct share, 1);
	share->quota = *quota;
	/* A lease that was given up with an earlier share is not used. */
	share->lease_sent_at = now;
	share->begun_at = now;
	g_hash_table_insert(shares->shares, &share->quota.customer_hash, share);
	return share;
}

static void advance_(const struct bw_quota_shares *shares, struct share *share,
		     struct bw_time now)
{
	int64_t slot = bw_quota_slot(shares->bounds.window_ms, now);

	bw_quota_window_advance(&share->admitted, slot);
	bw_quota_window_advance(&share->asked, slot);
}

/* After a change to a lower quota, a lease of the higher one is cut at once. */
static uint32_t leased_(const struct bw_quota_shares *shares,
			const struct share *share, struct bw_time now)
{
	double due = bw_quota_due(&shares->bounds, &share->quota);

	if (bw_time_reached(now, share->leased_until))
		return 0;
	if (due >= share->leased_of)
		return share->leased;
	return (uint32_t)(share->leased * due / share->leased_of);
}

static uint32_t base_(const struct bw_quota_shares *shares,
		      const struct share *share)
{
	return bw_quota_base(&shares->bounds, &share->quota, shares->host_count,
			     shares->host_index);
}

/* Each customer has other hosts at which it stays open. */
static bool is_open_here_(const struct bw_quota_shares *shares,
			  const struct bw_quota_closed *closed)
{
	uint64_t count = shares->host_count;
	uint64_t place =
		(shares->host_index + closed->customer_hash % count) % count;

	return 100 * place < closed->open_percent * count;
}

/* Returns how many requests may be uncounted beyond lease and base. */
static uint32_t open_(const struct bw_quota_shares *shares,
		      const struct share *share, struct bw_time now)
{
	double due_per_host = bw_quota_due(&shares->bounds, &share->quota) /
			      MAX(shares->host_count, 1U);
	const struct bw_quota_closed *closed = g_hash_table_lookup(
		shares->closed, &share->quota.customer_hash);

	if (bw_time_reached(now, shares->open_until) || !shares->host_count)
		return 0;
	if (closed)
		return is_open_here_(shares, closed);
	if (!shares->listed)
		return OPEN_LESS;
	if (due_per_host >= BW_QUOTA_LARGE_DUE_PER_HOST)
		return !leased_(shares, share, now);
	return due_per_host >= OPEN_MORE_DUE_PER_HOST ? OPEN_MORE : OPEN_LESS;
}

/* Returns the requests of a window at the rate so far. */
static uint32_t asked_(const struct bw_quota_shares *shares,
		       const struct share *share, uint32_t base,
		       struct bw_time now)
{
	int64_t window_ms = shares->bounds.window_ms;
	int64_t age_ms = CLAMP(bw_time_diff_ms(now, share->begun_at),
			       1 + window_ms / BEGUN_PARTS, window_ms);
	uint32_t asked = share->asked.sum;

	if (asked < (base ? BEGUN_ASKED_MIN_LARGE : BEGUN_ASKED_MIN))
		return asked;
	return (uint32_t)(asked * window_ms / age_ms);
}

static uint32_t wanted_(const struct bw_quota_shares *shares,
			const struct share *share, uint32_t base,
			struct bw_time now)
{
	uint32_t asked = asked_(shares, share, base, now);
	uint32_t wanted = asked + HEADROOM_MIN + (uint32_t)(HEADROOM * asked);

	if (!asked || wanted <= base)
		return 0;
	return wanted - base;
}

/*
 * Requests that are refused one after the other are told times at which there
 * is room for each of them.
 */
static uint32_t room_in_ms_(const struct bw_quota_shares *shares,
			    struct share *share, uint32_t allowed,
			    struct bw_time now)
{
	const struct bw_quota_window *admitted = &share->admitted;
	int64_t window_ms = shares->bounds.window_ms;
	int64_t slot_ms = window_ms / (BW_QUOTA_SLOTS - 1);
	uint32_t sum = admitted->sum;
	struct bw_time first;
	int64_t age;

	if (share->asked.sum <= allowed + HEADROOM * allowed + RISE_MIN)
		return RETRY_AFTER_LEASE_MS;
	for (age = BW_QUOTA_SLOTS - 1; age >= 0 && sum >= allowed; age--)
		sum -= admitted->counts[(admitted->slot - age +
					 BW_QUOTA_SLOTS) %
					BW_QUOTA_SLOTS];
	first.ms = (admitted->slot - age + BW_QUOTA_SLOTS - 1) * slot_ms;
	if (bw_time_reached(first, share->room_at))
		share->room_at = first;
	else
		share->room_at =
			bw_time_add(share->room_at, 1 + window_ms / allowed);
	if (bw_time_diff_ms(share->room_at, now) > window_ms + slot_ms)
		share->room_at = bw_time_add(now, window_ms + slot_ms);
	return (uint32_t)MAX(bw_time_diff_ms(share->room_at, now), 1);
}

static bool is_due_(const struct bw_quota_shares *shares,
		    const struct share *share, struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, share->demanded_at);
	uint32_t base = base_(shares, share);
	uint32_t leased = leased_(shares, share, now);
	uint32_t reserve = 1 + (uint32_t)(HEADROOM * share->asked.sum / 2);

	if (age_ms >= DEMAND_INTERVAL_MS)
		return true;
	if (age_ms < DEMAND_URGENT_INTERVAL_MS ||
	    (share->unanswered && age_ms < ANSWER_TIMEOUT_MS))
		return false;
	return share->refused ||
	       (share->unsent && wanted_(shares, share, base, now) > leased &&
		share->admitted.sum + reserve > leased + base);
}

static void fill_demand_(const struct bw_quota_shares *shares,
			 struct share *share, struct bw_quota_demand *demand,
			 struct bw_time now)
{
	uint32_t base = base_(shares, share);

	demand->quota = share->quota;
	demand->asked = share->asked.sum;
	demand->admitted = share->admitted.sum;
	demand->unleased = MIN(base, share->admitted.sum);
	demand->fresh = share->unsent;
	demand->wanted = wanted_(shares, share, base, now);
	demand->leased = leased_(shares, share, now);
	demand->work_ms = share->work_ms;
	share->work_ms = 0;
	share->uncounted += share->unsent;
	share->unsent = 0;
	share->unanswered = true;
	share->refused = false;
	share->demanded_at = now;
	share->demanded_of = bw_quota_due(&shares->bounds, &share->quota);
}
