#include "bwsteer/plan.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/plan_internal.h"

const char *const bw_shift_state_string[BW_SHIFT_STATE_COUNT] = {
	"settled", "moving", "waiting", "capped", "held",
};

static const char *const event_string_[BW_SHIFT_EVENT_COUNT] = {
	"no_gain", "gain", "effect_pending", "cap_reached", "reports_missing",
};

static const char *const action_string_[] = { "move" };

const struct bw_chart_names bw_shift_chart_names = {
	.states = bw_shift_state_string,
	.state_count = BW_SHIFT_STATE_COUNT,
	.events = event_string_,
	.event_count = BW_SHIFT_EVENT_COUNT,
	.actions = action_string_,
	.action_count = 1,
};

static bool sheet_fits_(const struct bw_sheet *sheet);
static bool matches_sheet_(const struct bw_plan *plan,
			   const struct bw_sheet *sheet);
static uint32_t find_name_(const char (*names)[BW_NAME_MAX], uint32_t count,
			   const char *name);
static uint32_t find_or_add_domain_(struct bw_plan *to, const char *name);
static void copy_names_(struct bw_plan *to, const struct bw_sheet *sheet);
static void list_sites_(struct bw_plan *to, const struct bw_plan *from,
			const struct bw_sheet *sheet);
static void keep_removed_sites_(struct bw_plan *to,
				struct bw_plan_service *service,
				const struct bw_plan *from,
				const struct bw_plan_service *old);
static bool site_has_shares_(const struct bw_plan *plan,
			     const struct bw_plan_service *service,
			     uint32_t site);
static void copy_state_(struct bw_plan *to, const struct bw_plan *from);
static void copy_service_state_(struct bw_plan *to, uint32_t service,
				const struct bw_plan *from, uint32_t old);
static void copy_announced_(struct bw_plan *to,
			    const struct bw_plan_service *service,
			    const struct bw_plan *from,
			    const struct bw_plan_service *old);
static void adopt_limits_(struct bw_plan *to, const struct bw_plan *from,
			  const struct bw_sheet *sheet);

void bw_plan_init(struct bw_plan *plan, const struct bw_chart *chart)
{
	memset(plan, 0, sizeof(*plan));
	plan->chart = chart;
}

void bw_plan_finish(struct bw_plan *plan)
{
	free(plan->regions);
	free(plan->domains);
	free(plan->services);
	free(plan->sites);
	free(plan->shares);
	free(plan->weights);
	free(plan->announced);
	free(plan->last_complete_demand);
	free(plan->last_moves);
	memset(plan, 0, sizeof(*plan));
}

uint32_t bw_plan_find_service(const struct bw_plan *plan, const char *name)
{
	uint32_t i;

	for (i = 0; i < plan->service_count; i++) {
		if (!strcmp(plan->services[i].name, name))
			return i;
	}
	return BW_SHEET_NONE;
}

uint32_t bw_plan_find_region(const struct bw_plan *plan, const char *name)
{
	return find_name_((const char(*)[BW_NAME_MAX])plan->regions,
			  plan->region_count, name);
}

const uint16_t *bw_plan_shares(const struct bw_plan *plan, uint32_t service,
			       uint32_t region)
{
	const struct bw_plan_service *entry = &plan->services[service];

	assert(service < plan->service_count && region < plan->region_count);
	return plan->shares + entry->share_begin +
	       (size_t)region * entry->site_count;
}

struct bw_shift_limits bw_plan_limits(const struct bw_plan *plan)
{
	if (plan->clock_ms >= plan->previous_limits_until_ms)
		return plan->limits;
	return bw_shift_limits_merge(plan->limits, plan->previous_limits);
}

enum bw_status bw_plan_allocate(struct bw_plan *plan)
{
	size_t rows = (size_t)plan->site_count * plan->region_count;

	plan->regions = calloc(plan->region_count + 1, BW_NAME_MAX);
	plan->domains = calloc(BW_PLAN_DOMAINS_MAX, BW_NAME_MAX);
	plan->services =
		calloc(plan->service_count + 1, sizeof(*plan->services));
	plan->sites = calloc(plan->site_count + 1, sizeof(*plan->sites));
	plan->shares = calloc(rows + 1, sizeof(*plan->shares));
	plan->weights =
		calloc((size_t)plan->service_count * plan->region_count + 1,
		       sizeof(*plan->weights));
	plan->announced =
		calloc(plan->site_count + 1, sizeof(*plan->announced));
	plan->last_complete_demand =
		calloc((size_t)plan->service_count * plan->region_count + 1,
		       sizeof(*plan->last_complete_demand));
	plan->last_moves =
		calloc((size_t)plan->service_count * plan->region_count + 1,
		       sizeof(*plan->last_moves));
	if (plan->regions && plan->domains && plan->services && plan->sites &&
	    plan->shares && plan->weights && plan->announced &&
	    plan->last_complete_demand && plan->last_moves)
		return BW_OK;
	return BW_ENOMEM;
}

