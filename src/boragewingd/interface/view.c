#include "view.h"

#include <stdlib.h>
#include <string.h>

#include "control.h"
#include "host.h"

static json_t *make_status_(struct host *host);
static json_t *make_hosts_(struct host *host);
static json_t *make_host_rows_(const struct report_domain *report);
static json_t *make_regions_(struct host *host);
static json_t *make_links_(struct host *host);
static json_t *make_services_(struct host *host);
static json_t *make_placements_(struct host *host,
				const struct bw_sheet_service *service);
static json_t *make_backends_(struct host *host);
static json_t *make_drains_(struct host *host);
static json_t *make_shifts_(struct host *host);
static json_t *make_shift_(const struct bw_plan *plan,
			   const struct bw_plan *planner, uint32_t index);
static json_t *make_shares_(const struct bw_plan *plan, uint32_t service);
static json_t *make_dump_(struct host *host);
static bool read_report_(struct host *host, const char *domain,
			 struct report_domain *report);
static const struct report_service *
find_service_(const struct report_domain *report, const char *name);
static uint32_t slots_in_use_(struct host *host, const char *domain,
			      const char *service);

json_t *view_make(struct host *host, const char *name)
{
	static const struct {
		const char *name;
		json_t *(*make)(struct host *host);
	} views[] = {
		{ "status", make_status_ },	{ "hosts", make_hosts_ },
		{ "regions", make_regions_ },	{ "links", make_links_ },
		{ "services", make_services_ }, { "backends", make_backends_ },
		{ "drains", make_drains_ },	{ "shifts", make_shifts_ },
		{ "dump", make_dump_ },
	};
	size_t i;

	for (i = 0; i < sizeof(views) / sizeof(views[0]); i++) {
		if (!strcmp(views[i].name, name))
			return views[i].make(host);
	}
	return NULL;
}

static json_t *make_status_(struct host *host)
{
	const struct settings_host *self = &host->settings->host;
	json_t *view = json_pack(
		"{s:s, s:s, s:s, s:s, s:b, s:I, s:I, s:I, s:b, s:s, s:I}",
		"host", self->name, "region", self->region, "failure_domain",
		self->failure_domain, "state", host_state_string[host->state],
		"control", (int)(host->control != NULL), "revision",
		(json_int_t)bw_distribute_number(&host->distribute,
						 BW_DOCUMENT_SHEET),
		"since_wall_ms", (json_int_t)host->steering.sheet_since_wall_ms,
		"plan_version",
		(json_int_t)bw_distribute_number(&host->distribute,
						 BW_DOCUMENT_PLAN),
		"stale",
		(int)bw_distribute_is_stale(&host->distribute, host_now(host)),
		"aggregator", bw_aggregator_current(&host->aggregator),
		"uptime_ms",
		(json_int_t)bw_time_diff_ms(host_now(host), host->start));

	if (host->control)
		json_object_set_new(view, "leader",
				    json_string(control_leader(host->control)));
	return view;
}

static json_t *make_hosts_(struct host *host)
{
	const struct bw_aggregator *aggregator = &host->aggregator;
	struct report_domain *report = calloc(1, sizeof(*report));
	const struct bw_summary *summary;
	json_t *domains = json_array();
	uint32_t i;

	for (i = 0; report && i < bw_aggregator_count(aggregator); i++) {
		summary = bw_aggregator_at(aggregator, i);
		read_report_(host, summary->domain, report);
		json_array_append_new(
			domains,
			json_pack("{s:s, s:s, s:s, s:I, s:I, s:I, s:I, s:o}",
				  "failure_domain", summary->domain, "region",
				  summary->region, "aggregator",
				  summary->aggregator, "living",
				  (json_int_t)summary->up_count, "revision_min",
				  (json_int_t)summary->revision_min,
				  "revision_max",
				  (json_int_t)summary->revision_max,
				  "report_age_ms",
				  (json_int_t)bw_summary_age_ms(summary,
								host_now(host)),
				  "hosts", make_host_rows_(report)));
	}
	free(report);
	return json_pack("{s:o}", "failure_domains", domains);
}

static json_t *make_host_rows_(const struct report_domain *report)
{
	json_t *rows = json_array();
	const struct report_status *status;
	uint32_t i;

	for (i = 0; i < report->hosts_count; i++) {
		status = &report->hosts[i];
		json_array_append_new(
			rows,
			json_pack("{s:s, s:I, s:I, s:I, s:b}", "host",
				  status->name, "revision",
				  (json_int_t)status->revision, "since_wall_ms",
				  (json_int_t)status->since_wall_ms,
				  "plan_version",
				  (json_int_t)status->plan_version, "leaving",
				  (int)status->leaving));
	}
	return rows;
}

