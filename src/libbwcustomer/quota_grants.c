#include "bwcustomer/quota_grants.h"

#include <string.h>

#include "bwcustomer/quota_shares.h"

/**
 * Time after which a new granting host knows most entry hosts in touch that
 * have leases of an earlier one.
 */
#define TAKEOVER_MS 500

/**
 * Time after which it knows which customers use much of their quota: where
 * requests are refused, demands are sent at once.
 */
#define CLOSED_KNOWN_MS 1000

/** Parts of a window after each of which the state is updated. */
#define SWEEPS 10

/**
 * Fraction of what is due that is divided among the hosts that want more than
 * there is. The rest lets hosts that are new to a customer begin.
 */
#define DIVIDED_FRACTION 0.97

/**
 * Requests of the time until the next lease that a host gets beyond the last
 * ones, where hosts want more than there is.
 */
#define HEADROOM_TIGHT 0.08

/** Interval of the list of customers that are not open. */
#define CLOSED_INTERVAL_MS 400

/** Fraction of what is due beyond which a customer is not open. */
#define CLOSED_FRACTION 0.75

/** The same of what is allowed, if that is more. */
#define CLOSED_ALLOWED_FRACTION 0.5

/** Fraction of what is due and free for which a closed customer is open. */
#define OPEN_FREE_FRACTION 0.8

/**
 * Fraction of what is due that is leased while a customer is open, if what is
 * due at each host is less than BW_QUOTA_LARGE_DUE_PER_HOST: most requests are
 * then admitted without leases.
 */
#define OPEN_LEASED_FRACTION 0.4

/** Fraction below which it is open again, and the shortest time until then. */
#define REOPENED_FRACTION 0.65
#define CLOSED_MIN_MS 2000

/**
 * Time after which all hosts in touch know that a customer is not open, and
 * have reported what they admitted until then.
 */
#define CLOSED_SETTLED_MS 1000

/** An entry host. */
struct host {
	char name[BW_NAME_MAX];
	uint64_t incarnation;
	uint64_t sent_ms; /**< of the last report */
	struct bw_time heard_at;
	bool known; /**< it has reported all its leases */
};

/** What one entry host may use, and has used, of what is due to a customer. */
struct holder {
	const struct host *host;
	uint64_t incarnation; /**< of the host */
	uint32_t wanted;
	uint32_t leased; /**< granted last */
	uint32_t held; /**< most that the host may hold */
	uint32_t asked; /**< in its last window */
	uint32_t admitted; /**< of these */
	uint32_t unleased; /**< of these, without a lease */
	uint64_t answered_ms; /**< sent_ms of the report answered last */
	struct bw_time heard_at;
	uint32_t lost; /**< exposure of a process that has ended */
	struct bw_time lost_until;
};

/** A customer with demand. */
struct customer {
	uint64_t hash;
	struct bw_quota quota;
	uint64_t version; /**< of the configuration with this quota */
	double burst_left[SWEEPS]; /**< requests, at the last updates */
	uint32_t sweep; /**< of the last one */
	struct bw_time refilled_at;
	uint32_t exposure; /**< sum over holders */
	uint32_t admitted; /**< the same */
	uint32_t asked; /**< the same */
	uint32_t wanted; /**< the same */
	struct bw_quota_window fresh; /**< admitted, as reported */
	bool closed; /**< not open; see quota.h */
	struct bw_time closed_at;
	GArray *holders; /**< struct holder, by the address of the host */
	uint64_t work_ms; /**< since work_since */
	struct bw_time work_since;
	uint32_t work_ms_per_s;
};

static void note_fresh_(const struct bw_quota_grants *grants,
			struct customer *customer, uint32_t count,
			struct bw_time now);
static uint32_t used_(const struct bw_quota_grants *grants,
		      struct customer *customer, struct bw_time now);
static uint32_t open_percent_(const struct bw_quota_grants *grants,
			      struct customer *customer, struct bw_time now);
static void update_closed_(struct bw_quota_grants *grants,
			   struct customer *customer, struct bw_time now);
