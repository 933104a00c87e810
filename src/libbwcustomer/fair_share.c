#include <assert.h>
#include <math.h>
#include <string.h>

#include <glib.h>

#include "private/fair_share.h"

/** Delay of a job in the order per level of its customer above 1. */
#define LEVEL_DELAY_MS 2000.0

/**
 * Jobs in the window below which a customer is within its share: chance decides
 * whose few jobs come to one host.
 */
#define JOBS_MIN 3.0

/** Maximum level; the work of the first jobs after a start tells little. */
#define LEVEL_MAX 4.0

/** Work that is assumed for a job when none of its service has ended. */
#define WORK_UNKNOWN_MS 100.0

/** Smoothing factor and limits of the slowness of a customer's jobs. */
#define SLOWNESS_SMOOTHING 0.1
#define SLOWNESS_MIN 0.05
#define SLOWNESS_MAX 20.0

/** Age at which the work at other hosts is no longer counted. */
#define FLEET_STALE_MS 5000

/** What the customers of one rank get, here or at all hosts. */
struct room {
	double work_ms_per_s;
	double asked_ms_per_s;
	double customers;
	double served_fraction; /**< part that runs of what all ask for */
};

static void count_asked_(struct bw_fair_shares *shares,
			 struct bw_fair_share *share,
			 struct bw_fair_ticket *ticket, double asked_ms,
			 struct bw_time now);
static void count_work_(struct bw_fair_shares *shares,
			struct bw_fair_share *share,
			const struct bw_fair_ticket *ticket, double work_ms,
			struct bw_time now);
static double level_(struct bw_fair_shares *shares, struct bw_fair_share *share,
		     uint32_t rank, double job_ms, struct bw_time now);
static void measure_room_(struct bw_fair_shares *shares, uint32_t rank,
			  struct bw_time now, struct room *room);
static void add_other_hosts_(struct bw_fair_shares *shares, uint32_t rank,
			     struct bw_time now, struct room *room);
static struct bw_fair_rate total_rate_(struct bw_fair_shares *shares,
				       struct bw_time now);
static struct bw_fair_rate other_hosts_(const struct bw_fair_shares *shares,
					const struct bw_fair_share *share,
					const struct room *room,
					struct bw_time now);
static void decay_total_(struct bw_fair_total *total, struct bw_time now);
static uint64_t take_whole_ms_(double *sum_ms);

void bw_fair_shares_init(struct bw_fair_shares *shares)
{
	memset(shares, 0, sizeof(*shares));
}

void bw_fair_shares_finish(struct bw_fair_shares *shares)
{
	g_free(shares->table);
	memset(shares, 0, sizeof(*shares));
}

void bw_fair_share_ask(struct bw_fair_shares *shares,
		       struct bw_fair_ticket *ticket, uint64_t customer_hash,
		       uint32_t rank, double expected_ms,
		       struct bw_time arrived, struct bw_time now)
{
	struct bw_fair_share *share;

	rank = MIN(rank, BW_FAIR_RANKS - 1U);
	if (ticket->stamped && ticket->customer_hash == customer_hash &&
	    ticket->rank == rank)
		return;
	assert(!ticket->waiting);
	memset(ticket, 0, sizeof(*ticket));
	ticket->stamped = true;
	ticket->customer_hash = customer_hash;
	ticket->rank = rank;
	ticket->order_ms = arrived.ms;
	if (!shares->table && !customer_hash)
		return;
	fair_table_forget(shares, now);
	share = fair_table_add(shares, customer_hash, now);
	fair_decay_share(share, now);
	fair_table_touch(shares, share, rank, now);
	if (expected_ms <= 0.0)
		expected_ms = WORK_UNKNOWN_MS;
	ticket->counted = true;
	ticket->usual_ms = expected_ms;
	ticket->estimate_ms = expected_ms * share->slowness;
	count_asked_(shares, share, ticket, ticket->estimate_ms, now);
	ticket->level = level_(shares, share, rank, expected_ms, now);
	ticket->order_ms +=
		(int64_t)(LEVEL_DELAY_MS * MAX(ticket->level - 1.0, 0.0));
}

void bw_fair_share_wait(struct bw_fair_shares *shares,
			struct bw_fair_ticket *ticket)
{
	struct bw_fair_share *share;

