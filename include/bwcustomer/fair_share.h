/**
 * @file
 * Fair shares of customers in the room of backend servers. It handles a load
 * of one customer that leaves too little room for the others: waiting jobs of
 * one rank are ordered by the work (time at servers) that their customers have
 * caused lately, not by arrival alone, and the jobs of the customer furthest
 * beyond its share are the first that find no room.
 *
 * The level of a customer is its work divided by what it is entitled to: an
 * equal share of the work of all customers of the rank, or, if that is more, a
 * fixed fraction of what it asks for, which keeps a large customer from being
 * starved. A job is stamped with its position when it comes: its arrival plus a
 * delay that grows with the level.
 *
 * All sums are of the last seconds, by exponential decay. The table has a fixed
 * size; a customer without recent work is forgotten. Each call takes constant
 * time. The module reads no clock and opens no sockets.
 */
#ifndef BWCUSTOMER_FAIR_SHARE_H
#define BWCUSTOMER_FAIR_SHARE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bwbase/clock.h"
#include "bwbase/status.h"

/** Ranks that are told apart; less urgent ones count as the last. */
#define BW_FAIR_RANKS 8

/** Maximum number of customers that a table holds. */
#define BW_FAIR_CUSTOMERS_MAX 4096

/** What one job has been counted for; zero before the first call. */
struct bw_fair_ticket {
	uint64_t customer_hash; /**< 0: no customer */
	uint32_t rank;
	bool stamped;
	bool waiting; /**< counted as waiting */
	bool counted; /**< part of the sums below; false without customers */
	int64_t order_ms; /**< position in a queue; constant once stamped */
	double level; /**< of its customer when it came; 1: at its share */
	double usual_ms; /**< work of a job of its service */
	double estimate_ms; /**< expected work, counted as asked for */
	double charged_ms; /**< work charged when it was sent */
};

/** Work of a customer, or of all. */
struct bw_fair_rate {
	double work_ms_per_s; /**< time at servers */
	double asked_ms_per_s; /**< time at servers that its jobs would have
				  taken, had all run; 0: unknown */
};

/** Work of one customer at this host since the last report. */
struct bw_fair_report {
	uint64_t customer_hash;
	uint32_t rank; /**< least urgent one of its recent jobs */
	uint64_t work_ms;
	uint64_t asked_ms;
};

struct bw_fair_share;

/** Work of all customers of a rank. */
struct bw_fair_total {
	double work_ms; /**< decayed sums */
	double asked_ms;
	struct bw_time decayed_at;
	uint32_t customers; /**< customers with recent jobs */
	uint64_t work_sum_ms; /**< never decreases */
};

/**
 * Limit on the customers of a rank that are beyond their share at all hosts
 * together, which gives way to customers below it at other hosts.
 */
struct bw_fair_pace {
	double level_max; /**< a customer may use up to this level; 0: any */
	double missing_ms_per_s; /**< in the current round of news: work that
				    customers below their share did not get */
	double level_seen; /**< highest level in the current round */
};

/** Shares of all customers at one host. */
struct bw_fair_shares {
	struct bw_fair_share *table; /**< NULL before the first customer */
	uint32_t newest; /**< list of customers with recent jobs: index plus 1;
			    0: none */
	uint32_t oldest;
	uint32_t active; /**< length of that list */
	struct bw_fair_total totals[BW_FAIR_RANKS];
	struct bw_fair_rate others; /**< of all customers at other hosts */
	uint32_t fleet_customers; /**< with recent work at any host */
	struct bw_time fleet_at; /**< 0 ms: never */
	double fleet_share_ms_per_s; /**< equal share at all hosts */
	double fleet_served_fraction; /**< part that runs of what all ask for */
	struct bw_fair_pace paces[BW_FAIR_RANKS];
};

/** Initialises the module. It allocates the table with the first customer. */
void bw_fair_shares_init(struct bw_fair_shares *shares);

/** Frees the module. */
void bw_fair_shares_finish(struct bw_fair_shares *shares);

/**
 * Counts a job that comes, and stamps its position. Without effect on a ticket
 * of the same customer and rank that has been stamped, as when a job is placed
 * once more. While no job has had a customer, the position is the arrival.
 * @param expected_ms usual work of a job of its service; 0: unknown
 */
void bw_fair_share_ask(struct bw_fair_shares *shares,
		       struct bw_fair_ticket *ticket, uint64_t customer_hash,
		       uint32_t rank, double expected_ms,
		       struct bw_time arrived, struct bw_time now);

/** Counts a job that waits, so that later ones of its customer go behind it. */
void bw_fair_share_wait(struct bw_fair_shares *shares,
			struct bw_fair_ticket *ticket);

/** Reverts bw_fair_share_wait. Without effect on a job that does not wait. */
void bw_fair_share_leave(struct bw_fair_shares *shares,
			 struct bw_fair_ticket *ticket);

/** Charges the expected work of a job that is sent. */
void bw_fair_share_send(struct bw_fair_shares *shares,
			struct bw_fair_ticket *ticket, struct bw_time now);

/**
 * Corrects the charge of a job that has ended.
 * @param work_ms time at the server; 0 if it did not run
 */
void bw_fair_share_end(struct bw_fair_shares *shares,
		       struct bw_fair_ticket *ticket, double work_ms,
		       struct bw_time now);

/** Returns whether a job's customer was beyond its share when the job came. */
bool bw_fair_share_is_beyond(const struct bw_fair_ticket *ticket);

/**
 * Returns after how long the customer of a job is back at its share if it sends
 * nothing until then.
 */
double bw_fair_share_return_ms(const struct bw_fair_ticket *ticket);

/** Returns whether customers share the room of this host at present. */
bool bw_fair_shares_active(struct bw_fair_shares *shares, struct bw_time now);

/**
 * Returns whether a job gives way, because its customer is beyond its share at
 * all hosts together and customers below theirs lack room at any host. The
 * caller sends it nevertheless to a server that has room to spare.
 */
bool bw_fair_share_gives_way(struct bw_fair_shares *shares,
			     const struct bw_fair_ticket *ticket,
			     struct bw_time now);

/**
 * Returns the expected wait of a job behind the waiting jobs of its customer
 * that give way; 0 if they need not.
 */
double bw_fair_share_wait_ms(struct bw_fair_shares *shares,
			     const struct bw_fair_ticket *ticket,
			     struct bw_time now);

/**
 * Sets the recent work of a customer at all hosts. It counts for a few seconds;
 * without news the shares are those of this host alone.
 * @param rank least urgent one of its jobs
 */
void bw_fair_share_set_fleet(struct bw_fair_shares *shares,
			     uint64_t customer_hash, uint32_t rank,
			     const struct bw_fair_rate *rate,
			     struct bw_time now);

/**
 * Sets the recent work of all customers at all hosts; called after
 * bw_fair_share_set_fleet for each customer of the news.
 * @param customers number of customers with recent work
 */
void bw_fair_share_set_fleet_total(struct bw_fair_shares *shares,
				   const struct bw_fair_rate *rate,
				   uint32_t customers, struct bw_time now);

/**
 * The same for news without sums: takes those of the customers with recent jobs
 * here. Called at regular intervals, after bw_fair_share_set_fleet.
 */
void bw_fair_share_sum_fleet(struct bw_fair_shares *shares, struct bw_time now);

/**
 * Lists the work since the last report. Customers that do not fit stay for the
 * next one.
 * @return number of items
 */
size_t bw_fair_share_take_report(struct bw_fair_shares *shares,
				 struct bw_fair_report *items,
				 size_t items_max);

#endif
