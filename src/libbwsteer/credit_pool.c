#include <stdlib.h>
#include <string.h>

#include "private/credit_internal.h"

/*
 * A commitment with less time left than this backs no further grant. A grant
 * ends with the commitments behind it and must last until its renewal.
 */
#define COMMITMENT_MIN_MS (BW_CREDIT_RENEW_MS + 100)

/* A host keeps at least this part of an even division of the pool. */
#define FLOOR_DIVISOR 4

/** Slots of one service that the aggregator may grant. */
struct pool {
	int64_t slots; /* of all hosts that take part */
	int64_t bound; /* slots that the other hosts may be using */
	uint32_t members; /* hosts that take part, the asking one included */
	uint32_t position; /* of the requesting host among them */
	uint32_t demand[BW_CREDIT_HOSTS_MAX];
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
static int64_t water_level_(const struct pool *pool, int64_t floor,
			    int64_t slots);
static int64_t unmet_demand_(const struct pool *pool, uint32_t host,
			     int64_t floor, int64_t level);
static int64_t use_ms_(const struct bw_credit *credit,
		       const struct bw_credit_host *requester,
		       struct bw_time now);
static void issue_grant_(struct bw_credit *credit, struct bw_credit_host *host,
			 struct bw_time now, struct bw_credit_grant *grant);

enum bw_status bw_credit_answer(struct bw_credit *credit, const char *host_name,
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
	grant->nonce = request->nonce;
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
		credit->services[i].rest_from =
			bw_time_add(now, bw_credit_longer(BW_CREDIT_LEASE_MS));
	}
	i = 0;
	while (i < credit->host_count) {
		struct bw_credit_host *host = &credit->hosts[i];

		if (!bw_time_reached(now, host->use_end) ||
		    !bw_time_reached(now, host->commit_end)) {
			i++;
			continue;
		}
		free(host->accounts);
		credit->host_count--;
		*host = credit->hosts[credit->host_count];
	}
}

/* A new incarnation waits until the account of the old one has expired. */
static enum bw_status find_host_(struct bw_credit *credit, const char *name,
				 uint64_t incarnation, struct bw_time now,
				 struct bw_credit_host **found)
{
	struct bw_credit_host *grown;
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
	grown = realloc(credit->hosts,
			(credit->host_count + 1) * sizeof(*grown));
	if (!grown)
		return BW_ENOMEM;
	credit->hosts = grown;
	*found = &grown[credit->host_count];
	memset(*found, 0, sizeof(**found));
	if (!bw_name_set((*found)->name, name))
		return BW_EINVAL;
	(*found)->incarnation = incarnation;
	/* Grant numbers increase across all accounts of this aggregator. */
	(*found)->seq = (uint64_t)now.ms << 16;
	(*found)->use_end = now;
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

/* Accounts are added but not removed before the account of the host expires. */
static enum bw_status set_accounts_(struct bw_credit *credit,
				    struct bw_credit_host *host,
				    const struct bw_credit_request *request)
{
	const struct bw_credit_service *service;
	struct bw_credit_account *account;
	uint32_t i, own;

	for (i = 0; i < request->count; i++) {
		account = find_account_(host, request->wants[i].name);
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
			memcpy(account->name, request->wants[i].name,
			       BW_NAME_MAX);
		}
		service = bw_credit_find(credit, account->name);
		own = service ? bw_credit_fallback(credit, service->slots) : 0;
		account->demand = request->wants[i].demand;
		account->fallback = request->wants[i].fallback < own
					    ? request->wants[i].fallback
					    : own;
	}
	return BW_OK;
}

/*
 * A request that names the latest grant confirms it: all earlier grants are
 * void, and the host is committed for one lease from when it was sent.
 */
static void confirm_grant_(const struct bw_credit *credit,
			   struct bw_credit_host *host,
			   const struct bw_credit_request *request,
			   struct bw_time now)
{
	struct bw_time end;
	uint32_t i;

	if (request->aggregator_incarnation != credit->config.incarnation ||
	    request->applied_seq != host->seq || host->acked_seq == host->seq)
		return;
	end = bw_time_add(host->sent, bw_credit_shorter(BW_CREDIT_LEASE_MS));
	if (bw_time_reached(now, end))
		return;
	host->acked_seq = host->seq;
	host->commit_end = end;
	for (i = 0; i < host->account_count; i++) {
		struct bw_credit_account *account = &host->accounts[i];

		account->committed = account->listed;
		account->acked = account->listed ? account->latest : 0;
		account->pending = 0;
	}
}

/* Returns the most slots that the host's grants allow it to use. */
static int64_t max_granted_(const struct bw_credit_host *host,
			    const struct bw_credit_account *account,
			    struct bw_time now)
{
	int64_t held = account->acked > account->pending ? account->acked
							 : account->pending;

	if (bw_time_reached(now, host->use_end) && held > account->fallback)
		held = account->fallback;
	return held;
}