static void note_term_(struct bw_quota_grants *grants, struct host *host,
		       uint64_t term);
static void note_hosts_(struct bw_quota_grants *grants, uint32_t host_count,
			struct bw_time now);
static void free_customer_(gpointer data);
static struct host *get_host_(struct bw_quota_grants *grants,
			      const struct bw_quota_report *report);
static struct customer *get_customer_(struct bw_quota_grants *grants,
				      const struct bw_quota_report *report,
				      const struct bw_quota *quota,
				      struct bw_time now);
static struct holder *get_holder_(struct customer *customer,
				  const struct host *host, struct bw_time now);
static uint32_t exposure_(const struct holder *holder, struct bw_time now);
static void lose_(struct holder *holder, struct bw_time now, int64_t rest_ms);
static void update_holder_(struct holder *holder, const struct host *host,
			   const struct bw_quota_report *report,
			   const struct bw_quota_demand *demand,
			   uint32_t window_ms, struct bw_time now);
static uint32_t lease_(struct bw_quota_grants *grants,
		       struct customer *customer, const struct holder *holder,
		       struct bw_time now);
static double due_(const struct bw_quota_grants *grants,
		   const struct customer *customer);
static double keep_back_(const struct bw_quota_grants *grants, double due,
			 struct bw_time now);
static uint32_t need_(const struct holder *holder);
static uint32_t level_(const struct customer *customer, double due);
static uint32_t share_of_(const struct customer *customer,
			  const struct holder *holder, double due);
static void sweep_customer_(struct bw_quota_grants *grants,
			    struct customer *customer, struct bw_time now);
static void sweep_hosts_(struct bw_quota_grants *grants, struct bw_time now);
static void refill_burst_(const struct bw_quota_grants *grants,
			  struct customer *customer, struct bw_time now);
static void update_work_(struct customer *customer, struct bw_time now);

void bw_quota_grants_init(struct bw_quota_grants *grants,
			  const struct bw_quota_bounds *bounds)
{
	memset(grants, 0, sizeof(*grants));
	grants->bounds = *bounds;
	grants->hosts =
		g_hash_table_new_full(g_str_hash, g_str_equal, NULL, g_free);
	grants->customers = g_hash_table_new_full(g_int64_hash, g_int64_equal,
						  NULL, free_customer_);
}

void bw_quota_grants_finish(struct bw_quota_grants *grants)
{
	if (!grants->hosts)
		return;
	g_hash_table_destroy(grants->customers);
	g_hash_table_destroy(grants->hosts);
	grants->hosts = NULL;
}

void bw_quota_grants_set_granting(struct bw_quota_grants *grants, bool granting,
				  uint64_t term, uint32_t host_count,
				  struct bw_time now)
{
	bool resumed = term == grants->term;

	note_hosts_(grants, host_count, now);
	if (granting == grants->granting && (resumed || !granting))
		return;
	grants->granting = granting;
	if (!granting || resumed)
		return;
	grants->term = term;
	grants->since = now;
	grants->known_count = 0;
	grants->succeeds = false;
	g_hash_table_remove_all(grants->customers);
	g_hash_table_remove_all(grants->hosts);
}

bool bw_quota_grants_in_use(const struct bw_quota_grants *grants)
{
	return g_hash_table_size(grants->hosts) > 0;
}

bool bw_quota_grants_answer(struct bw_quota_grants *grants,
			    const struct bw_quota_report *report,
			    struct bw_quota_grant *answers, struct bw_time now)
{
	struct host *host;
	uint32_t i;

