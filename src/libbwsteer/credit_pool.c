#include <stdlib.h>
#include <string.h>

#include "private/credit_internal.h"

/*
 * Minimum time left of a commitment that backs a new grant. A grant ends with
 * the commitments that back it and must last until its renewal.
 */
#define COMMITMENT_MIN_MS (BW_CREDIT_RENEW_MS + 100)

/* A host's minimum share is an equal share of the pool divided by this. */
#define MIN_SHARE_DIVISOR 4

/* Slots of one service that the aggregator may grant. */
struct pool {
	int64_t slots; /* that may be granted; can be negative */
	int64_t used_by_others; /* slots that the other members may be using */
	uint32_t member_count; /* the requesting host and the lenders */
	uint32_t requester; /* index of the requesting host */
	uint32_t demand[BW_CREDIT_HOSTS_MAX]; /* slots, by member */
};

static enum bw_status find_host_(struct bw_credit *credit, const char *name,
				 uint64_t incarnation, struct bw_time now,
				 struct bw_credit_host **found);
static struct bw_credit_account *
find_account_(const struct bw_credit_host *host, const char *service);
static enum bw_status set_accounts_(struct bw_credit *credit,
				    struct bw_credit_host *host,
				    const struct bw_credit_request *request);
static void confirm_grant_(const struct bw_credit *credit,
			   struct bw_credit_host *host,
			   const struct bw_credit_request *request,
			   struct bw_time now);
static int64_t max_granted_(const struct bw_credit_host *host,
			    const struct bw_credit_account *account,
			    struct bw_time now);
static bool lends_fallback_(const struct bw_credit_host *host,
			    const struct bw_credit_account *account,
			    struct bw_time now);
static void fill_pool_(const struct bw_credit *credit,
		       const struct bw_credit_host *requester,
		       const struct bw_credit_service *service,
		       struct bw_time now, struct pool *pool);
static int64_t fair_share_(const struct pool *pool);
static int64_t water_level_(const struct pool *pool, int64_t min_share,
			    int64_t slots);
static int64_t unmet_demand_(const struct pool *pool, uint32_t host,
			     int64_t min_share, int64_t level);
static int64_t grant_valid_ms_(const struct bw_credit *credit,
			       const struct bw_credit_host *requester,
			       struct bw_time now);
static void issue_grant_(struct bw_credit *credit, struct bw_credit_host *host,
			 struct bw_time now, struct bw_credit_grant *grant);

enum bw_status bw_credit_handle_request(struct bw_credit *credit,
					const char *host_name,
					uint64_t incarnation,
					const struct bw_credit_request *request,
					struct bw_time now,
					struct bw_credit_grant *grant)
{
	struct bw_credit_host *host;
	enum bw_status status;

	status = find_host_(credit, host_name, incarnation, now, &host);
	if (status != BW_OK)
		return status;
	confirm_grant_(credit, host, request, now);
	status = set_accounts_(credit, host, request);
	if (status != BW_OK)
		return status;
	grant->request_seq = request->seq;
	grant->host_incarnation = incarnation;
	issue_grant_(credit, host, now, grant);
	return BW_OK;
}

void bw_credit_expire(struct bw_credit *credit, struct bw_time now)
{
	uint32_t i;

	for (i = 0; i < credit->service_count; i++) {
		if (!credit->services[i].changed)
			continue;
		credit->services[i].changed = false;
		credit->services[i].remainder_from = bw_time_add(
			now, bw_credit_add_drift(BW_CREDIT_LEASE_MS));
	}
	i = 0;
	while (i < credit->host_count) {
		struct bw_credit_host *host = &credit->hosts[i];

		if (!bw_time_reached(now, host->grant_end) ||
		    !bw_time_reached(now, host->commit_end)) {
			i++;
			continue;
		}
		free(host->accounts);
		credit->host_count--;
		*host = credit->hosts[credit->host_count];
	}
}

/* Rejects a new incarnation until the account of the old one expires. */
static enum bw_status find_host_(struct bw_credit *credit, const char *name,
				 uint64_t incarnation, struct bw_time now,
				 struct bw_credit_host **found)
{
	struct bw_credit_host *hosts;
	uint32_t i;

	bw_credit_expire(credit, now);
	for (i = 0; i < credit->host_count; i++) {
		if (strcmp(credit->hosts[i].name, name) != 0)
			continue;
		*found = &credit->hosts[i];
		return (*found)->incarnation == incarnation ? BW_OK : BW_ESTALE;
	}
	if (credit->host_count == BW_CREDIT_HOSTS_MAX)
		return BW_EFULL;
	hosts = realloc(credit->hosts,
			(credit->host_count + 1) * sizeof(*hosts));
	if (!hosts)
		return BW_ENOMEM;
	credit->hosts = hosts;
	*found = &hosts[credit->host_count];
	memset(*found, 0, sizeof(**found));
	if (!bw_name_set((*found)->name, name))
		return BW_EINVAL;
	(*found)->incarnation = incarnation;
	/*
	 * Grant numbers must not repeat when an expired account is created
	 * again, so they start from the time.
	 */
	(*found)->seq = (uint64_t)now.ms << 16;
	(*found)->grant_end = now;
	(*found)->commit_end = now;
	credit->host_count++;
	return BW_OK;
}

