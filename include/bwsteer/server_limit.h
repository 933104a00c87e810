/**
 * @file
 * Limit of the requests that a backend server takes from all hosts together.
 * Each host uses a share of it, by a token bucket: the rate is the share, and a
 * token that is not used expires, so that hosts that were idle do not send
 * their saved tokens at the same time. The module has no clock.
 *
 * Load: the shares of all hosts add up to 1.2 times the limit, and a token
 * lives for 1 s. In any 4 s a server gets at most the tokens of 5 s, which is
 * one and a half times its limit.
 */
#ifndef BWSTEER_SERVER_LIMIT_H
#define BWSTEER_SERVER_LIMIT_H

#include <stdbool.h>

#include "bwbase/clock.h"

/**
 * Lowest limit that is kept. A server gets a few requests however low its limit
 * is, because only an answer shows that the limit has ended.
 */
#define BW_SERVER_LIMIT_MIN_PER_S 0.5

/** Limit of one server as one host keeps it. */
struct bw_server_limit {
	double limit_per_s; /**< named by the server; 0: none */
	double share; /**< fraction of it that this host may use */
	double tokens;
	struct bw_time refilled;
	struct bw_time full_since; /**< tokens has been 1 since then */
};

/**
 * Notes the limit in an answer of the server.
 * @param limit_per_s 0: none
 * @param phase random, from 0 to 1: part of the first token, so that the tokens
 *	of hosts don't become complete at the same time
 * @return whether it has changed
 */
bool bw_server_limit_set(struct bw_server_limit *limit, double limit_per_s,
			 double phase, struct bw_time now);

/** Sets the share of this host, from 0 to 1. */
void bw_server_limit_share(struct bw_server_limit *limit, double share,
			   struct bw_time now);

/** Returns whether a request may be sent now. */
bool bw_server_limit_allows(struct bw_server_limit *limit, struct bw_time now);

/** Counts a request that is sent. */
void bw_server_limit_use(struct bw_server_limit *limit, struct bw_time now);

/**
 * Returns the expected wait of a request behind others that wait for the same
 * server at this host, in ms.
 * @param ahead requests that go before it
 */
double bw_server_limit_wait_ms(const struct bw_server_limit *limit,
			       uint32_t ahead);

/** Returns the limit that all hosts keep together; 0: none. */
double bw_server_limit_kept_per_s(const struct bw_server_limit *limit);

/** Returns the requests per second that this host may send; 0: no limit. */
double bw_server_limit_rate_per_s(const struct bw_server_limit *limit);

#endif