	if (!grants->granting)
		return false;
	host = get_host_(grants, report);
	/* A report that was overtaken says nothing of the host now. */
	if (host->incarnation == report->incarnation &&
	    report->sent_ms < host->sent_ms)
		return false;
	host->incarnation = report->incarnation;
	host->sent_ms = report->sent_ms;
	host->heard_at = now;
	note_term_(grants, host, report->term);
	for (i = 0; i < report->demand_count; i++) {
		const struct bw_quota_demand *demand = &report->demands[i];
		struct customer *customer =
			get_customer_(grants, report, &demand->quota, now);
		struct holder *holder = get_holder_(customer, host, now);

		customer->exposure -= exposure_(holder, now);
		customer->admitted -= holder->admitted;
		customer->asked -= holder->asked;
		customer->wanted -= holder->wanted;
		update_holder_(holder, host, report, demand,
			       grants->bounds.window_ms, now);
		customer->exposure += exposure_(holder, now);
		customer->admitted += holder->admitted;
		customer->asked += holder->asked;
		customer->wanted += holder->wanted;
		note_fresh_(grants, customer, demand->fresh, now);
		update_closed_(grants, customer, now);
		holder->leased = lease_(grants, customer, holder, now);
		customer->exposure -= exposure_(holder, now);
		holder->held = MAX(holder->held, holder->leased);
		customer->exposure += exposure_(holder, now);
		customer->work_ms += demand->work_ms;
		answers[i].customer_hash = customer->hash;
		answers[i].leased = holder->leased;
		answers[i].fleet_work_ms_per_s = customer->work_ms_per_s;
	}
	return true;
}

void bw_quota_grants_tick(struct bw_quota_grants *grants, struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	if (!bw_time_reached(now, grants->next_sweep))
		return;
	grants->next_sweep =
		bw_time_add(now, grants->bounds.window_ms / SWEEPS);
	g_hash_table_iter_init(&iter, grants->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer *customer = value;

		sweep_customer_(grants, customer, now);
		update_work_(customer, now);
		refill_burst_(grants, customer, now);
		update_closed_(grants, customer, now);
		if (!customer->holders->len)
			g_hash_table_iter_remove(&iter);
	}
	sweep_hosts_(grants, now);
}

bool bw_quota_grants_closed(struct bw_quota_grants *grants,
			    struct bw_quota_closed *closed, uint32_t *count,
			    struct bw_time now)
{
	GHashTableIter iter;
	gpointer value;

	if (!grants->granting || !bw_time_reached(now, grants->next_closed) ||
	    bw_time_diff_ms(now, grants->since) < CLOSED_KNOWN_MS)
		return false;
	grants->next_closed = bw_time_add(now, CLOSED_INTERVAL_MS);
	*count = 0;
	g_hash_table_iter_init(&iter, grants->customers);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		struct customer *customer = value;

		if (!customer->closed)
			continue;
		if (*count == BW_QUOTA_CLOSED_MAX)
			return false;
		closed[*count].customer_hash = customer->hash;
		closed[*count].open_percent =
			open_percent_(grants, customer, now);
		++*count;
	}
	return true;
}

uint32_t bw_quota_grants_exposure(const struct bw_quota_grants *grants,
				  uint64_t customer_hash)
{
	const struct customer *customer =
		g_hash_table_lookup(grants->customers, &customer_hash);

	return customer ? customer->exposure : 0;
}

/* A host that has just started, and has had no answer, has no leases. */
static void note_term_(struct bw_quota_grants *grants, struct host *host,
		       uint64_t term)
{
	if (term && term != grants->term) {
		grants->succeeds = true;
	} else if (!host->known) {
		host->known = true;
		grants->known_count++;
	}
}

/* Hosts that are cut off hold their leases for a time. */
static void note_hosts_(struct bw_quota_grants *grants, uint32_t host_count,
			struct bw_time now)
{
	int64_t age_ms = bw_time_diff_ms(now, grants->host_count_at);

	if (host_count < grants->host_count &&
	    age_ms <= BW_QUOTA_LEASE_MS + (int64_t)grants->bounds.window_ms)
		return;
	grants->host_count = host_count;
	grants->host_count_at = now;
}

static void note_fresh_(const struct bw_quota_grants *grants,
			struct customer *customer, uint32_t count,
			struct bw_time now)
{
	struct bw_quota_window *fresh = &customer->fresh;

