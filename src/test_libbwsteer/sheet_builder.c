#include "sheet_builder.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static char *name_(const char *stem, uint32_t number)
{
	char text[BW_NAME_MAX];

	snprintf(text, sizeof(text), "%s-%u", stem, number);
	return strdup(text);
}

static char *domain_name_(uint32_t region, uint32_t number)
{
	char text[BW_NAME_MAX];

	snprintf(text, sizeof(text), "region-%u-%u", region, number);
	return strdup(text);
}

static void build_links_(struct bw_sheet *sheet, const struct sheet_size *size)
{
	uint32_t n = size->regions, a, b;

	sheet->links = calloc((size_t)n * n, sizeof(*sheet->links));
	for (a = 0; a < n; a++) {
		for (b = a + 1; b < n; b++) {
			struct bw_sheet_link *link =
				&sheet->links[sheet->links_count++];

			link->limit_mbit_per_s = size->link_mbit_per_s;
			link->latency_ms = 20 + (b - a);
			link->region[0] = a;
			link->region[1] = b;
		}
	}
}

static void build_service_(struct bw_sheet *sheet,
			   const struct sheet_size *size, uint32_t index)
{
	struct bw_sheet_service *service = &sheet->services[index];
	uint32_t domains = sheet->domains_count;
	uint32_t i;

	service->name = name_("service", index);
	service->mean_answer_kb = 16;
	service->placements_count = size->placements_per_service;
	service->placements = calloc(size->placements_per_service,
				     sizeof(*service->placements));
	for (i = 0; i < size->placements_per_service; i++) {
		struct bw_sheet_placement *placement = &service->placements[i];

		placement->domain =
			(index + i * domains / size->placements_per_service) %
			domains;
		placement->targets = size->targets;
		placement->slots_per_target = size->slots_per_target;
	}
	service->kinds_count = 1;
	service->kinds = calloc(1, sizeof(*service->kinds));
	service->kinds[0].rank_index = index % sheet->ranks_count;
}

struct bw_sheet *sheet_build(const struct sheet_size *size)
{
	struct bw_sheet *sheet = calloc(1, sizeof(*sheet));
	uint32_t i;

	sheet->revision = 1;
	sheet->shift.cap_percent = 20;
	sheet->shift.window_s = 30;
	sheet->shift.answer_ttl_s = 5;
	sheet->ranks_count = 3;
	sheet->ranks = calloc(3, sizeof(*sheet->ranks));
	sheet->ranks[0].worth = 100;
	sheet->ranks[1].worth = 10;
	sheet->ranks[2].worth = 1;
	sheet->regions_count = size->regions;
	sheet->regions = calloc(size->regions, sizeof(*sheet->regions));
	sheet->domains_count = size->regions * size->domains_per_region;
	sheet->domains = calloc(sheet->domains_count, sizeof(*sheet->domains));
	for (i = 0; i < size->regions; i++) {
		sheet->regions[i].name = name_("region", i);
		sheet->regions[i].max_load_percent = 85;
	}
	for (i = 0; i < sheet->domains_count; i++) {
		sheet->domains[i].region = i / size->domains_per_region;
		sheet->domains[i].name =
			domain_name_(i / size->domains_per_region,
				     i % size->domains_per_region);
	}
	build_links_(sheet, size);
	sheet->services_count = size->services;
	sheet->services = calloc(size->services, sizeof(*sheet->services));
	for (i = 0; i < size->services; i++)
		build_service_(sheet, size, i);
	sheet->drains = calloc(8, sizeof(*sheet->drains));
	return sheet;
}

void sheet_add_drain(struct bw_sheet *sheet, const char *failure_domain,
		     const char *service, int64_t start_ms, int64_t stop_ms)
{
	struct bw_sheet_drain *drain = &sheet->drains[sheet->drains_count++];

	drain->failure_domain = strdup(failure_domain);
	drain->service = service ? strdup(service) : NULL;
	drain->start_ms = start_ms;
	drain->stop_ms = stop_ms;
}

void sheet_remove_last_placement(struct bw_sheet *sheet, uint32_t service)
{
	sheet->services[service].placements_count--;
	sheet->revision++;
}

void sheet_destroy(struct bw_sheet *sheet)
{
	uint32_t i;

	for (i = 0; i < sheet->regions_count; i++)
		free(sheet->regions[i].name);
	for (i = 0; i < sheet->domains_count; i++)
		free((char *)sheet->domains[i].name);
	for (i = 0; i < sheet->services_count; i++) {
		free(sheet->services[i].name);
		free(sheet->services[i].placements);
		free(sheet->services[i].kinds);
	}
	for (i = 0; i < sheet->drains_count; i++) {
		free(sheet->drains[i].failure_domain);
		free(sheet->drains[i].service);
	}
	free(sheet->drains);
	free(sheet->services);
	free(sheet->domains);
	free(sheet->regions);
	free(sheet->links);
	free(sheet->ranks);
	free(sheet);
}