static json_t *make_regions_(struct host *host)
{
	const struct bw_sheet *sheet = host->steering.sheet;
	json_t *regions = json_array();
	uint64_t capacity;
	uint64_t in_use;
	uint32_t r;
	uint32_t s;
	uint32_t p;

	for (r = 0; sheet && r < sheet->regions_count; r++) {
		capacity = 0;
		in_use = 0;
		for (s = 0; s < sheet->services_count; s++) {
			const struct bw_sheet_service *service =
				&sheet->services[s];

			for (p = 0; p < service->placements_count; p++) {
				const struct bw_sheet_placement *placement =
					&service->placements[p];

				if (sheet->domains[placement->domain].region !=
				    r)
					continue;
				capacity += (uint64_t)placement->targets *
					    placement->slots_per_target;
				in_use += slots_in_use_(
					host, placement->failure_domain,
					service->name);
			}
		}
		json_array_append_new(
			regions,
			json_pack("{s:s, s:I, s:I, s:i}", "region",
				  sheet->regions[r].name, "slots",
				  (json_int_t)capacity, "slots_in_use",
				  (json_int_t)in_use, "max_load_percent",
				  (int)sheet->regions[r].max_load_percent));
	}
	return json_pack("{s:o}", "regions", regions);
}

static json_t *make_links_(struct host *host)
{
	const struct bw_sheet *sheet = host->steering.sheet;
	json_t *links = json_array();
	uint32_t i;

	for (i = 0; sheet && i < sheet->links_count; i++)
		json_array_append_new(
			links,
			json_pack("{s:[s,s], s:i, s:f}", "between",
				  sheet->links[i].between[0],
				  sheet->links[i].between[1],
				  "limit_mbit_per_s",
				  (int)sheet->links[i].limit_mbit_per_s,
				  "latency_ms", sheet->links[i].latency_ms));
	return json_pack("{s:o}", "links", links);
}

static json_t *make_services_(struct host *host)
{
	const struct bw_sheet *sheet = host->steering.sheet;
	json_t *services = json_array();
	uint32_t i;

	for (i = 0; sheet && i < sheet->services_count; i++)
		json_array_append_new(
			services,
			json_pack("{s:s, s:o}", "service",
				  sheet->services[i].name, "placements",
				  make_placements_(host, &sheet->services[i])));
	return json_pack("{s:o}", "services", services);
}

static json_t *make_placements_(struct host *host,
				const struct bw_sheet_service *service)
{
	struct report_domain *report = calloc(1, sizeof(*report));
	const struct report_service *reported;
	const struct bw_sheet_placement *placement;
	json_t *rows = json_array();
	uint32_t i;

	for (i = 0; report && i < service->placements_count; i++) {
		placement = &service->placements[i];
		read_report_(host, placement->failure_domain, report);
		reported = find_service_(report, service->name);
		json_array_append_new(
			rows,
			json_pack("{s:s, s:i, s:i, s:i, s:i, s:b}",
				  "failure_domain", placement->failure_domain,
				  "slots",
				  (int)(placement->targets *
					placement->slots_per_target),
				  "healthy_slots",
				  reported ? (int)reported->healthy_slots : 0,
				  "warming_slots",
				  reported ? (int)reported->warming_slots : 0,
				  "slots_in_use",
				  reported ? (int)reported->total.in_use : 0,
				  "draining",
				  reported ? (int)reported->draining : 0));
	}
	free(report);
	return rows;
}

static json_t *make_backends_(struct host *host)
{
	struct bw_backend_info info;
	json_t *rows = json_array();
	uint32_t cursor = 0;

	while (bw_backend_next(&host->steering.backends, &cursor, &info))
		json_array_append_new(
			rows,
			json_pack("{s:s, s:s, s:s, s:s, s:i, s:s, s:i, "
				  "s:i, s:b}",
				  "backend_server", info.id, "service",
				  info.service, "failure_domain",
				  info.failure_domain, "address", info.address,
				  "port", (int)info.port, "state",
				  bw_backend_state_string[info.state], "slots",
				  (int)info.slots, "in_flight",
				  (int)info.in_flight, "draining",
				  (int)info.draining));
	return json_pack("{s:o}", "backend_servers", rows);
}