	bw_quota_window_advance(fresh,
				bw_quota_slot(grants->bounds.window_ms, now));
	fresh->counts[fresh->slot % BW_QUOTA_SLOTS] += count;
	fresh->sum += count;
}

/* Returns the requests that all hosts have admitted in the last window. */
static uint32_t used_(const struct bw_quota_grants *grants,
		      struct customer *customer, struct bw_time now)
{
	/* What was admitted before this host granted is in the totals only. */
	if (bw_time_diff_ms(now, grants->since) <=
	    (int64_t)grants->bounds.window_ms + TAKEOVER_MS)
		return customer->admitted;
	note_fresh_(grants, customer, 0, now);
	return customer->fresh.sum;
}

/* As many hosts as requests of what is due are not used. */
static uint32_t open_percent_(const struct bw_quota_grants *grants,
			      struct customer *customer, struct bw_time now)
{
	double due = due_(grants, customer);
	double free = due - used_(grants, customer, now);

	if (free <= 0 || !grants->host_count || customer->asked > due)
		return 0;
	return (uint32_t)MIN(
		100.0 * OPEN_FREE_FRACTION * free / grants->host_count, 100.0);
}

static void update_closed_(struct bw_quota_grants *grants,
			   struct customer *customer, struct bw_time now)
{
	double due = due_(grants, customer);
	double allowed = (1 + grants->bounds.over) * due + grants->bounds.slack;
	uint32_t used = used_(grants, customer, now);

	/* The tolerance is most of what a small quota allows. */
	due = MAX(due, CLOSED_ALLOWED_FRACTION / CLOSED_FRACTION * allowed);

	if (!customer->closed &&
	    (used > CLOSED_FRACTION * due || customer->asked > due)) {
		customer->closed = true;
		customer->closed_at = now;
		grants->next_closed = now;
	}
	/* What is refused would be admitted by all hosts at once. */
	if (customer->closed && used < REOPENED_FRACTION * due &&
	    customer->asked < REOPENED_FRACTION * due &&
	    bw_time_diff_ms(now, customer->closed_at) >= CLOSED_MIN_MS)
		customer->closed = false;
}

static void free_customer_(gpointer data)
{
	struct customer *customer = data;

	g_array_free(customer->holders, TRUE);
	g_free(customer);
}

static struct host *get_host_(struct bw_quota_grants *grants,
			      const struct bw_quota_report *report)
{
	struct host *host = g_hash_table_lookup(grants->hosts, report->host);

	if (host)
		return host;
	host = g_new0(struct host, 1);
	bw_name_set(host->name, report->host);
	g_hash_table_insert(grants->hosts, host->name, host);
	return host;
}

/* The quota of the newest configuration counts. */
static struct customer *get_customer_(struct bw_quota_grants *grants,
				      const struct bw_quota_report *report,
				      const struct bw_quota *quota,
				      struct bw_time now)
{
	struct customer *customer =
		g_hash_table_lookup(grants->customers, &quota->customer_hash);
	uint32_t i;

	if (!customer) {
		customer = g_new0(struct customer, 1);
		customer->hash = quota->customer_hash;
		for (i = 0; i < SWEEPS; i++)
			customer->burst_left[i] = quota->burst;
		customer->refilled_at = now;
		customer->work_since = now;
		customer->holders =
			g_array_new(FALSE, TRUE, sizeof(struct holder));
		g_hash_table_insert(grants->customers, &customer->hash,
				    customer);
	}
	if (report->version >= customer->version) {
		customer->version = report->version;
		customer->quota = *quota;
	}
	return customer;
}

static struct holder *get_holder_(struct customer *customer,
				  const struct host *host, struct bw_time now)
{
	GArray *holders = customer->holders;
	struct holder added = { .host = host, .heard_at = now };
	guint low = 0;
	guint high = holders->len;

	while (low < high) {
		guint middle = (low + high) / 2;

		if (g_array_index(holders, struct holder, middle).host < host)
			low = middle + 1;
		else
			high = middle;
	}
	if (low == holders->len ||
	    g_array_index(holders, struct holder, low).host != host) {
		added.incarnation = host->incarnation;
		g_array_insert_val(holders, low, added);
	}
	return &g_array_index(holders, struct holder, low);
}