	if (!ticket->counted || ticket->waiting)
		return;
	share = fair_table_find(shares, ticket->customer_hash);
	if (!share)
		return;
	ticket->waiting = true;
	share->waiting++;
	share->waiting_ms += ticket->estimate_ms;
}

void bw_fair_share_leave(struct bw_fair_shares *shares,
			 struct bw_fair_ticket *ticket)
{
	struct bw_fair_share *share;

	if (!ticket->waiting)
		return;
	ticket->waiting = false;
	share = fair_table_find(shares, ticket->customer_hash);
	/* It may have been replaced in the table and come back since. */
	if (!share || !share->waiting)
		return;
	share->waiting--;
	share->waiting_ms =
		share->waiting
			? MAX(share->waiting_ms - ticket->estimate_ms, 0.0)
			: 0.0;
}

void bw_fair_share_send(struct bw_fair_shares *shares,
			struct bw_fair_ticket *ticket, struct bw_time now)
{
	struct bw_fair_share *share;

	if (!ticket->counted)
		return;
	share = fair_table_add(shares, ticket->customer_hash, now);
	ticket->charged_ms = ticket->estimate_ms;
	count_work_(shares, share, ticket, ticket->charged_ms, now);
	fair_pace_send(share, ticket->charged_ms, now);
}

void bw_fair_share_end(struct bw_fair_shares *shares,
		       struct bw_fair_ticket *ticket, double work_ms,
		       struct bw_time now)
{
	struct bw_fair_share *share;
	double change_ms = work_ms - ticket->charged_ms;

	if (!ticket->counted)
		return;
	share = fair_table_add(shares, ticket->customer_hash, now);
	count_work_(shares, share, ticket, change_ms, now);
	shares->totals[ticket->rank].work_sum_ms += (uint64_t)work_ms;
	if (work_ms > 0.0) {
		count_asked_(shares, share, ticket,
			     work_ms - ticket->estimate_ms, now);
		share->slowness +=
			SLOWNESS_SMOOTHING *
			(work_ms / ticket->usual_ms - share->slowness);
		share->slowness =
			CLAMP(share->slowness, SLOWNESS_MIN, SLOWNESS_MAX);
		ticket->estimate_ms = work_ms;
	}
	ticket->charged_ms = 0.0;
}

bool bw_fair_share_is_beyond(const struct bw_fair_ticket *ticket)
{
	return ticket->level > 1.0;
}

double bw_fair_share_return_ms(const struct bw_fair_ticket *ticket)
{
	if (!bw_fair_share_is_beyond(ticket))
		return 0.0;
	return FAIR_WINDOW_MS * log(ticket->level);
}

bool bw_fair_shares_active(struct bw_fair_shares *shares, struct bw_time now)
{
	fair_table_forget(shares, now);
	return shares->active > 1;
}

void bw_fair_share_set_fleet(struct bw_fair_shares *shares,
			     uint64_t customer_hash, uint32_t rank,
			     const struct bw_fair_rate *rate,
			     struct bw_time now)
{
	struct bw_fair_share *share =
		fair_table_add(shares, customer_hash, now);

	fair_decay_share(share, now);
	fair_pace_note(shares, share, MIN(rank, BW_FAIR_RANKS - 1U), rate, now);
	share->others.work_ms_per_s =
		MAX(rate->work_ms_per_s - fair_rate_per_s(share->work_ms), 0.0);
	share->others.asked_ms_per_s = MAX(
		rate->asked_ms_per_s - fair_rate_per_s(share->asked_ms), 0.0);
	if (rate->asked_ms_per_s <= 0.0)
		share->others.asked_ms_per_s = 0.0;
	share->fleet_at = now;
}

void bw_fair_share_set_fleet_total(struct bw_fair_shares *shares,
				   const struct bw_fair_rate *rate,
				   uint32_t customers, struct bw_time now)
{
	struct bw_fair_rate own = total_rate_(shares, now);

	shares->others.work_ms_per_s =
		MAX(rate->work_ms_per_s - own.work_ms_per_s, 0.0);
	shares->others.asked_ms_per_s =
		MAX(rate->asked_ms_per_s - own.asked_ms_per_s, 0.0);
	fair_pace_end_round(shares, rate, customers, now);
	shares->fleet_customers = customers;
	shares->fleet_at = now;
}