static struct bw_credit_account *
find_account_(const struct bw_credit_host *host, const char *service)
{
	uint32_t i;

	for (i = 0; i < host->account_count; i++) {
		if (!strcmp(host->accounts[i].name, service))
			return &host->accounts[i];
	}
	return NULL;
}

/* Adds and updates accounts; they are freed only with the host's account. */
static enum bw_status set_accounts_(struct bw_credit *credit,
				    struct bw_credit_host *host,
				    const struct bw_credit_request *request)
{
	const struct bw_credit_service *service;
	struct bw_credit_account *account;
	uint32_t i, max_fallback;

	for (i = 0; i < request->count; i++) {
		account = find_account_(host, request->services[i].name);
		if (!account) {
			if (host->account_count == BW_CREDIT_SERVICES_MAX)
				return BW_EFULL;
			account = realloc(host->accounts,
					  (host->account_count + 1) *
						  sizeof(*account));
			if (!account)
				return BW_ENOMEM;
			host->accounts = account;
			account += host->account_count++;
			memset(account, 0, sizeof(*account));
			memcpy(account->name, request->services[i].name,
			       BW_NAME_MAX);
		}
		service = bw_credit_find_service(credit, account->name);
		max_fallback = service ? bw_credit_fallback_share(
						 credit, service->slots)
				       : 0;
		account->demand = request->services[i].demand;
		account->fallback = request->services[i].fallback < max_fallback
					    ? request->services[i].fallback
					    : max_fallback;
	}
	return BW_OK;
}

/*
 * Handles the confirmation in a request that names the latest grant. Earlier
 * grants become void, and the host is committed for one lease, counted from
 * when the latest grant was sent.
 */
static void confirm_grant_(const struct bw_credit *credit,
			   struct bw_credit_host *host,
			   const struct bw_credit_request *request,
			   struct bw_time now)
{
	struct bw_time end;
	uint32_t i;

	if (request->aggregator_incarnation != credit->config.incarnation ||
	    request->applied_seq != host->seq ||
	    host->confirmed_seq == host->seq)
		return;
	end = bw_time_add(host->grant_sent,
			  bw_credit_subtract_drift(BW_CREDIT_LEASE_MS));
	if (bw_time_reached(now, end))
		return;
	host->confirmed_seq = host->seq;
	host->commit_end = end;
	for (i = 0; i < host->account_count; i++) {
		struct bw_credit_account *account = &host->accounts[i];

		account->committed = account->in_latest_grant;
		account->confirmed_slots =
			account->in_latest_grant ? account->latest_slots : 0;
		account->pending_slots = 0;
	}
}

/* Returns the most slots that the host may use under its grants. */
static int64_t max_granted_(const struct bw_credit_host *host,
			    const struct bw_credit_account *account,
			    struct bw_time now)
{
	int64_t granted = account->confirmed_slots > account->pending_slots
				  ? account->confirmed_slots
				  : account->pending_slots;

	if (bw_time_reached(now, host->grant_end) &&
	    granted > account->fallback)
		granted = account->fallback;
	return granted;
}

/* Returns whether the host's fallback share may be granted to others. */
static bool lends_fallback_(const struct bw_credit_host *host,
			    const struct bw_credit_account *account,
			    struct bw_time now)
{
	return account->committed &&
	       bw_time_diff_ms(host->commit_end, now) >= COMMITMENT_MIN_MS;
}

static void fill_pool_(const struct bw_credit *credit,
		       const struct bw_credit_host *requester,
		       const struct bw_credit_service *service,
		       struct bw_time now, struct pool *pool)
{
	uint32_t fallback = bw_credit_fallback_share(credit, service->slots);
	uint32_t hosts = credit->live_host_count > credit->config.host_count
				 ? credit->live_host_count
				 : credit->config.host_count;
	uint32_t i;

	memset(pool, 0, sizeof(*pool));
	for (i = 0; i < credit->host_count; i++) {
		const struct bw_credit_host *host = &credit->hosts[i];
		const struct bw_credit_account *account =
			find_account_(host, service->name);
		int64_t granted;

		if (!account)
			continue;
		granted = max_granted_(host, account, now);
		if (host != requester && !lends_fallback_(host, account, now)) {
			if (granted > account->fallback)
				pool->slots -= granted - account->fallback;
			continue;
		}
		pool->slots += account->fallback;
		if (host == requester)
			pool->requester = pool->member_count;
		else
			pool->used_by_others += granted;
		pool->demand[pool->member_count++] = account->demand;
	}
	/*
	 * Hosts may use larger fallback shares for one lease after a change of
	 * capacity. The remainder left by rounding is not granted until then.
	 */
	if (2 * pool->member_count > hosts &&
	    bw_time_reached(now, service->remainder_from))
		pool->slots += service->slots - (int64_t)fallback * hosts;
}