enum bw_status bw_plan_adopt(struct bw_plan *plan, const struct bw_sheet *sheet,
			     bool *adopted)
{
	struct bw_plan to;
	uint32_t i;

	*adopted = false;
	if (plan->version && matches_sheet_(plan, sheet))
		return BW_OK;
	if (!sheet_fits_(sheet))
		return BW_EINVAL;
	bw_plan_init(&to, plan->chart);
	to.region_count = sheet->regions_count;
	to.service_count = sheet->services_count;
	to.site_count = plan->site_count;
	for (i = 0; i < sheet->services_count; i++)
		to.site_count += sheet->services[i].placements_count;
	if (bw_plan_allocate(&to) != BW_OK) {
		bw_plan_finish(&to);
		return BW_ENOMEM;
	}
	to.version = plan->version;
	to.revision = sheet->revision;
	to.clock_ms = plan->clock_ms;
	to.wall_ms = plan->wall_ms;
	to.step_count = plan->step_count;
	copy_names_(&to, sheet);
	list_sites_(&to, plan, sheet);
	copy_state_(&to, plan);
	adopt_limits_(&to, plan, sheet);
	bw_plan_finish(plan);
	*plan = to;
	*adopted = true;
	return BW_OK;
}

static bool sheet_fits_(const struct bw_sheet *sheet)
{
	uint64_t sites = 0;
	uint32_t i;

	for (i = 0; i < sheet->services_count; i++) {
		if (!sheet->services[i].placements_count ||
		    sheet->services[i].placements_count > BW_PLAN_DOMAINS_MAX ||
		    strlen(sheet->services[i].name) >= BW_NAME_MAX)
			return false;
		sites += sheet->services[i].placements_count;
	}
	return sites <= BW_PLAN_SITES_MAX &&
	       sheet->regions_count <= BW_PLAN_REGIONS_MAX &&
	       sheet->domains_count <= BW_PLAN_DOMAINS_MAX;
}

/* Whether the same indices refer to the same items in plan and sheet. */
static bool matches_sheet_(const struct bw_plan *plan,
			   const struct bw_sheet *sheet)
{
	uint32_t i, k;

	if (plan->revision != sheet->revision ||
	    plan->region_count != sheet->regions_count ||
	    plan->service_count != sheet->services_count ||
	    plan->domain_count < sheet->domains_count)
		return false;
	for (i = 0; i < plan->region_count; i++) {
		if (strcmp(plan->regions[i], sheet->regions[i].name) != 0)
			return false;
	}
	for (i = 0; i < sheet->domains_count; i++) {
		if (strcmp(plan->domains[i], sheet->domains[i].name) != 0)
			return false;
	}
	for (i = 0; i < plan->service_count; i++) {
		const struct bw_plan_service *service = &plan->services[i];
		const struct bw_sheet_service *declared = &sheet->services[i];

		if (strcmp(service->name, declared->name) != 0 ||
		    service->site_count < declared->placements_count)
			return false;
		for (k = 0; k < declared->placements_count; k++) {
			if (plan->sites[service->site_begin + k] !=
			    declared->placements[k].domain)
				return false;
		}
	}
	return true;
}

static uint32_t find_name_(const char (*names)[BW_NAME_MAX], uint32_t count,
			   const char *name)
{
	uint32_t i;

	for (i = 0; i < count; i++) {
		if (!strcmp(names[i], name))
			return i;
	}
	return BW_SHEET_NONE;
}

static void copy_names_(struct bw_plan *to, const struct bw_sheet *sheet)
{
	uint32_t i;

	for (i = 0; i < to->region_count; i++)
		bw_name_set(to->regions[i], sheet->regions[i].name);
	for (i = 0; i < sheet->domains_count; i++)
		bw_name_set(to->domains[i], sheet->domains[i].name);
	to->domain_count = sheet->domains_count;
}

/*
 * Lists the sites of the sheet, then those that it no longer has but that still
 * have a share: traffic leaves these under the cap, as with any other shift.
 */
static void list_sites_(struct bw_plan *to, const struct bw_plan *from,
			const struct bw_sheet *sheet)
{
	uint32_t i, k, old;

	to->site_count = 0;
	for (i = 0; i < to->service_count; i++) {
		struct bw_plan_service *service = &to->services[i];
		const struct bw_sheet_service *declared = &sheet->services[i];

		bw_name_set(service->name, declared->name);
		service->site_begin = to->site_count;
		service->share_begin = to->site_count * to->region_count;
		for (k = 0; k < declared->placements_count; k++)
			to->sites[to->site_count++] =
				(uint16_t)declared->placements[k].domain;
		service->site_count = declared->placements_count;
		old = bw_plan_find_service(from, service->name);
		if (old != BW_SHEET_NONE)
			keep_removed_sites_(to, service, from,
					    &from->services[old]);
	}
}

