#include "lookup.h"

#include <string.h>

#include "bwbase/metrics.h"

#include "calls.h"
#include "directory.h"
#include "host.h"

/** Step of the additive recurrence: 2^64 divided by the golden ratio. */
#define GOLDEN_STEP UINT64_C(0x9e3779b97f4a7c15)

/** Client address header, accepted from loopback peers only. */
#define CLIENT_HEADER "Boragewing-Client"

static const char *client_address_(const struct web_request *request);
static uint32_t choose_domain_(struct host *host, const uint16_t *shares,
			       uint32_t count);
static void add_domain_(struct host *host, const char *domain,
			struct lookup_result *result);
static void respond_with_hosts_(struct web_request *request,
				const char *service,
				const struct lookup_result *result);
static void create_key_(struct host *host, const struct lookup_result *result,
			char key[BW_KEYS_TEXT_MAX]);
static enum bw_status write_hosts_(const struct lookup_result *result,
				   struct bw_buffer *out);

void lookup_handle(struct web_request *request)
{
	struct host *host = request->host;
	uint64_t start_us = bw_clock_us();
	struct lookup_result result = { .count = 0 };
	char service[BW_NAME_MAX];
	uint32_t region;

	if (!web_query_parameter(request, "service", service,
				 sizeof(service))) {
		web_respond_error(request, 400, "bad_request",
				  "parameter service is missing or too long");
		return;
	}
	if (!host->steering.sheet) {
		web_respond_error(request, 503, "no_sheet",
				  "no sheet is in force here yet");
		return;
	}
	if (bw_sheet_find_service(host->steering.sheet, service) ==
	    BW_SHEET_NONE) {
		web_respond_error(request, 404, "unknown_service",
				  "the sheet in force has no such service");
		return;
	}
	region = steering_caller_region(&host->steering,
					client_address_(request));
	lookup_choose(host, service, region, &result);
	if (result.count)
		respond_with_hosts_(request, service, &result);
	else
		web_respond_error(request, 503, "no_host",
				  "no entry host of the plan is reachable");
	bw_metric_observe(bw_metrics_get(&host->metrics, BW_METRIC_HISTOGRAM,
					 "boragewing_lookup_seconds",
					 "Time to answer a look-up.", ""),
			  bw_clock_us() - start_us);
}

void lookup_choose(struct host *host, const char *service, uint32_t region,
		   struct lookup_result *result)
{
	const struct steering *steering = &host->steering;
	const struct bw_plan *plan = &steering->plan;
	const char *region_name = steering->sheet->regions[region].name;
	uint32_t plan_service = bw_plan_find_service(plan, service);
	uint32_t plan_region = bw_plan_find_region(plan, region_name);
	const struct bw_plan_service *entry;
	const uint16_t *shares;
	uint32_t first_site;
	uint32_t i;

	if (plan_service == BW_SHEET_NONE || plan_region == BW_SHEET_NONE) {
		/* Before the first plan every host serves its own domain. */
		add_domain_(host, host->settings->host.failure_domain, result);
		return;
	}
	entry = &plan->services[plan_service];
	shares = bw_plan_shares(plan, plan_service, plan_region);
	first_site = choose_domain_(host, shares, entry->site_count);
	add_domain_(host,
		    plan->domains[plan->sites[entry->site_begin + first_site]],
		    result);
	for (i = 1; i < entry->site_count; i++) {
		uint32_t site = (first_site + i) % entry->site_count;

		if (shares[site])
			add_domain_(
				host,
				plan->domains[plan->sites[entry->site_begin +
							  site]],
				result);
	}
}

/*
 * Selects the first domain of each result with a low-discrepancy sequence. Over
 * the results of one host the distribution matches the shares almost exactly,
 * and a new plan moves only the difference between old and new shares. Hashing
 * the caller over cumulative shares would move more when a share in the middle
 * changes.
 */