static json_t *make_drains_(struct host *host)
{
	const struct bw_sheet *sheet = host->steering.sheet;
	int64_t wall_ms = host_wall_ms(host);
	const struct bw_sheet_drain *drain;
	json_t *rows = json_array();
	json_t *row;
	uint32_t i;

	for (i = 0; sheet && i < sheet->drains_count; i++) {
		drain = &sheet->drains[i];
		row = json_pack("{s:s, s:s, s:b}", "start", drain->start,
				"stop", drain->stop, "active",
				(int)(wall_ms >= drain->start_ms &&
				      wall_ms < drain->stop_ms));
		if (drain->backend_server)
			json_object_set_new(row, "backend_server",
					    json_string(drain->backend_server));
		if (drain->failure_domain)
			json_object_set_new(row, "failure_domain",
					    json_string(drain->failure_domain));
		if (drain->service)
			json_object_set_new(row, "service",
					    json_string(drain->service));
		json_array_append_new(rows, row);
	}
	return json_pack("{s:o}", "drains", rows);
}

/*
 * The shares are those in force at this host. The state and the percentage
 * moved change without a new plan: the leader shows the current values of its
 * planner, other hosts those of the plan in force.
 */
static json_t *make_shifts_(struct host *host)
{
	const struct bw_plan *plan = &host->steering.plan;
	const struct bw_plan *planner = plan;
	json_t *rows = json_array();
	uint32_t i;

	if (host->control && host->control->is_leader &&
	    host->control->plan.version)
		planner = &host->control->plan;
	for (i = 0; i < plan->service_count; i++)
		json_array_append_new(rows, make_shift_(plan, planner, i));
	return json_pack("{s:I, s:b, s:o}", "plan_version",
			 (json_int_t)plan->version, "live",
			 (int)(planner != plan), "services", rows);
}

static json_t *make_shift_(const struct bw_plan *plan,
			   const struct bw_plan *planner, uint32_t index)
{
	const struct bw_plan_service *service = &plan->services[index];
	struct bw_shift_limits limits = bw_plan_limits(planner);
	uint32_t planner_service = bw_plan_find_service(planner, service->name);
	uint32_t moved;

	if (planner_service != BW_SHEET_NONE)
		service = &planner->services[planner_service];
	moved = bw_shift_ledger_used(&service->ledger, &limits,
				     planner->clock_ms);
	return json_pack("{s:s, s:s, s:f, s:f, s:I, s:o}", "service",
			 service->name, "state",
			 bw_shift_state_string[service->state], "moved_percent",
			 moved * 100.0 / BW_SHIFT_ALL_TRAFFIC, "cap_percent",
			 limits.cap * 100.0 / BW_SHIFT_ALL_TRAFFIC,
			 "last_step_wall_ms", (json_int_t)service->last_step_ms,
			 "shares", make_shares_(plan, index));
}

static json_t *make_shares_(const struct bw_plan *plan, uint32_t service)
{
	const struct bw_plan_service *entry = &plan->services[service];
	const uint16_t *shares;
	json_t *regions = json_object();
	json_t *row;
	uint32_t r;
	uint32_t i;

	for (r = 0; r < plan->region_count; r++) {
		shares = bw_plan_shares(plan, service, r);
		row = json_object();
		for (i = 0; i < entry->site_count; i++) {
			if (shares[i])
				json_object_set_new(
					row,
					plan->domains
						[plan->sites[entry->site_begin +
							     i]],
					json_integer(shares[i]));
		}
		json_object_set_new(regions, plan->regions[r], row);
	}
	return regions;
}

static json_t *make_dump_(struct host *host)
{
	json_t *view = json_object();

	host_dump(host, view);
	return view;
}

static bool read_report_(struct host *host, const char *domain,
			 struct report_domain *report)
{
	const struct bw_summary *summary =
		bw_aggregator_find(&host->aggregator, domain);

	if (summary && summary->load_bytes &&
	    report_domain_decode(summary->load, summary->load_bytes, report) ==
		    BW_OK)
		return true;
	memset(report, 0, sizeof(*report));
	return false;
}

static const struct report_service *
find_service_(const struct report_domain *report, const char *name)
{
	uint32_t i;

	for (i = 0; i < report->services_count; i++) {
		if (!strcmp(report->services[i].total.service, name))
			return &report->services[i];
	}
	return NULL;
}

static uint32_t slots_in_use_(struct host *host, const char *domain,
			      const char *service)
{
	struct report_domain *report = calloc(1, sizeof(*report));
	const struct report_service *reported = NULL;
	uint32_t in_use = 0;

	if (report && read_report_(host, domain, report))
		reported = find_service_(report, service);
	if (reported)
		in_use = reported->total.in_use;
	free(report);
	return in_use;
}