void bw_fair_share_sum_fleet(struct bw_fair_shares *shares, struct bw_time now)
{
	struct bw_fair_rate total = { 0 };
	uint32_t link;

	fair_table_forget(shares, now);
	for (link = shares->newest; link;
	     link = shares->table[link - 1].older) {
		struct bw_fair_share *share = &shares->table[link - 1];

		fair_decay_share(share, now);
		total.work_ms_per_s += fair_rate_per_s(share->work_ms);
		total.asked_ms_per_s += fair_rate_per_s(share->asked_ms);
		if (!fair_is_fresh(share->fleet_at, now))
			continue;
		total.work_ms_per_s += share->others.work_ms_per_s;
		total.asked_ms_per_s += share->others.asked_ms_per_s;
	}
	bw_fair_share_set_fleet_total(shares, &total, shares->active, now);
}

size_t bw_fair_share_take_report(struct bw_fair_shares *shares,
				 struct bw_fair_report *items, size_t items_max)
{
	uint32_t link = shares->newest;
	size_t count = 0;

	while (link && count < items_max) {
		struct bw_fair_share *share = &shares->table[link - 1];
		struct bw_fair_report *item = &items[count];

		link = share->older;
		if (share->unreported_work_ms < 1.0 &&
		    share->unreported_asked_ms < 1.0)
			continue;
		item->customer_hash = share->customer_hash;
		item->rank = (uint32_t)g_bit_nth_msf(share->ranks, -1);
		item->work_ms = take_whole_ms_(&share->unreported_work_ms);
		item->asked_ms = take_whole_ms_(&share->unreported_asked_ms);
		count++;
	}
	return count;
}

static void count_asked_(struct bw_fair_shares *shares,
			 struct bw_fair_share *share,
			 struct bw_fair_ticket *ticket, double asked_ms,
			 struct bw_time now)
{
	struct bw_fair_total *total = &shares->totals[ticket->rank];

	fair_decay_share(share, now);
	decay_total_(total, now);
	share->asked_ms = MAX(share->asked_ms + asked_ms, 0.0);
	total->asked_ms = MAX(total->asked_ms + asked_ms, 0.0);
	share->unreported_asked_ms += asked_ms;
}

static void count_work_(struct bw_fair_shares *shares,
			struct bw_fair_share *share,
			const struct bw_fair_ticket *ticket, double work_ms,
			struct bw_time now)
{
	struct bw_fair_total *total = &shares->totals[ticket->rank];

	fair_decay_share(share, now);
	decay_total_(total, now);
	share->work_ms = MAX(share->work_ms + work_ms, 0.0);
	total->work_ms = MAX(total->work_ms + work_ms, 0.0);
	share->unreported_work_ms += work_ms;
}

/*
 * Returns the work of a customer divided by what it is entitled to.
 * @param job_ms usual work of a job of the service
 */
static double level_(struct bw_fair_shares *shares, struct bw_fair_share *share,
		     uint32_t rank, double job_ms, struct bw_time now)
{
	struct bw_fair_rate others;
	struct room room;
	double used_per_s;
	double asked_per_s;
	double entitled_per_s;

	measure_room_(shares, rank, now, &room);
	if (room.customers < 2.0)
		return 0.0;
	others = other_hosts_(shares, share, &room, now);
	used_per_s = fair_rate_per_s(share->work_ms + share->waiting_ms) +
		     others.work_ms_per_s;
	asked_per_s = fair_rate_per_s(share->asked_ms) + others.asked_ms_per_s;
	entitled_per_s = MAX(room.work_ms_per_s / room.customers,
			     fair_rate_per_s(JOBS_MIN * job_ms));
	entitled_per_s =
		MAX(entitled_per_s,
		    FAIR_FLOOR_FRACTION * room.served_fraction * asked_per_s);
	return MIN(used_per_s / entitled_per_s, LEVEL_MAX);
}

static void measure_room_(struct bw_fair_shares *shares, uint32_t rank,
			  struct bw_time now, struct room *room)
{
	const struct bw_fair_total *total = &shares->totals[rank];