/*
 * Returns the requesting host's max-min fair share by demand, with a minimum
 * share for every host.
 */
static int64_t fair_share_(const struct pool *pool)
{
	int64_t slots = pool->slots > 0 ? pool->slots : 0;
	int64_t members = pool->member_count;
	int64_t min_share = slots / (MIN_SHARE_DIVISOR * members);
	int64_t level, share, assigned = 0, earlier_unmet_count = 0;
	uint32_t i;

	if (!min_share && slots >= members)
		min_share = 1;
	slots -= min_share * members;
	level = water_level_(pool, min_share, slots);
	for (i = 0; i < pool->member_count; i++) {
		assigned += unmet_demand_(pool, i, min_share, level);
		/* Hosts with unmet demand share the remainder. */
		if (i < pool->requester &&
		    unmet_demand_(pool, i, min_share, level + 1) > level)
			earlier_unmet_count++;
	}
	share = min_share +
		unmet_demand_(pool, pool->requester, min_share, level);
	slots -= assigned;
	if (unmet_demand_(pool, pool->requester, min_share, level + 1) > level)
		return share + (earlier_unmet_count < slots ? 1 : 0);
	for (i = 0; i < pool->member_count; i++)
		slots -= unmet_demand_(pool, i, min_share, level + 1) > level
				 ? 1
				 : 0;
	if (slots <= 0)
		return share;
	return share + slots / members +
	       (pool->requester < slots % members ? 1 : 0);
}

/*
 * Returns the largest level at which the slots suffice for the unmet demand of
 * all hosts, with each host's part capped at the level (water filling).
 */
static int64_t water_level_(const struct pool *pool, int64_t min_share,
			    int64_t slots)
{
	int64_t low = 0, high = slots, middle, sum;
	uint32_t i;

	while (low < high) {
		middle = (low + high + 1) / 2;
		sum = 0;
		for (i = 0; i < pool->member_count; i++)
			sum += unmet_demand_(pool, i, min_share, middle);
		if (sum <= slots)
			low = middle;
		else
			high = middle - 1;
	}
	return low;
}

/* Returns the host's demand above the minimum share, capped at level. */
static int64_t unmet_demand_(const struct pool *pool, uint32_t host,
			     int64_t min_share, int64_t level)
{
	int64_t unmet = (int64_t)pool->demand[host] - min_share;

	if (unmet <= 0)
		return 0;
	return unmet < level ? unmet : level;
}

/*
 * Returns the validity of a grant: one lease, but no longer than any of the
 * commitments that back it.
 */
static int64_t grant_valid_ms_(const struct bw_credit *credit,
			       const struct bw_credit_host *requester,
			       struct bw_time now)
{
	int64_t valid_ms = BW_CREDIT_LEASE_MS;
	int64_t left_ms;
	uint32_t i;

	for (i = 0; i < credit->host_count; i++) {
		const struct bw_credit_host *host = &credit->hosts[i];

		if (host == requester)
			continue;
		left_ms = bw_time_diff_ms(host->commit_end, now);
		if (left_ms >= COMMITMENT_MIN_MS && left_ms < valid_ms)
			valid_ms = left_ms;
	}
	return valid_ms;
}

static void issue_grant_(struct bw_credit *credit, struct bw_credit_host *host,
			 struct bw_time now, struct bw_credit_grant *grant)
{
	const struct bw_credit_service *service;
	struct bw_credit_account *account;
	struct bw_time grant_end;
	struct pool pool;
	int64_t slots;
	uint32_t i;

	grant->valid_ms = (uint32_t)grant_valid_ms_(credit, host, now);
	grant->count = 0;
	for (i = 0; i < host->account_count; i++) {
		account = &host->accounts[i];
		service = bw_credit_find_service(credit, account->name);
		account->in_latest_grant = service != NULL;
		if (!service)
			continue;
		fill_pool_(credit, host, service, now, &pool);
		slots = fair_share_(&pool);
		if (slots > pool.slots - pool.used_by_others)
			slots = pool.slots - pool.used_by_others;
		account->latest_slots = slots > 0 ? (uint32_t)slots : 0;
		if (account->latest_slots > account->pending_slots)
			account->pending_slots = account->latest_slots;
		memcpy(grant->services[grant->count].name, account->name,
		       BW_NAME_MAX);
		grant->services[grant->count].slots = account->latest_slots;
		grant->count++;
	}
	host->seq++;
	host->grant_sent = now;
	grant->seq = host->seq;
	grant_end = bw_time_add(now, grant->valid_ms);
	if (bw_time_diff_ms(grant_end, host->grant_end) > 0)
		host->grant_end = grant_end;
}
