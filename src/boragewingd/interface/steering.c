#include "steering.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "gossip.h"
#include "host.h"

#define CHART_PATH_BYTES 512
#define REPORT_INTERVAL_MS 1000
#define GOSSIP_INTERVAL_MS 1000
#define CHECK_INTERVAL_MS 250
/** No limit per host: only the slots of backend servers limit requests. */
#define HOST_SLOTS_NO_LIMIT 0

static enum bw_status load_charts_(struct steering *steering,
				   struct bw_yaml_error *error);
static enum bw_status init_credit_(struct steering *steering,
				   struct bw_time now);
static enum bw_status init_keys_(struct steering *steering, struct bw_time now);
static enum bw_status init_admission_(struct steering *steering,
				      struct bw_time now);
static void configure_admission_(struct steering *steering);
static void update_client_blocks_(struct steering *steering,
				  const struct bw_sheet *previous);
static void check_servers_(struct steering *steering, struct bw_time now);
static void set_capacities_(struct steering *steering, struct bw_time now);
static uint32_t service_capacity_(const struct steering *steering,
				  const struct bw_sheet_service *service,
				  struct bw_time now);
static void send_host_report_(struct steering *steering, struct bw_time now);
static void publish_domain_load_(struct steering *steering, struct bw_time now);
static void add_backend_slots_(struct steering *steering,
			       struct report_domain *domain,
			       struct bw_time now);
static struct report_service *find_or_add_service_(struct report_domain *domain,
						   const char *name);
static void update_backup_(struct steering *steering, struct bw_time now);
static bool domain_is_drained_(const struct steering *steering,
			       const char *service);

enum bw_status steering_init(struct steering *steering, struct host *host,
			     struct bw_yaml_error *error)
{
	struct bw_time now = host_now(host);
	struct bw_backend_config backend_config;
	struct bw_retry_config retry_config;
	struct bw_poison_config poison_config;
	enum bw_status status;

	memset(steering, 0, sizeof(*steering));
	steering->host = host;
	status = load_charts_(steering, error);
	if (status != BW_OK)
		return status;
	bw_plan_init(&steering->plan, &steering->shift_chart);
	bw_backend_config_default(&backend_config, &steering->backend_chart);
	bw_retry_config_default(&retry_config);
	bw_poison_config_default(&poison_config, host->settings->host.name);
	status = bw_blocks_init(&steering->blocks);
	if (status == BW_OK)
		status = bw_backend_init(&steering->backends, &backend_config);
	if (status == BW_OK)
		status = bw_retry_init(&steering->retry, &retry_config, now);
	if (status == BW_OK)
		status = bw_poison_init(&steering->poison, &poison_config);
	if (status == BW_OK)
		status = report_table_init(&steering->reports, now);
	if (status == BW_OK)
		status = init_credit_(steering, now);
	if (status == BW_OK)
		status = init_admission_(steering, now);
	if (status == BW_OK)
		status = init_keys_(steering, now);
	if (status != BW_OK)
		snprintf(error->text, sizeof(error->text), "steering: %s",
			 bw_status_string[status]);
	return status;
}

void steering_finish(struct steering *steering)
{
	bw_keys_finish(&steering->keys);
	bw_admission_finish(&steering->admission);
	bw_credit_finish(&steering->credit);
	report_table_finish(&steering->reports);
	bw_poison_finish(&steering->poison);
	bw_retry_finish(&steering->retry);
	bw_backend_finish(&steering->backends);
	bw_blocks_finish(&steering->blocks);
	bw_plan_finish(&steering->plan);
	bw_sheet_free(steering->sheet);
}

void steering_set_sheet(struct steering *steering, const void *text,
			size_t size_bytes)
{
	struct host *host = steering->host;
	struct bw_sheet_errors errors;
	struct bw_sheet *previous;
	struct bw_sheet *sheet = NULL;

	bw_sheet_errors_init(&errors);
	if (bw_sheet_load(text, size_bytes, &sheet, &errors) != BW_OK) {
		bw_log_event(host->log, BW_LOG_ERROR, "steering",
			     "sheet_not_loaded", "{s:s}", "cause",
			     errors.count ? errors.items[0].text : "memory");
		bw_sheet_errors_finish(&errors);
		return;
	}
	bw_sheet_errors_finish(&errors);
	previous = steering->sheet;
	steering->sheet = sheet;
	steering->sheet_since_wall_ms = host_wall_ms(host);
	steering->next_check = host_now(host);
	configure_admission_(steering);
	update_client_blocks_(steering, previous);
	bw_sheet_free(previous);
	bw_log_event(host->log, BW_LOG_INFO, "steering", "sheet_in_force",
		     "{s:I}", "revision", (json_int_t)sheet->revision);
}

