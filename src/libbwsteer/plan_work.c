#include <stdlib.h>
#include <string.h>

#include "private/plan_internal.h"

/*
 * Percentage of a site's or link's limit that the planner uses. The rest
 * absorbs the rounding of shares and changes of demand between two reports.
 */
#define LIMIT_USED_PERCENT 95

/* Maximum load added to a site in one step, in percent of its capacity. */
#define RAMP_PERCENT 15

/* Run time assumed for a request when no domain reports one. */
#define DEFAULT_RUN_US 50000
#define RUN_US_MIN 1000
#define RUN_US_MAX 60000000

static enum bw_status init_links_(struct bw_plan_work *work);
static void list_service_links_(struct bw_plan_work *work, uint32_t service);
static void init_drains_(struct bw_plan_work *work);
static int64_t drain_lead_ms_(const struct bw_plan_work *work);
static void init_order_(struct bw_plan_work *work);
static uint32_t service_worth_(const struct bw_sheet *sheet, uint32_t service);
static bool is_draining_(const struct bw_plan_work *work, uint32_t service,
			 uint32_t site);
static enum bw_site_class classify_site_(const struct bw_plan_work *work,
					 uint32_t service, uint32_t site,
					 bool initial);
static bool is_held_(const struct bw_plan_work *work, uint32_t domain);
static uint32_t reported_slots_(const struct bw_plan_work *work,
				uint32_t service, uint32_t domain);
static void update_announced_(struct bw_plan_work *work, uint32_t service);
static bool is_pending_(const struct bw_plan_work *work, uint32_t service,
			uint32_t site);
static bool has_demand_(const struct bw_plan_work *work, uint32_t service,
			uint32_t domain);
static int64_t site_capacity_(const struct bw_plan_work *work, uint32_t service,
			      uint32_t site, bool initial);
static void load_kbit_per_milli_slot_(struct bw_plan_work *work,
				      uint32_t service);
static void load_ramped_capacity_(struct bw_plan_work *work, bool initial);

enum bw_status bw_plan_work_init(struct bw_plan_work *work)
{
	const struct bw_plan *plan = work->plan;
	size_t shares_max = 1;
	uint32_t i;

	for (i = 0; i < plan->service_count; i++) {
		size_t size = (size_t)plan->services[i].site_count *
			      plan->region_count;

		shares_max = size > shares_max ? size : shares_max;
	}
	work->drained = calloc(plan->site_count + 1, 1);
	work->service_order =
		calloc(plan->service_count + 1, sizeof(*work->service_order));
	work->target = calloc(shares_max, sizeof(*work->target));
	work->rows = calloc(shares_max, sizeof(*work->rows));
	if (!work->drained || !work->service_order || !work->target ||
	    !work->rows || init_links_(work) != BW_OK)
		return BW_ENOMEM;
	init_drains_(work);
	init_order_(work);
	return BW_OK;
}

void bw_plan_work_finish(struct bw_plan_work *work)
{
	free(work->drained);
	free(work->service_order);
	free(work->target);
	free(work->rows);
	free(work->service_links);
	free(work->listed_for);
	free(work->links.link);
	free(work->link_arrays);
}

bool bw_plan_work_load(struct bw_plan_work *work, uint32_t service,
		       bool initial)
{
	const struct bw_plan *plan = work->plan;
	const struct bw_plan_service *entry = &plan->services[service];
	struct bw_plan_problem *p = &work->problem;
	bool usable = initial;
	uint32_t i, domain;

	p->links = &work->links;
	p->region_count = plan->region_count;
	p->site_count = entry->site_count;
	p->current = plan->shares + entry->share_begin;
	p->target = work->target;
	update_announced_(work, service);
	for (i = 0; i < entry->site_count; i++) {
		domain = plan->sites[entry->site_begin + i];
		p->site_region[i] =
			domain < work->sheet->domains_count
				? work->sheet->domains[domain].region
				: BW_SHEET_NONE;
		p->site_class[i] = classify_site_(work, service, i, initial);
		p->capacity[i] =
			p->site_class[i] == BW_SITE_USABLE
				? site_capacity_(work, service, i, initial)
				: 0;
		usable |= p->site_class[i] == BW_SITE_USABLE;
	}
	list_service_links_(work, service);
	bw_plan_load_demand(work, service);
	load_kbit_per_milli_slot_(work, service);
	load_ramped_capacity_(work, initial);
	return usable;
}