	decay_total_(&shares->totals[rank], now);
	room->work_ms_per_s = fair_rate_per_s(total->work_ms);
	room->asked_ms_per_s = fair_rate_per_s(total->asked_ms);
	room->customers = total->customers;
	if (fair_is_fresh(shares->fleet_at, now) && shares->active)
		add_other_hosts_(shares, rank, now, room);
	room->served_fraction = 1.0;
	if (room->asked_ms_per_s > room->work_ms_per_s)
		room->served_fraction =
			room->work_ms_per_s / room->asked_ms_per_s;
}

/*
 * Adds the work at other hosts. It is known for all ranks together, and divided
 * like that of this host. If they do not tell what was asked for, they are
 * taken to serve the same part of it.
 */
static void add_other_hosts_(struct bw_fair_shares *shares, uint32_t rank,
			     struct bw_time now, struct room *room)
{
	const struct bw_fair_rate *others = &shares->others;
	double own_asked_per_s = total_rate_(shares, now).asked_ms_per_s;
	double part = 1.0;
	double customers = (double)shares->fleet_customers *
			   shares->totals[rank].customers / shares->active;

	if (own_asked_per_s > 0.0)
		part = room->asked_ms_per_s / own_asked_per_s;
	if (others->asked_ms_per_s > 0.0)
		room->asked_ms_per_s += part * others->asked_ms_per_s;
	else if (room->work_ms_per_s > 0.0)
		room->asked_ms_per_s += room->asked_ms_per_s * part *
					others->work_ms_per_s /
					room->work_ms_per_s;
	room->work_ms_per_s += part * others->work_ms_per_s;
	room->customers = MAX(room->customers, customers);
}

static struct bw_fair_rate total_rate_(struct bw_fair_shares *shares,
				       struct bw_time now)
{
	struct bw_fair_rate rate = { 0 };
	int i;

	for (i = 0; i < BW_FAIR_RANKS; i++) {
		decay_total_(&shares->totals[i], now);
		rate.work_ms_per_s +=
			fair_rate_per_s(shares->totals[i].work_ms);
		rate.asked_ms_per_s +=
			fair_rate_per_s(shares->totals[i].asked_ms);
	}
	return rate;
}

/*
 * Returns the work of a customer at other hosts. If they do not tell what it
 * asked for there, it is taken to be served there like here.
 */
static struct bw_fair_rate other_hosts_(const struct bw_fair_shares *shares,
					const struct bw_fair_share *share,
					const struct room *room,
					struct bw_time now)
{
	struct bw_fair_rate others = share->others;
	double ratio = 1.0;

	if (!fair_is_fresh(share->fleet_at, now) ||
	    !fair_is_fresh(shares->fleet_at, now)) {
		memset(&others, 0, sizeof(others));
		return others;
	}
	if (others.asked_ms_per_s > 0.0)
		return others;
	if (share->work_ms > 0.0)
		ratio = MAX(share->asked_ms / share->work_ms, 1.0);
	else if (room->served_fraction > 0.0)
		ratio = 1.0 / room->served_fraction;
	others.asked_ms_per_s = ratio * others.work_ms_per_s;
	return others;
}

bool fair_is_fresh(struct bw_time set_at, struct bw_time now)
{
	return set_at.ms && bw_time_diff_ms(now, set_at) < FLEET_STALE_MS;
}

static void decay_total_(struct bw_fair_total *total, struct bw_time now)
{
	double factor;

	if (total->decayed_at.ms == now.ms)
		return;
	/* Most ranks have no jobs. */
	if (total->work_ms <= 0.0 && total->asked_ms <= 0.0) {
		total->decayed_at = now;
		return;
	}
	factor = fair_decay(total->decayed_at, now);
	total->work_ms *= factor;
	total->asked_ms *= factor;
	total->decayed_at = now;
}

double fair_rate_per_s(double sum_ms)
{
	return 1000.0 * sum_ms / FAIR_WINDOW_MS;
}

/* A correction may have made the sum negative; that counts later. */
static uint64_t take_whole_ms_(double *sum_ms)
{
	double whole_ms = floor(MAX(*sum_ms, 0.0));

	*sum_ms -= whole_ms;
	return (uint64_t)whole_ms;
}