void steering_set_plan(struct steering *steering, const void *data,
		       size_t size_bytes)
{
	if (bw_plan_decode(&steering->plan, data, size_bytes) != BW_OK)
		bw_log_event(steering->host->log, BW_LOG_ERROR, "steering",
			     "plan_malformed", NULL);
	else
		steering->plan_since_wall_ms = host_wall_ms(steering->host);
}

void steering_receive(struct steering *steering, const struct bw_packet *packet,
		      struct bw_time now)
{
	struct bw_outbox *out = &steering->host->out;
	struct report_host *report;

	switch (packet->channel) {
	case BW_CHANNEL_CREDIT:
		bw_credit_receive(&steering->credit, packet, now, out);
		break;
	case BW_CHANNEL_KEYS:
		bw_keys_receive(&steering->keys, packet, now, out);
		break;
	case BW_CHANNEL_POISON:
		bw_poison_decode(&steering->poison, packet->data,
				 packet->size_bytes, now);
		break;
	case BW_CHANNEL_BACKEND:
		bw_backend_decode(&steering->backends, packet->data,
				  packet->size_bytes, now);
		break;
	case BW_CHANNEL_PLAN:
		report = malloc(sizeof(*report));
		if (report &&
		    report_host_decode(packet->data, packet->size_bytes,
				       report) == BW_OK)
			report_store(&steering->reports, report, now);
		free(report);
		break;
	default:
		break;
	}
}

void steering_tick(struct steering *steering, struct bw_time now)
{
	struct host *host = steering->host;

	bw_backend_tick(&steering->backends, now);
	bw_poison_tick(&steering->poison, now);
	if (bw_time_reached(now, steering->next_check)) {
		steering->next_check = bw_time_add(now, CHECK_INTERVAL_MS);
		check_servers_(steering, now);
		set_capacities_(steering, now);
		update_backup_(steering, now);
	}
	if (bw_time_reached(now, steering->next_report)) {
		steering->next_report = bw_time_add(now, REPORT_INTERVAL_MS);
		send_host_report_(steering, now);
		publish_domain_load_(steering, now);
	}
	if (steering->gossip_now ||
	    bw_time_reached(now, steering->next_gossip)) {
		gossip_backends(steering, steering->gossip_now, now);
		steering->gossip_now = false;
		steering->next_gossip = bw_time_add(now, GOSSIP_INTERVAL_MS);
		gossip_poison(steering, now);
	}
	bw_credit_tick(&steering->credit, now, &host->out);
	bw_keys_tick(&steering->keys, now, &host->out);
}

uint32_t steering_caller_region(const struct steering *steering,
				const char *address)
{
	struct in_addr parsed;
	uint16_t group = BW_BLOCKS_NONE;

	if (!steering->sheet)
		return BW_SHEET_NONE;
	if (inet_pton(AF_INET, address, &parsed) == 1)
		group = bw_blocks_find(&steering->blocks, ntohl(parsed.s_addr));
	if (group != BW_BLOCKS_NONE)
		return group;
	return bw_sheet_find_region(steering->sheet,
				    steering->host->settings->host.region);
}

uint32_t steering_free_slots(struct steering *steering, const char *service,
			     uint32_t running, struct bw_time now)
{
	struct bw_backend_summary summary;
	uint32_t leased = bw_credit_available(&steering->credit, service, now);

	if (leased <= running)
		return 0;
	leased -= running;
	bw_backend_summarise(&steering->backends, service, now, &summary);
	return leased < summary.free_slots ? leased : summary.free_slots;
}

bool steering_has_servers(struct steering *steering, const char *service,
			  struct bw_time now)
{
	struct bw_backend_summary summary;

	return bw_backend_summarise(&steering->backends, service, now,
				    &summary) == BW_OK &&
	       summary.healthy_slots + summary.warming_slots +
			       summary.ejected_slots >
		       0;
}