static void keep_removed_sites_(struct bw_plan *to,
				struct bw_plan_service *service,
				const struct bw_plan *from,
				const struct bw_plan_service *old)
{
	uint32_t i, k, domain;

	for (i = 0; i < old->site_count; i++) {
		if (!site_has_shares_(from, old, i))
			continue;
		domain = find_or_add_domain_(
			to, from->domains[from->sites[old->site_begin + i]]);
		for (k = 0; k < service->site_count; k++) {
			if (to->sites[service->site_begin + k] == domain)
				break;
		}
		if (domain == BW_SHEET_NONE || k < service->site_count ||
		    service->site_count == BW_PLAN_DOMAINS_MAX)
			continue;
		to->sites[to->site_count++] = (uint16_t)domain;
		service->site_count++;
	}
}

static bool site_has_shares_(const struct bw_plan *plan,
			     const struct bw_plan_service *service,
			     uint32_t site)
{
	uint32_t r;

	for (r = 0; r < plan->region_count; r++) {
		if (plan->shares[service->share_begin +
				 r * service->site_count + site])
			return true;
	}
	return false;
}

/* Returns the index of a domain; BW_SHEET_NONE when there is no room. */
static uint32_t find_or_add_domain_(struct bw_plan *to, const char *name)
{
	uint32_t found = find_name_((const char(*)[BW_NAME_MAX])to->domains,
				    to->domain_count, name);

	if (found != BW_SHEET_NONE || to->domain_count == BW_PLAN_DOMAINS_MAX)
		return found;
	bw_name_set(to->domains[to->domain_count], name);
	return to->domain_count++;
}

static void copy_state_(struct bw_plan *to, const struct bw_plan *from)
{
	uint32_t i, d, old;

	for (i = 0; i < to->service_count; i++) {
		old = bw_plan_find_service(from, to->services[i].name);
		if (old != BW_SHEET_NONE)
			copy_service_state_(to, i, from, old);
	}
	for (d = 0; d < to->domain_count; d++) {
		old = find_name_((const char(*)[BW_NAME_MAX])from->domains,
				 from->domain_count, to->domains[d]);
		if (old != BW_SHEET_NONE)
			to->missing_since_ms[d] = from->missing_since_ms[old];
	}
}

static void copy_service_state_(struct bw_plan *to, uint32_t service,
				const struct bw_plan *from, uint32_t old)
{
	struct bw_plan_service *new_service = &to->services[service];
	const struct bw_plan_service *old_service = &from->services[old];
	uint32_t r, i, k, old_region;

	new_service->state = old_service->state;
	new_service->last_step_ms = old_service->last_step_ms;
	new_service->ledger = old_service->ledger;
	copy_announced_(to, new_service, from, old_service);
	for (r = 0; r < to->region_count; r++) {
		old_region = bw_plan_find_region(from, to->regions[r]);
		if (old_region == BW_SHEET_NONE)
			continue;
		to->weights[service * to->region_count + r] =
			from->weights[old * from->region_count + old_region];
		to->last_complete_demand[service * to->region_count + r] =
			from->last_complete_demand[old * from->region_count +
						   old_region];
		to->last_moves[service * to->region_count + r] =
			from->last_moves[old * from->region_count + old_region];
		for (i = 0; i < new_service->site_count; i++) {
			const char *name =
				to->domains[to->sites[new_service->site_begin +
						      i]];

			for (k = 0; k < old_service->site_count; k++) {
				if (strcmp(name,
					   from->domains
						   [from->sites
							    [old_service
								     ->site_begin +
							     k]]) != 0)
					continue;
				to->shares[new_service->share_begin +
					   r * new_service->site_count + i] =
					from->shares
						[old_service->share_begin +
						 old_region *
							 old_service
								 ->site_count +
						 k];
			}
		}
	}
}

static void copy_announced_(struct bw_plan *to,
			    const struct bw_plan_service *service,
			    const struct bw_plan *from,
			    const struct bw_plan_service *old)
{
	uint32_t i, k;

	for (i = service->site_begin;
	     i < service->site_begin + service->site_count; i++) {
		for (k = old->site_begin; k < old->site_begin + old->site_count;
		     k++) {
			if (!strcmp(to->domains[to->sites[i]],
				    from->domains[from->sites[k]]))
				to->announced[i] = from->announced[k];
		}
	}
}

static void adopt_limits_(struct bw_plan *to, const struct bw_plan *from,
			  const struct bw_sheet *sheet)
{
	struct bw_shift_limits old = bw_plan_limits(from);
	struct bw_shift_limits merged;

	to->limits.cap =
		sheet->shift.cap_percent * (BW_SHIFT_ALL_TRAFFIC / 100);
	to->limits.window_ms = sheet->shift.window_s * 1000;
	to->limits.ttl_ms = sheet->shift.answer_ttl_s * 1000;
	if (!from->version)
		return;
	merged = bw_shift_limits_merge(old, to->limits);
	to->previous_limits = old;
	to->previous_limits_until_ms =
		to->clock_ms + merged.window_ms + merged.ttl_ms + 1;
}