static uint32_t exposure_(const struct holder *holder, struct bw_time now)
{
	uint32_t exposure =
		MAX(holder->held, holder->admitted - holder->unleased);

	return bw_time_reached(now, holder->lost_until)
		       ? exposure
		       : exposure + holder->lost;
}

/* What a process may have used until it ended leaves the window later. */
static void lose_(struct holder *holder, struct bw_time now, int64_t rest_ms)
{
	holder->lost = exposure_(holder, now);
	holder->lost_until = bw_time_add(now, rest_ms);
	holder->held = 0;
	holder->leased = 0;
	holder->asked = 0;
	holder->admitted = 0;
	holder->unleased = 0;
	holder->wanted = 0;
}

static void update_holder_(struct holder *holder, const struct host *host,
			   const struct bw_quota_report *report,
			   const struct bw_quota_demand *demand,
			   uint32_t window_ms, struct bw_time now)
{
	if (holder->incarnation != host->incarnation)
		lose_(holder, now, window_ms);
	holder->incarnation = host->incarnation;
	holder->heard_at = now;
	holder->asked = demand->asked;
	holder->admitted = demand->admitted;
	holder->unleased = MIN(demand->unleased, demand->admitted);
	holder->wanted = demand->wanted;
	/* An answer that is on its way may still raise the lease. */
	if (report->applied_ms >= holder->answered_ms)
		holder->held = demand->leased;
	else
		holder->held = MAX(holder->held, demand->leased);
	holder->answered_ms = report->sent_ms;
}

/* Returns the lease of a host whose demand has just arrived. */
static uint32_t lease_(struct bw_quota_grants *grants,
		       struct customer *customer, const struct holder *holder,
		       struct bw_time now)
{
	double due = due_(grants, customer);
	uint32_t exposure = exposure_(holder, now);
	uint32_t share = share_of_(customer, holder, due);
	uint32_t held = MAX(holder->held, holder->admitted - holder->unleased);
	double room;

	/*
	 * What it holds has been counted, by an earlier granting host at first.
	 */
	if (share <= held)
		return share;
	if (grants->succeeds &&
	    bw_time_diff_ms(now, grants->since) < TAKEOVER_MS)
		return MIN(holder->held, share);
	if (customer->closed &&
	    bw_time_diff_ms(now, customer->closed_at) < CLOSED_SETTLED_MS)
		return held;
	/* Hosts may admit requests of an open customer beside their leases. */
	if (!customer->closed &&
	    due < BW_QUOTA_LARGE_DUE_PER_HOST * grants->host_count)
		due *= OPEN_LEASED_FRACTION;
	room = keep_back_(grants, due, now) - (customer->exposure - exposure);
	if (!bw_time_reached(now, holder->lost_until))
		room -= holder->lost;
	return MIN(share, (uint32_t)MAX(room, (double)held));
}

/* A window may have the rate, and the burst that was left when it began. */
static double due_(const struct bw_quota_grants *grants,
		   const struct customer *customer)
{
	return customer->quota.rate_per_s * grants->bounds.window_ms / 1000.0 +
	       MIN(customer->burst_left[(customer->sweep + 1) % SWEEPS],
		   customer->quota.burst);
}

/*
 * Until every lease of an earlier granting host has left the window, the part
 * of the entry hosts that have not reported may still be in use there.
 */
static double keep_back_(const struct bw_quota_grants *grants, double due,
			 struct bw_time now)
{
	uint32_t known = grants->known_count;

	if (known >= grants->host_count ||
	    bw_time_diff_ms(now, grants->since) >=
		    BW_QUOTA_LEASE_MS + (int64_t)grants->bounds.window_ms)
		return due;
	return due * known / grants->host_count;
}

/* Returns the lease with which a host keeps up with its requests. */
static uint32_t need_(const struct holder *holder)
{
	uint32_t asked = holder->asked - MIN(holder->unleased, holder->asked);
	uint32_t need = asked + 1 + (uint32_t)(HEADROOM_TIGHT * holder->asked);

	return MIN(need, holder->wanted);
}