/* Lists each link once. A service uses few of the links of a large system. */
static void list_service_links_(struct bw_plan_work *work, uint32_t service)
{
	const struct bw_plan_problem *p = &work->problem;
	const struct bw_plan_links *links = p->links;
	uint32_t i, r, link;

	for (i = 0; i < work->service_link_count; i++)
		work->listed_for[work->service_links[i]] = 0;
	work->service_link_count = 0;
	for (i = 0; i < p->site_count; i++) {
		if (p->site_region[i] == BW_SHEET_NONE)
			continue;
		for (r = 0; r < p->region_count; r++) {
			link = links->link[r * links->region_count +
					   p->site_region[i]];
			if (link == BW_SHEET_NONE ||
			    work->listed_for[link] == service + 1)
				continue;
			work->listed_for[link] = service + 1;
			work->service_links[work->service_link_count++] = link;
		}
	}
}

static enum bw_status init_links_(struct bw_plan_work *work)
{
	const struct bw_sheet *sheet = work->sheet;
	struct bw_plan_links *links = &work->links;
	uint32_t n = sheet->regions_count;
	uint32_t count = sheet->links_count;
	uint32_t i, a, b;

	links->region_count = n;
	links->link_count = count;
	links->link = malloc(((size_t)n * n + 1) * sizeof(*links->link));
	work->link_arrays =
		calloc((size_t)n * n + 6 * (size_t)count + 1, sizeof(double));
	work->service_links =
		calloc((size_t)count + 1, sizeof(*work->service_links));
	work->listed_for = calloc((size_t)count + 1, sizeof(*work->listed_for));
	if (!links->link || !work->link_arrays || !work->service_links ||
	    !work->listed_for)
		return BW_ENOMEM;
	links->latency_ms = work->link_arrays;
	links->limit_kbit = links->latency_ms + (size_t)n * n;
	links->used_kbit = links->limit_kbit + count;
	links->reserved_kbit = links->used_kbit + count;
	work->target_link_kbit = links->reserved_kbit + count;
	work->current_link_kbit = work->target_link_kbit + count;
	work->estimated_link_kbit = work->current_link_kbit + count;
	for (i = 0; i < n * n; i++)
		links->link[i] = BW_SHEET_NONE;
	for (i = 0; i < count; i++) {
		a = sheet->links[i].region[0];
		b = sheet->links[i].region[1];
		links->limit_kbit[i] = sheet->links[i].limit_mbit_per_s *
				       1000.0 * LIMIT_USED_PERCENT / 100;
		links->link[a * n + b] = i;
		links->link[b * n + a] = i;
		links->latency_ms[a * n + b] = sheet->links[i].latency_ms;
		links->latency_ms[b * n + a] = sheet->links[i].latency_ms;
	}
	return BW_OK;
}

/* Marks the sites whose drain in the sheet is active or has to begin by now. */
static void init_drains_(struct bw_plan_work *work)
{
	const struct bw_plan *plan = work->plan;
	int64_t lead_ms = drain_lead_ms_(work);
	uint32_t i, s, k;

	for (i = 0; i < work->sheet->drains_count; i++) {
		const struct bw_sheet_drain *drain = &work->sheet->drains[i];

		if (!drain->failure_domain ||
		    work->wall_ms < drain->start_ms - lead_ms ||
		    work->wall_ms >= drain->stop_ms)
			continue;
		for (s = 0; s < plan->service_count; s++) {
			const struct bw_plan_service *entry =
				&plan->services[s];

			if (drain->service &&
			    strcmp(drain->service, entry->name) != 0)
				continue;
			for (k = entry->site_begin;
			     k < entry->site_begin + entry->site_count; k++) {
				if (!strcmp(plan->domains[plan->sites[k]],
					    drain->failure_domain))
					work->drained[k] = 1;
			}
		}
	}
}