void steering_dump(const struct steering *steering, json_t *into)
{
	struct bw_time now = host_now(steering->host);
	json_t *backends = json_object();
	json_t *credit = json_object();
	json_t *admission = json_object();
	json_t *retry = json_object();
	json_t *poison = json_object();
	json_t *keys = json_object();

	bw_backend_dump(&steering->backends, now, backends);
	bw_credit_dump(&steering->credit, credit);
	bw_admission_dump(&steering->admission, admission);
	bw_retry_dump(&steering->retry, retry);
	bw_poison_dump(&steering->poison, now, poison);
	bw_keys_dump(&steering->keys, keys);
	json_object_set_new(into, "backends", backends);
	json_object_set_new(into, "credit", credit);
	json_object_set_new(into, "admission", admission);
	json_object_set_new(into, "retry", retry);
	json_object_set_new(into, "poison", poison);
	json_object_set_new(into, "keys", keys);
	json_object_set_new(into, "client_blocks",
			    json_integer(steering->blocks.count));
	json_object_set_new(into, "plan_version",
			    json_integer((json_int_t)steering->plan.version));
}

static enum bw_status load_charts_(struct steering *steering,
				   struct bw_yaml_error *error)
{
	const char *folder = steering->host->settings->charts_folder;
	char path[CHART_PATH_BYTES];
	enum bw_status status;

	snprintf(path, sizeof(path), "%s/backend.yaml", folder);
	status = bw_chart_load(&steering->backend_chart, path,
			       &bw_backend_chart_names, error);
	if (status != BW_OK)
		return status;
	snprintf(path, sizeof(path), "%s/shift.yaml", folder);
	status = bw_chart_load(&steering->shift_chart, path,
			       &bw_shift_chart_names, error);
	if (status != BW_OK)
		return status;
	snprintf(path, sizeof(path), "%s/request_key.yaml", folder);
	return bw_chart_load(&steering->key_chart, path, &bw_keys_chart_names,
			     error);
}

/* The seeds in the settings define how many hosts the domain can have. */
static enum bw_status init_credit_(struct steering *steering,
				   struct bw_time now)
{
	const struct settings *settings = steering->host->settings;
	struct bw_credit_config config = {
		.incarnation = steering->host->incarnation
	};
	uint32_t i;

	bw_name_set(config.self, settings->host.name);
	bw_name_set(config.domain, settings->host.failure_domain);
	for (i = 0; i < settings->seeds_count; i++) {
		if (!strcmp(settings->seeds[i].failure_domain,
			    settings->host.failure_domain))
			config.host_count++;
	}
	if (!config.host_count)
		config.host_count = 1;
	return bw_credit_init(&steering->credit, &config, now);
}

static enum bw_status init_keys_(struct steering *steering, struct bw_time now)
{
	struct host *host = steering->host;
	struct bw_keys_config config;

	bw_keys_config_default(&config);
	bw_name_set(config.host, host->settings->host.name);
	config.incarnation = host->incarnation;
	memcpy(config.secret, host->settings->fleet_key, sizeof(config.secret));
	config.chart = &steering->key_chart;
	config.wall_ms = host->start_wall_ms;
	config.records_max = host->settings->limits.request_records;
	config.backup_records_max = config.records_max;
	if (config.backup_records_per_owner_max > config.records_max)
		config.backup_records_per_owner_max = config.records_max;
	config.responses_max_bytes =
		(uint64_t)host->settings->limits.response_pool_kb * 1024;
	config.backup_responses_max_bytes = config.responses_max_bytes;
	return bw_keys_init(&steering->keys, &config, now);
}

static enum bw_status init_admission_(struct steering *steering,
				      struct bw_time now)
{
	struct bw_admission_config config;

	bw_admission_config_default(&config);
	config.total_max = steering->host->settings->limits.queued_requests;
	config.ranks_count = BW_SHEET_RANKS_MAX;
	return bw_admission_init(&steering->admission, &config, now);
}

static void configure_admission_(struct steering *steering)
{
	const struct bw_sheet *sheet = steering->sheet;
	struct bw_admission_config config = steering->admission.config;
	uint32_t i;

	config.host_slots = HOST_SLOTS_NO_LIMIT;
	config.ranks_count = sheet->ranks_count;
	for (i = 0; i < sheet->ranks_count; i++) {
		config.rank[i].min_share_percent =
			sheet->ranks[i].min_share_percent;
		config.rank[i].target_latency_ms =
			sheet->ranks[i].target_latency_ms;
	}
	bw_admission_configure(&steering->admission, &config);
}

