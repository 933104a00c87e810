#include "bwsteer/server_limit.h"

#include <glib.h>

/** Life of a token. */
#define TOKEN_LIFE_MS 1000

/** Longest wait that is reported. */
#define WAIT_MAX_MS 60000.0

static void refill_(struct bw_server_limit *limit, struct bw_time now);

bool bw_server_limit_set(struct bw_server_limit *limit, double limit_per_s,
			 double phase, struct bw_time now)
{
	bool changed = limit->limit_per_s != limit_per_s;

	refill_(limit, now);
	if (limit->limit_per_s <= 0.0)
		limit->tokens = phase;
	limit->limit_per_s = limit_per_s;
	return changed;
}

void bw_server_limit_share(struct bw_server_limit *limit, double share,
			   struct bw_time now)
{
	refill_(limit, now);
	limit->share = share;
}

bool bw_server_limit_allows(struct bw_server_limit *limit, struct bw_time now)
{
	if (limit->limit_per_s <= 0.0)
		return true;
	refill_(limit, now);
	return limit->tokens >= 1.0;
}

void bw_server_limit_use(struct bw_server_limit *limit, struct bw_time now)
{
	if (limit->limit_per_s <= 0.0)
		return;
	refill_(limit, now);
	limit->tokens -= 1.0;
}

double bw_server_limit_wait_ms(const struct bw_server_limit *limit,
			       uint32_t ahead)
{
	double rate_per_s = bw_server_limit_rate_per_s(limit);
	double missing = (double)ahead + 1.0 - limit->tokens;

	if (limit->limit_per_s <= 0.0 || missing <= 0.0)
		return 0.0;
	if (rate_per_s * WAIT_MAX_MS <= 1000.0 * missing)
		return WAIT_MAX_MS;
	return 1000.0 * missing / rate_per_s;
}

double bw_server_limit_rate_per_s(const struct bw_server_limit *limit)
{
	return bw_server_limit_kept_per_s(limit) * limit->share;
}

double bw_server_limit_kept_per_s(const struct bw_server_limit *limit)
{
	if (limit->limit_per_s > 0.0 &&
	    limit->limit_per_s < BW_SERVER_LIMIT_MIN_PER_S)
		return BW_SERVER_LIMIT_MIN_PER_S;
	return limit->limit_per_s;
}

/*
 * Keeps the tokens of the last seconds. A host whose rate gives less than one
 * in that time keeps one token as long, and then begins the next one.
 */
static void refill_(struct bw_server_limit *limit, struct bw_time now)
{
	double age_s = (double)bw_time_diff_ms(now, limit->refilled) / 1000.0;

	double rate_per_s = bw_server_limit_rate_per_s(limit);
	double tokens_max = rate_per_s * TOKEN_LIFE_MS / 1000.0;

	limit->refilled = now;
	if (limit->limit_per_s <= 0.0 || age_s <= 0.0)
		return;
	if (limit->tokens < 1.0)
		limit->full_since = now;
	limit->tokens += age_s * rate_per_s;
	if (tokens_max >= 1.0) {
		limit->tokens = MIN(limit->tokens, tokens_max);
		return;
	}
	limit->tokens = MIN(limit->tokens, 1.0);
	if (limit->tokens >= 1.0 &&
	    bw_time_diff_ms(now, limit->full_since) > TOKEN_LIFE_MS)
		limit->tokens = 0.0;
}