/* Returns the time to move all traffic of a service within the cap. */
static int64_t drain_lead_ms_(const struct bw_plan_work *work)
{
	const struct bw_shift_limits *limits = &work->limits;
	int64_t windows = limits->cap ? BW_SHIFT_ALL_TRAFFIC / limits->cap + 1
				      : 1;

	return windows * ((int64_t)limits->window_ms + limits->ttl_ms);
}

/* Services of higher worth get link capacity first. */
static void init_order_(struct bw_plan_work *work)
{
	uint32_t i, k, service;

	for (i = 0; i < work->plan->service_count; i++) {
		service = i;
		for (k = i; k > 0; k--) {
			if (service_worth_(work->sheet,
					   work->service_order[k - 1]) >=
			    service_worth_(work->sheet, service))
				break;
			work->service_order[k] = work->service_order[k - 1];
		}
		work->service_order[k] = service;
	}
}

static uint32_t service_worth_(const struct bw_sheet *sheet, uint32_t service)
{
	const struct bw_sheet_service *entry = &sheet->services[service];
	uint32_t worth = 0;
	uint32_t i;

	for (i = 0; i < entry->kinds_count; i++) {
		uint32_t rank = entry->kinds[i].rank_index;

		if (rank < sheet->ranks_count &&
		    sheet->ranks[rank].worth > worth)
			worth = sheet->ranks[rank].worth;
	}
	return worth;
}

const struct bw_plan_report *
bw_plan_domain_report(const struct bw_plan_work *work, uint32_t domain)
{
	return domain < work->sheet->domains_count ? &work->reports[domain]
						   : NULL;
}

static bool is_draining_(const struct bw_plan_work *work, uint32_t service,
			 uint32_t site)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	uint32_t domain = work->plan->sites[entry->site_begin + site];
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);

	if (!report ||
	    site >= work->sheet->services[service].placements_count ||
	    work->drained[entry->site_begin + site])
		return true;
	return report->known &&
	       (report->draining || report->services[service].draining);
}

static enum bw_site_class classify_site_(const struct bw_plan_work *work,
					 uint32_t service, uint32_t site,
					 bool initial)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	uint32_t domain = work->plan->sites[entry->site_begin + site];
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);
	int64_t measured_ms;

	if (is_draining_(work, service, site))
		return BW_SITE_DRAINED;
	if (initial)
		return BW_SITE_USABLE;
	if (is_pending_(work, service, site))
		return BW_SITE_HELD;
	if (report->known) {
		measured_ms = work->now_ms - (int64_t)report->age_ms;
		if (report->age_ms <= BW_PLAN_REPORT_FRESH_MS &&
		    (!entry->last_step_ms ||
		     measured_ms >= entry->last_step_ms + work->limits.ttl_ms))
			return BW_SITE_USABLE;
	}
	return is_held_(work, domain) ? BW_SITE_HELD : BW_SITE_MISSING;
}

static bool is_held_(const struct bw_plan_work *work, uint32_t domain)
{
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);

	if (report->known)
		return report->age_ms <= BW_PLAN_HOLD_MS;
	return work->now_ms - work->plan->missing_since_ms[domain] <=
	       BW_PLAN_HOLD_MS;
}

/* Returns the slots of a fresh report; 0 without one. */
static uint32_t reported_slots_(const struct bw_plan_work *work,
				uint32_t service, uint32_t domain)
{
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);
	const struct bw_plan_service_report *service_report;

	if (!report || !report->known ||
	    report->age_ms > BW_PLAN_REPORT_FRESH_MS)
		return 0;
	service_report = &report->services[service];
	return service_report->healthy_slots ? service_report->healthy_slots
					     : service_report->warming_slots;
}

static void update_announced_(struct bw_plan_work *work, uint32_t service)
{
	struct bw_plan *plan = work->plan;
	const struct bw_plan_service *entry = &plan->services[service];
	uint32_t i;

	for (i = entry->site_begin; i < entry->site_begin + entry->site_count;
	     i++) {
		if (reported_slots_(work, service, plan->sites[i]))
			plan->announced[i] = 1;
	}
}

/*
 * A site whose backend servers have not announced themselves yet keeps its
 * shares while no caller is affected: in a new deployment the servers start
 * one after the other, and moving shares away and back would use up the cap
 * without need.
 */