/* Returns whether the host lends its fallback share to the pool. */
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
	uint32_t fallback = bw_credit_fallback(credit, service->slots);
	uint32_t hosts = credit->living_count > credit->config.host_count
				 ? credit->living_count
				 : credit->config.host_count;
	uint32_t i;

	memset(pool, 0, sizeof(*pool));
	for (i = 0; i < credit->host_count; i++) {
		const struct bw_credit_host *host = &credit->hosts[i];
		const struct bw_credit_account *account =
			find_account_(host, service->name);
		int64_t held;

		if (!account)
			continue;
		held = max_granted_(host, account, now);
		if (host != requester && !lends_fallback_(host, account, now)) {
			if (held > account->fallback)
				pool->slots -= held - account->fallback;
			continue;
		}
		pool->slots += account->fallback;
		if (host == requester)
			pool->position = pool->members;
		else
			pool->bound += held;
		pool->demand[pool->members++] = account->demand;
	}
	/*
	 * After a change of capacity, hosts may still use larger fallback
	 * shares, so that the rest is not granted for one lease.
	 */
	if (2 * pool->members > hosts &&
	    bw_time_reached(now, service->rest_from))
		pool->slots += service->slots - (int64_t)fallback * hosts;
}

/* Returns the host's max-min fair share by demand, with a minimum per host. */
static int64_t fair_share_(const struct pool *pool)
{
	int64_t slots = pool->slots > 0 ? pool->slots : 0;
	int64_t members = pool->members;
	int64_t floor = slots / (FLOOR_DIVISOR * members);
	int64_t level, share, spent = 0, rank = 0;
	uint32_t i;

	if (!floor && slots >= members)
		floor = 1;
	slots -= floor * members;
	level = water_level_(pool, floor, slots);
	for (i = 0; i < pool->members; i++) {
		spent += unmet_demand_(pool, i, floor, level);
		/* Hosts with unmet demand share the remainder. */
		if (i < pool->position &&
		    unmet_demand_(pool, i, floor, level + 1) > level)
			rank++;
	}
	share = floor + unmet_demand_(pool, pool->position, floor, level);
	slots -= spent;
	if (unmet_demand_(pool, pool->position, floor, level + 1) > level)
		return share + (rank < slots ? 1 : 0);
	for (i = 0; i < pool->members; i++)
		slots -= unmet_demand_(pool, i, floor, level + 1) > level ? 1
									  : 0;
	if (slots <= 0)
		return share;
	return share + slots / members +
	       (pool->position < slots % members ? 1 : 0);
}

/* Largest level at which every host can have its unmet demand up to it. */
static int64_t water_level_(const struct pool *pool, int64_t floor,
			    int64_t slots)
{
	int64_t low = 0, high = slots, middle, sum;
	uint32_t i;

	while (low < high) {
		middle = (low + high + 1) / 2;
		sum = 0;
		for (i = 0; i < pool->members; i++)
			sum += unmet_demand_(pool, i, floor, middle);
		if (sum <= slots)
			low = middle;
		else
			high = middle - 1;
	}
	return low;
}

static int64_t unmet_demand_(const struct pool *pool, uint32_t host,
			     int64_t floor, int64_t level)
{
	int64_t unmet = (int64_t)pool->demand[host] - floor;

	if (unmet <= 0)
		return 0;
	return unmet < level ? unmet : level;
}

/* A grant above the fallback share ends before any commitment that backs it. */
static int64_t use_ms_(const struct bw_credit *credit,
		       const struct bw_credit_host *requester,
		       struct bw_time now)
{
	int64_t use_ms = BW_CREDIT_LEASE_MS;
	int64_t left_ms;
	uint32_t i;

	for (i = 0; i < credit->host_count; i++) {
		const struct bw_credit_host *host = &credit->hosts[i];

		if (host == requester)
			continue;
		left_ms = bw_time_diff_ms(host->commit_end, now);
		if (left_ms >= COMMITMENT_MIN_MS && left_ms < use_ms)
			use_ms = left_ms;
	}
	return use_ms;
}

static void issue_grant_(struct bw_credit *credit, struct bw_credit_host *host,
			 struct bw_time now, struct bw_credit_grant *grant)
{
	const struct bw_credit_service *service;
	struct bw_credit_account *account;
	struct bw_time use_end;
	struct pool pool;
	int64_t slots;
	uint32_t i;

	grant->use_ms = (uint32_t)use_ms_(credit, host, now);
	grant->count = 0;
	for (i = 0; i < host->account_count; i++) {
		account = &host->accounts[i];
		service = bw_credit_find(credit, account->name);
		account->listed = service != NULL;
		if (!service)
			continue;
		fill_pool_(credit, host, service, now, &pool);
		slots = fair_share_(&pool);
		if (slots > pool.slots - pool.bound)
			slots = pool.slots - pool.bound;
		account->latest = slots > 0 ? (uint32_t)slots : 0;
		if (account->latest > account->pending)
			account->pending = account->latest;
		memcpy(grant->slots[grant->count].name, account->name,
		       BW_NAME_MAX);
		grant->slots[grant->count].slots = account->latest;
		grant->count++;
	}
	host->seq++;
	host->sent = now;
	grant->seq = host->seq;
	use_end = bw_time_add(now, grant->use_ms);
	if (bw_time_diff_ms(use_end, host->use_end) > 0)
		host->use_end = use_end;
}