/* Returns the most that each host gets if all want more than there is. */
static uint32_t level_(const struct customer *customer, double due)
{
	uint32_t low = 0;
	uint32_t high = UINT32_MAX / 2;
	guint i;

	while (low < high) {
		uint32_t middle = low + (high - low + 1) / 2;
		double sum = 0;

		for (i = 0; i < customer->holders->len; i++) {
			const struct holder *holder = &g_array_index(
				customer->holders, struct holder, i);

			sum += MIN(need_(holder), middle);
		}
		if (sum <= due)
			low = middle;
		else
			high = middle - 1;
	}
	return low;
}

/*
 * Where a level is not whole, as many hosts as possible get one more: those
 * that have it, then others while there is room.
 */
static uint32_t share_of_(const struct customer *customer,
			  const struct holder *holder, double due)
{
	uint32_t level;

	if (customer->wanted <= DIVIDED_FRACTION * due)
		return holder->wanted;
	level = level_(customer, DIVIDED_FRACTION * due);
	return MIN(need_(holder), level + 1);
}

static void sweep_customer_(struct bw_quota_grants *grants,
			    struct customer *customer, struct bw_time now)
{
	GArray *holders = customer->holders;
	uint32_t window_ms = grants->bounds.window_ms;
	guint i = 0;

	customer->exposure = 0;
	customer->admitted = 0;
	customer->asked = 0;
	customer->wanted = 0;
	while (i < holders->len) {
		struct holder *holder =
			&g_array_index(holders, struct holder, i);
		uint32_t exposure;

		if (bw_time_diff_ms(now, holder->heard_at) >=
			    BW_QUOTA_LEASE_MS &&
		    (holder->held || holder->admitted || holder->wanted))
			lose_(holder, now, window_ms);
		exposure = exposure_(holder, now);
		if (!exposure && !holder->wanted) {
			g_array_remove_index(holders, i);
			continue;
		}
		customer->exposure += exposure;
		customer->admitted += holder->admitted;
		customer->asked += holder->asked;
		customer->wanted += holder->wanted;
		i++;
	}
}

/* No holder refers to a host whose leases have left the window. */
static void sweep_hosts_(struct bw_quota_grants *grants, struct bw_time now)
{
	int64_t kept_ms =
		2 * (BW_QUOTA_LEASE_MS + (int64_t)grants->bounds.window_ms);
	GHashTableIter iter;
	gpointer value;

	g_hash_table_iter_init(&iter, grants->hosts);
	while (g_hash_table_iter_next(&iter, NULL, &value)) {
		const struct host *host = value;

		if (bw_time_diff_ms(now, host->heard_at) <= kept_ms)
			continue;
		grants->known_count -= host->known;
		g_hash_table_iter_remove(&iter);
	}
}

/* The burst comes back at the rate that is not used. */
static void refill_burst_(const struct bw_quota_grants *grants,
			  struct customer *customer, struct bw_time now)
{
	double elapsed_s =
		(double)bw_time_diff_ms(now, customer->refilled_at) / 1000.0;
	double left = customer->burst_left[customer->sweep];

	customer->refilled_at = now;
	left += elapsed_s * (customer->quota.rate_per_s -
			     used_(grants, customer, now) * 1000.0 /
				     grants->bounds.window_ms);
	customer->sweep = (customer->sweep + 1) % SWEEPS;
	customer->burst_left[customer->sweep] =
		CLAMP(left, 0.0, customer->quota.burst);
}

static void update_work_(struct customer *customer, struct bw_time now)
{
	int64_t elapsed_ms = bw_time_diff_ms(now, customer->work_since);

	if (elapsed_ms < 1000)
		return;
	customer->work_ms_per_s =
		(uint32_t)(customer->work_ms * 1000 / (uint64_t)elapsed_ms);
	customer->work_ms = 0;
	customer->work_since = now;
}