static bool is_pending_(const struct bw_plan_work *work, uint32_t service,
			uint32_t site)
{
	const struct bw_plan *plan = work->plan;
	uint32_t index = plan->services[service].site_begin + site;
	uint32_t i;

	if (plan->announced[index])
		return false;
	if (work->reports[plan->sites[index]].known)
		return !has_demand_(work, service, plan->sites[index]);
	for (i = 0; i < work->sheet->services[service].placements_count; i++) {
		if (has_demand_(work, service,
				work->sheet->services[service]
					.placements[i]
					.domain))
			return false;
	}
	return true;
}

static bool has_demand_(const struct bw_plan_work *work, uint32_t service,
			uint32_t domain)
{
	const struct bw_plan_report *report = &work->reports[domain];
	const uint32_t *demand;
	uint32_t r;

	if (!report->known)
		return false;
	demand = report->services[service].demand;
	for (r = 0; demand && r < work->plan->region_count; r++) {
		if (demand[r])
			return true;
	}
	return false;
}

/*
 * Reported slots count up to what the sheet declares for the domain. For shares
 * that carry no traffic yet, a report without slots is ignored.
 */
static int64_t site_capacity_(const struct bw_plan_work *work, uint32_t service,
			      uint32_t site, bool initial)
{
	const struct bw_plan_service *entry = &work->plan->services[service];
	uint32_t domain = work->plan->sites[entry->site_begin + site];
	const struct bw_plan_report *report =
		bw_plan_domain_report(work, domain);
	const struct bw_sheet_placement *placement =
		&work->sheet->services[service].placements[site];
	int64_t declared = INT64_C(1000) * placement->targets *
			   placement->slots_per_target;
	int64_t slots = declared;
	uint32_t region = work->sheet->domains[domain].region;

	if (report->known &&
	    (!initial || reported_slots_(work, service, domain))) {
		const struct bw_plan_service_report *service_report =
			&report->services[service];
		int64_t ramp = initial || service_report->ramp > 1000
				       ? 1000
				       : service_report->ramp;

		slots = INT64_C(1000) * service_report->healthy_slots +
			ramp * service_report->warming_slots;
		slots = slots < declared ? slots : declared;
	}
	return slots * work->sheet->regions[region].max_load_percent / 100 *
	       LIMIT_USED_PERCENT / 100;
}

/* Uses the median run time, so that a single false report has no effect. */
static void load_kbit_per_milli_slot_(struct bw_plan_work *work,
				      uint32_t service)
{
	uint32_t times[BW_PLAN_DOMAINS_MAX];
	uint32_t count = 0, i, k, time;

	for (i = 0; i < work->sheet->domains_count; i++) {
		const struct bw_plan_report *report = &work->reports[i];

		time = report->known ? report->services[service].mean_run_us
				     : 0;
		if (!time)
			continue;
		for (k = count++; k > 0 && times[k - 1] > time; k--)
			times[k] = times[k - 1];
		times[k] = time;
	}
	time = count ? times[(count - 1) / 2] : DEFAULT_RUN_US;
	time = time < RUN_US_MIN ? RUN_US_MIN : time;
	time = time > RUN_US_MAX ? RUN_US_MAX : time;
	/* A milli-slot serves 1000 / time requests a second. */
	work->problem.kbit_per_milli_slot =
		8.0 * work->sheet->services[service].mean_answer_kb * 1000.0 /
		time;
}

static void load_ramped_capacity_(struct bw_plan_work *work, bool initial)
{
	struct bw_plan_problem *p = &work->problem;
	uint32_t i, r;
	int64_t load, ramped;

	for (i = 0; i < p->site_count; i++) {
		load = 0;
		for (r = 0; r < p->region_count; r++)
			load += p->demand[r] *
				p->current[r * p->site_count + i];
		ramped = load / BW_PLAN_SHARE_TOTAL +
			 p->capacity[i] * RAMP_PERCENT / 100;
		p->ramped_capacity[i] = initial || ramped > p->capacity[i]
						? p->capacity[i]
						: ramped;
	}
}