static uint32_t choose_domain_(struct host *host, const uint16_t *shares,
			       uint32_t count)
{
	uint64_t total = 0;
	uint64_t point;
	uint32_t i;

	for (i = 0; i < count; i++)
		total += shares[i];
	if (!total)
		return 0;
	host->lookup_sequence += GOLDEN_STEP;
	point = (uint64_t)(((unsigned __int128)host->lookup_sequence * total) >>
			   64);
	for (i = 0; i + 1 < count; i++) {
		if (point < shares[i])
			break;
		point -= shares[i];
	}
	return i;
}

/* Rotates the hosts of the domain, so that each is listed first in turn. */
static void add_domain_(struct host *host, const char *name,
			struct lookup_result *result)
{
	const struct directory_domain *domain =
		directory_find(&host->directory, name);
	const struct directory_host *entry_host;
	uint32_t offset;
	uint32_t i;

	if (!domain || !domain->alive || !domain->hosts_count)
		return;
	offset = (uint32_t)(host->lookup_sequence >> 8) % domain->hosts_count;
	for (i = 0; i < domain->hosts_count; i++) {
		entry_host = &domain->hosts[(offset + i) % domain->hosts_count];
		if (entry_host->leaving || result->count == LOOKUP_HOSTS_MAX)
			continue;
		result->domains[result->count] = domain->name;
		result->hosts[result->count++] = entry_host;
	}
}

static void respond_with_hosts_(struct web_request *request,
				const char *service,
				const struct lookup_result *result)
{
	struct host *host = request->host;
	const struct steering *steering = &host->steering;
	char key[BW_KEYS_TEXT_MAX] = "";
	struct bw_buffer body;
	enum bw_status status;

	create_key_(host, result, key);
	bw_buffer_init(&body);
	status = bw_buffer_printf(
		&body,
		"{\"service\": \"%s\", \"ttl_ms\": %u, \"revision\": %llu, "
		"\"stale\": %s, \"hosts\": [",
		service, steering->sheet->shift.answer_ttl_s * 1000,
		(unsigned long long)steering->sheet->revision,
		bw_distribute_is_stale(&host->distribute, host_now(host))
			? "true"
			: "false");
	if (status == BW_OK)
		status = write_hosts_(result, &body);
	if (status == BW_OK)
		status = bw_buffer_printf(&body,
					  "], \"request_key\": \"%s\"}\n", key);
	if (status == BW_OK)
		web_respond_text(request, 200, "application/json", body.data,
				 body.size_bytes);
	else
		web_respond_error(request, 503, "out_of_memory", "no memory");
	bw_buffer_finish(&body);
}

/*
 * The owner of the key is the first host of the result whose incarnation is
 * known. A domain's first summary may lack the load report, which contains the
 * incarnations; this host then owns the key.
 */
static void create_key_(struct host *host, const struct lookup_result *result,
			char key[BW_KEYS_TEXT_MAX])
{
	const char *owner = host->settings->host.name;
	uint64_t incarnation = host->incarnation;
	uint32_t i;

	for (i = 0; i < result->count; i++) {
		if (result->hosts[i]->incarnation) {
			owner = result->hosts[i]->name;
			incarnation = result->hosts[i]->incarnation;
			break;
		}
	}
	bw_keys_mint(&host->steering.keys, owner, incarnation,
		     host_wall_ms(host), key);
}

static enum bw_status write_hosts_(const struct lookup_result *result,
				   struct bw_buffer *out)
{
	enum bw_status status = BW_OK;
	uint32_t i;

	for (i = 0; i < result->count && status == BW_OK; i++)
		status = bw_buffer_printf(
			out,
			"%s{\"host\": \"%s\", \"address\": \"%s\", "
			"\"port\": %u, \"failure_domain\": \"%s\"}",
			i ? ", " : "", result->hosts[i]->name,
			result->hosts[i]->address, result->hosts[i]->port,
			result->domains[i]);
	return status;
}

static const char *client_address_(const struct web_request *request)
{
	const char *peer = bw_request_peer(request->request);
	const char *client_header =
		bw_request_header(request->request, CLIENT_HEADER);

	if (client_header && !strncmp(peer, "127.", 4))
		return client_header;
	return peer;
}