/* Applies the difference between two sheets; rebuilds the table on failure. */
static void update_client_blocks_(struct steering *steering,
				  const struct bw_sheet *previous)
{
	uint32_t changed = 0;

	if (bw_blocks_apply(&steering->blocks, previous, steering->sheet,
			    &changed) == BW_OK)
		return;
	bw_blocks_finish(&steering->blocks);
	if (bw_blocks_init(&steering->blocks) != BW_OK ||
	    bw_blocks_apply(&steering->blocks, NULL, steering->sheet,
			    &changed) != BW_OK)
		bw_log_event(steering->host->log, BW_LOG_ERROR, "steering",
			     "blocks_incomplete", NULL);
}

/*
 * Applies the drains of the sheet, and reports lost servers to the crash
 * fingerprints: a connection lost during a run counts as a crash only if the
 * server is lost as well.
 */
static void check_servers_(struct steering *steering, struct bw_time now)
{
	int64_t wall_ms = host_wall_ms(steering->host);
	struct bw_backend_info info;
	uint32_t cursor = 0;

	while (bw_backend_next(&steering->backends, &cursor, &info)) {
		if (info.state == BW_BACKEND_LOST)
			bw_poison_server_lost(&steering->poison,
					      info.incarnation, now);
		if (steering->sheet)
			bw_backend_set_sheet_drain(
				&steering->backends, info.id,
				bw_sheet_is_draining(
					steering->sheet, info.id, info.service,
					info.failure_domain, wall_ms),
				now);
	}
}

static void set_capacities_(struct steering *steering, struct bw_time now)
{
	const struct bw_sheet *sheet = steering->sheet;
	struct host *host = steering->host;
	struct bw_credit_capacity capacities[BW_CREDIT_SERVICES_MAX];
	uint32_t live_hosts = 0;
	uint32_t count;
	uint32_t i;

	for (i = 0; i < bw_member_count(&host->member); i++)
		live_hosts += bw_member_state_is_up(
			bw_member_at(&host->member, i)->state);
	bw_credit_set_domain(&steering->credit,
			     bw_aggregator_current(&host->aggregator),
			     live_hosts);
	if (!sheet)
		return;
	count = sheet->services_count < BW_CREDIT_SERVICES_MAX
			? sheet->services_count
			: BW_CREDIT_SERVICES_MAX;
	for (i = 0; i < count; i++) {
		bw_name_set(capacities[i].service, sheet->services[i].name);
		capacities[i].slots =
			service_capacity_(steering, &sheet->services[i], now);
		capacities[i].demand = report_demand_slots(
			&steering->reports, sheet->services[i].name);
	}
	bw_credit_set_services(&steering->credit, capacities, count);
}

/*
 * The usable slots of the announced backend servers, up to the slots that the
 * sheet places in this domain and in domains of the region without a live host.
 * The region's headroom is subtracted.
 */
static uint32_t service_capacity_(const struct steering *steering,
				  const struct bw_sheet_service *service,
				  struct bw_time now)
{
	const struct bw_sheet *sheet = steering->sheet;
	const struct settings_host *self = &steering->host->settings->host;
	const struct directory_domain *domain;
	const struct bw_sheet_placement *placement;
	struct bw_backend_summary summary;
	uint32_t region = bw_sheet_find_region(sheet, self->region);
	uint64_t placed_slots = 0;
	uint32_t i;

	if (region == BW_SHEET_NONE)
		return 0;
	for (i = 0; i < service->placements_count; i++) {
		placement = &service->placements[i];
		if (sheet->domains[placement->domain].region != region)
			continue;
		domain = directory_find(&steering->host->directory,
					placement->failure_domain);
		if (strcmp(placement->failure_domain, self->failure_domain) &&
		    domain && domain->alive)
			continue;
		placed_slots += (uint64_t)placement->targets *
				placement->slots_per_target;
	}
	bw_backend_summarise(&steering->backends, service->name, now, &summary);
	if (summary.usable_slots < placed_slots)
		placed_slots = summary.usable_slots;
	return (uint32_t)(placed_slots *
			  sheet->regions[region].max_load_percent / 100);
}

