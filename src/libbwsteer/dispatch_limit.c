/*
 * Shares of the hosts in the limits that servers name. All hosts compute them
 * from the demand that they exchange anyway, without a message per request.
 */
#include "private/dispatch.h"

/**
 * Part of a limit that is divided by the planned flow of requests. The other
 * part is divided equally, so that each host can send some requests and notices
 * the end of a limit.
 */
#define FLOW_FRACTION 1.1
#define EQUAL_FRACTION 0.1

static bool has_limit_(const struct bw_dispatch_service *service);

double dispatch_usable_slots(const struct bw_target *target)
{
	double service_time_ms = target->service->service_time_ms;
	double usable;

	if (target->limit.limit_per_s <= 0.0 || service_time_ms <= 0.0)
		return target->slots;
	usable = bw_server_limit_kept_per_s(&target->limit) * service_time_ms /
		 1000.0;
	return MIN(usable, (double)target->slots);
}

/*
 * The share of a host is that of its domain in the flow of requests to the
 * server's domain, divided by the hosts of its own domain.
 */
void dispatch_share_limits(struct bw_dispatch *dispatch,
			   struct bw_dispatch_service *service,
			   struct bw_time now)
{
	struct bw_spread_domain domains[BW_SPREAD_DOMAINS_MAX];
	double fractions[BW_SPREAD_DOMAINS_MAX];
	double own_flows[BW_SPREAD_DOMAINS_MAX] = { 0 };
	double flows[BW_SPREAD_DOMAINS_MAX] = { 0 };
	uint32_t count = dispatch->domain_count;
	uint32_t i;
	uint32_t k;

	if (!has_limit_(service) || !count)
		return;
	dispatch_fill_domains(dispatch, service, domains);
	for (i = 0; i < count; i++) {
		dispatch_spread(dispatch, service, domains, i, fractions);
		for (k = 0; k < count; k++) {
			double flow = domains[i].demand_slots * fractions[k];

			flows[k] += flow;
			if (i == dispatch->own_domain)
				own_flows[k] = flow;
		}
	}
	for (i = 0; i < service->targets->len; i++) {
		struct bw_target *target = service->targets->pdata[i];
		double flow = flows[target->domain];
		double share = EQUAL_FRACTION / MAX(dispatch->host_count, 1U);

		if (target->limit.limit_per_s <= 0.0)
			continue;
		if (flow > 0.0)
			share += FLOW_FRACTION * own_flows[target->domain] /
				 flow / MAX(dispatch->peer_count, 1U);
		bw_server_limit_share(&target->limit, share, now);
	}
}

double dispatch_limits_wait_ms(const struct bw_job *job, uint32_t ahead)
{
	const GPtrArray *targets = job->service->targets;
	double rate_per_s = 0.0;
	double tokens = 0.0;
	uint32_t i;

	for (i = 0; i < targets->len; i++) {
		const struct bw_target *target = targets->pdata[i];

		if (!dispatch_is_allowed(job, target))
			continue;
		if (target->limit.limit_per_s <= 0.0)
			return 0.0;
		rate_per_s += bw_server_limit_rate_per_s(&target->limit);
		tokens += MAX(target->limit.tokens, 0.0);
	}
	if (rate_per_s <= 0.0 || ahead <= tokens)
		return 0.0;
	return 1000.0 * (ahead - tokens) / rate_per_s;
}

static bool has_limit_(const struct bw_dispatch_service *service)
{
	uint32_t i;

	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->limit.limit_per_s > 0.0)
			return true;
	}
	return false;
}