static void send_host_report_(struct steering *steering, struct bw_time now)
{
	struct host *host = steering->host;
	const char *aggregator = bw_aggregator_current(&host->aggregator);
	struct report_host *report = calloc(1, sizeof(*report));
	struct bw_buffer body;

	if (!report)
		return;
	bw_name_set(report->status.name, host->settings->host.name);
	report->status.incarnation = host->incarnation;
	report->status.revision =
		bw_distribute_number(&host->distribute, BW_DOCUMENT_SHEET);
	report->status.since_wall_ms = steering->sheet_since_wall_ms;
	report->status.plan_version =
		bw_distribute_number(&host->distribute, BW_DOCUMENT_PLAN);
	report->status.leaving = host_is_leaving(host);
	report_close_interval(&steering->reports, now, report);
	report_store(&steering->reports, report, now);
	bw_buffer_init(&body);
	if (aggregator[0] && strcmp(aggregator, host->settings->host.name) &&
	    report_host_encode(report,
			       steering->sheet ? steering->sheet->regions_count
					       : 0,
			       &body) == BW_OK)
		bw_outbox_add(&host->out, aggregator, BW_CHANNEL_PLAN,
			      body.data, body.size_bytes);
	bw_buffer_finish(&body);
	free(report);
}

static void publish_domain_load_(struct steering *steering, struct bw_time now)
{
	struct host *host = steering->host;
	struct report_domain *domain;
	struct bw_buffer blob;

	if (!bw_aggregator_is_self(&host->aggregator))
		return;
	domain = calloc(1, sizeof(*domain));
	if (!domain)
		return;
	bw_buffer_init(&blob);
	if (steering->sheet)
		domain->regions_count = steering->sheet->regions_count;
	report_sum(&steering->reports, now, domain);
	add_backend_slots_(steering, domain, now);
	if (report_domain_encode(domain, &blob) == BW_OK &&
	    bw_aggregator_set_load(&host->aggregator, blob.data,
				   blob.size_bytes) != BW_OK)
		bw_log_event(host->log, BW_LOG_WARNING, "steering",
			     "load_report_too_large", "{s:I}", "bytes",
			     (json_int_t)blob.size_bytes);
	bw_buffer_finish(&blob);
	free(domain);
}

static void add_backend_slots_(struct steering *steering,
			       struct report_domain *domain, struct bw_time now)
{
	const struct bw_sheet *sheet = steering->sheet;
	struct bw_backend_summary summary;
	struct report_service *service;
	uint32_t ramped_slots;
	uint32_t i;

	for (i = 0; sheet && i < sheet->services_count; i++) {
		if (bw_backend_summarise(&steering->backends,
					 sheet->services[i].name, now,
					 &summary) != BW_OK)
			continue;
		service = find_or_add_service_(domain, sheet->services[i].name);
		if (!service)
			continue;
		ramped_slots =
			summary.usable_slots > summary.healthy_slots
				? summary.usable_slots - summary.healthy_slots
				: 0;
		service->healthy_slots = summary.healthy_slots;
		service->warming_slots = summary.warming_slots;
		service->ramp =
			summary.warming_slots
				? ramped_slots * 1000 / summary.warming_slots
				: 0;
		service->draining =
			domain_is_drained_(steering, sheet->services[i].name);
	}
}

static struct report_service *find_or_add_service_(struct report_domain *domain,
						   const char *name)
{
	uint32_t i;

	for (i = 0; i < domain->services_count; i++) {
		if (!strcmp(domain->services[i].total.service, name))
			return &domain->services[i];
	}
	if (domain->services_count == REPORT_SERVICES_MAX)
		return NULL;
	bw_name_set(domain->services[i].total.service, name);
	domain->services_count++;
	return &domain->services[i];
}

static bool domain_is_drained_(const struct steering *steering,
			       const char *service)
{
	return bw_sheet_is_draining(
		steering->sheet, "", service,
		steering->host->settings->host.failure_domain,
		host_wall_ms(steering->host));
}

static void update_backup_(struct steering *steering, struct bw_time now)
{
	const struct directory_host *backup =
		directory_choose_backup(&steering->host->directory);

	if (backup)
		bw_keys_set_backup(&steering->keys, backup->name,
				   backup->incarnation, now);
	else
		bw_keys_set_backup(&steering->keys, "", 0, now);
}
