#include "private/sheet_check.h"

#include <arpa/inet.h>
#include <glib.h>
#include <stdlib.h>
#include <string.h>

#define WINDOW_MAX_S 3600
#define PREFIX_BITS_MIN 8 /* shortest prefix of the block table */
#define LATENCY_MAX_MS 60000

/** Arguments shared by the check functions. */
struct check {
	struct bw_sheet *sheet;
	struct bw_yaml_lines *lines;
	struct bw_sheet_errors *errors;
};

#define ERROR_AT_PATH_(check, path, ...)                                      \
	sheet_errors_add((check)->errors, bw_yaml_line((check)->lines, path), \
			 __VA_ARGS__)
#define ERROR_AT_(check, line, ...) \
	sheet_errors_add((check)->errors, line, __VA_ARGS__)

static bool is_valid_name_(const char *name);
static void check_name_(struct check *check, uint32_t line, const char *name);
static void check_regions_(struct check *check);
static void check_region_domains_(struct check *check, uint32_t index);
static void check_links_(struct check *check);
static void check_link_(struct check *check, uint32_t index);
static void check_shift_(struct check *check);
static void check_ranks_(struct check *check);
static void check_services_(struct check *check);
static void check_placements_(struct check *check, uint32_t service);
static void check_kinds_(struct check *check, uint32_t service);
static void check_kind_(struct check *check, uint32_t service, uint32_t kind);
static bool is_known_method_(const char *method);
static bool is_safe_method_(const char *method);
static void check_blocks_(struct check *check);
static bool parse_block_(struct bw_sheet_block *block);
static void check_overlaps_(struct check *check);
static int compare_blocks_(const void *a, const void *b);
static void check_drains_(struct check *check);
static void check_drain_target_(struct check *check, uint32_t index,
				uint32_t line);
static void check_drain_time_(struct check *check, uint32_t index,
			      uint32_t line);
static void check_drain_cap_(struct check *check, uint32_t index,
			     uint32_t line);
static uint32_t drained_percent_(const struct bw_sheet_service *service,
				 const struct bw_sheet_drain *drain);
static bool parse_rfc3339_time_(const char *text, int64_t *wall_ms);

void sheet_check(struct bw_sheet *sheet, struct bw_yaml_lines *lines,
		 struct bw_sheet_errors *errors)
{
	struct check check = { sheet, lines, errors };

	if (!sheet->revision)
		ERROR_AT_PATH_(&check, "revision",
			       "revision must be at least 1");
	check_name_(&check, bw_yaml_line(lines, "deployment"),
		    sheet->deployment);
	check_regions_(&check);
	check_links_(&check);
	check_shift_(&check);
	check_ranks_(&check);
	check_services_(&check);
	check_blocks_(&check);
	check_drains_(&check);
}

static void check_regions_(struct check *check)
{
	struct bw_sheet *sheet = check->sheet;
	uint32_t total = 0;
	uint32_t line;
	uint32_t i;

	for (i = 0; i < sheet->regions_count; i++)
		total += sheet->regions[i].failure_domains_count;
	sheet->domains = calloc(total, sizeof(*sheet->domains));
	if (!sheet->domains) {
		ERROR_AT_(check, 0, "out of memory");
		return;
	}
	for (i = 0; i < sheet->regions_count; i++) {
		line = bw_yaml_line(check->lines, "regions[%u].name", i);
		check_name_(check, line, sheet->regions[i].name);
		if (bw_sheet_find_region(sheet, sheet->regions[i].name) != i)
			ERROR_AT_(check, line, "region '%s' is listed twice",
				  sheet->regions[i].name);
		if (sheet->regions[i].max_load_percent < 1 ||
		    sheet->regions[i].max_load_percent > 100)
			ERROR_AT_(check,
				  bw_yaml_line(check->lines,
					       "regions[%u].max_load_percent",
					       i),
				  "max_load_percent must be 1 to 100");
		check_region_domains_(check, i);
	}
}

static void check_region_domains_(struct check *check, uint32_t index)
{
	struct bw_sheet *sheet = check->sheet;
	struct bw_sheet_region *region = &sheet->regions[index];
	uint32_t line;
	uint32_t i;

	for (i = 0; i < region->failure_domains_count; i++) {
		line = bw_yaml_line(check->lines,
				    "regions[%u].failure_domains[%u]", index,
				    i);
		check_name_(check, line, region->failure_domains[i]);
		if (bw_sheet_find_domain(sheet, region->failure_domains[i]) !=
		    BW_SHEET_NONE) {
			ERROR_AT_(check, line,
				  "failure domain '%s' is listed twice",
				  region->failure_domains[i]);
			continue;
		}
		sheet->domains[sheet->domains_count].name =
			region->failure_domains[i];
		sheet->domains[sheet->domains_count].region = index;
		sheet->domains_count++;
	}
}

static void check_links_(struct check *check)
{
	uint32_t i;

	for (i = 0; i < check->sheet->links_count; i++)
		check_link_(check, i);
}

static void check_link_(struct check *check, uint32_t index)
{
	struct bw_sheet *sheet = check->sheet;
	struct bw_sheet_link *link = &sheet->links[index];
	uint32_t line = bw_yaml_line(check->lines, "links[%u]", index);
	uint32_t i;

	if (link->between_count != 2) {
		ERROR_AT_(check, line, "a link must name exactly two regions");
		return;
	}
	for (i = 0; i < 2; i++) {
		link->region[i] = bw_sheet_find_region(sheet, link->between[i]);
		if (link->region[i] == BW_SHEET_NONE)
			ERROR_AT_(check, line, "unknown region '%s'",
				  link->between[i]);
	}
	if (link->region[0] == link->region[1])
		ERROR_AT_(check, line,
			  "a link must join two different regions");
	for (i = 0; i < index; i++) {
		if ((sheet->links[i].region[0] == link->region[0] &&
		     sheet->links[i].region[1] == link->region[1]) ||
		    (sheet->links[i].region[0] == link->region[1] &&
		     sheet->links[i].region[1] == link->region[0]))
			ERROR_AT_(check, line, "link is listed twice");
	}
	if (!link->limit_mbit_per_s)
		ERROR_AT_(check, line, "limit_mbit_per_s must be at least 1");
	if (!(link->latency_ms >= 0 && link->latency_ms <= LATENCY_MAX_MS))
		ERROR_AT_(check, line, "latency_ms must be 0 to %d",
			  LATENCY_MAX_MS);
}

static void check_shift_(struct check *check)
{
	struct bw_sheet_shift *shift = &check->sheet->shift;

	if (shift->cap_percent < 1 || shift->cap_percent > 100)
		ERROR_AT_PATH_(check, "shift.cap_percent",
			       "cap_percent must be 1 to 100");
	if (shift->window_s < 1 || shift->window_s > WINDOW_MAX_S)
		ERROR_AT_PATH_(check, "shift.window_s",
			       "window_s must be 1 to %d", WINDOW_MAX_S);
	if (!shift->answer_ttl_s)
		ERROR_AT_PATH_(check, "shift.answer_ttl_s",
			       "answer_ttl_s must be at least 1");
	if (shift->answer_ttl_s > shift->window_s)
		ERROR_AT_PATH_(
			check, "shift.answer_ttl_s",
			"answer_ttl_s of %u exceeds window_s of %u, so the "
			"cap cannot hold",
			shift->answer_ttl_s, shift->window_s);
}

static void check_ranks_(struct check *check)
{
	struct bw_sheet *sheet = check->sheet;
	uint64_t total_percent = 0;
	uint32_t line;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < sheet->ranks_count; i++) {
		line = bw_yaml_line(check->lines, "ranks[%u]", i);
		check_name_(check, line, sheet->ranks[i].name);
		for (j = 0; j < i; j++) {
			if (!strcmp(sheet->ranks[i].name, sheet->ranks[j].name))
				ERROR_AT_(check, line,
					  "rank '%s' is listed twice",
					  sheet->ranks[i].name);
		}
		if (!sheet->ranks[i].target_latency_ms)
			ERROR_AT_(check, line,
				  "target_latency_ms must be at least 1");
		total_percent += sheet->ranks[i].min_share_percent;
	}
	if (total_percent > 100)
		ERROR_AT_PATH_(
			check, "ranks",
			"minimum shares add up to %llu percent, more than 100",
			(unsigned long long)total_percent);
}

static void check_services_(struct check *check)
{
	struct bw_sheet *sheet = check->sheet;
	uint32_t line;
	uint32_t i;

	for (i = 0; i < sheet->services_count; i++) {
		line = bw_yaml_line(check->lines, "services[%u].name", i);
		check_name_(check, line, sheet->services[i].name);
		if (bw_sheet_find_service(sheet, sheet->services[i].name) != i)
			ERROR_AT_(check, line, "service '%s' is listed twice",
				  sheet->services[i].name);
		check_placements_(check, i);
		check_kinds_(check, i);
	}
}

static void check_placements_(struct check *check, uint32_t service)
{
	struct bw_sheet *sheet = check->sheet;
	struct bw_sheet_service *entry = &sheet->services[service];
	struct bw_sheet_placement *placement;
	uint32_t line;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < entry->placements_count; i++) {
		placement = &entry->placements[i];
		line = bw_yaml_line(check->lines, "services[%u].placements[%u]",
				    service, i);
		placement->domain =
			bw_sheet_find_domain(sheet, placement->failure_domain);
		if (placement->domain == BW_SHEET_NONE)
			ERROR_AT_(check, line, "unknown failure domain '%s'",
				  placement->failure_domain);
		for (j = 0; j < i; j++) {
			if (!strcmp(entry->placements[j].failure_domain,
				    placement->failure_domain))
				ERROR_AT_(check, line,
					  "second placement in failure "
					  "domain '%s'",
					  placement->failure_domain);
		}
		if (!placement->targets || !placement->slots_per_target)
			ERROR_AT_(check, line,
				  "targets and slots_per_target must be at "
				  "least 1");
		if (placement->connections_per_target <
		    placement->slots_per_target)
			ERROR_AT_(check, line,
				  "connections_per_target is below "
				  "slots_per_target");
	}
}

static void check_kinds_(struct check *check, uint32_t service)
{
	uint32_t i;

	for (i = 0; i < check->sheet->services[service].kinds_count; i++)
		check_kind_(check, service, i);
}

static void check_kind_(struct check *check, uint32_t service, uint32_t kind)
{
	struct bw_sheet *sheet = check->sheet;
	struct bw_sheet_service *entry = &sheet->services[service];
	struct bw_sheet_kind *checked = &entry->kinds[kind];
	uint32_t line = bw_yaml_line(check->lines, "services[%u].kinds[%u]",
				     service, kind);
	uint32_t i;

	check_name_(check, line, checked->name);
	checked->rank_index = BW_SHEET_NONE;
	for (i = 0; i < sheet->ranks_count; i++) {
		if (!strcmp(sheet->ranks[i].name, checked->rank))
			checked->rank_index = i;
	}
	if (checked->rank_index == BW_SHEET_NONE)
		ERROR_AT_(check, line, "unknown rank '%s'", checked->rank);
	if (!is_known_method_(checked->method))
		ERROR_AT_(check, line, "unknown method '%s'", checked->method);
	if (is_safe_method_(checked->method) && !checked->idempotent)
		ERROR_AT_(check, line, "a %s request must be idempotent",
			  checked->method);
	if (checked->path[0] != '/')
		ERROR_AT_(check, line, "path must start with '/'");
	for (i = 0; i < kind; i++) {
		if (!strcmp(entry->kinds[i].name, checked->name))
			ERROR_AT_(check, line, "kind '%s' is listed twice",
				  checked->name);
		if (!strcmp(entry->kinds[i].method, checked->method) &&
		    !strcmp(entry->kinds[i].path, checked->path))
			ERROR_AT_(check, line,
				  "second kind with method %s and path '%s'",
				  checked->method, checked->path);
	}
}

static bool is_known_method_(const char *method)
{
	static const char *const known[] = { "GET", "HEAD",  "POST",
					     "PUT", "PATCH", "DELETE" };
	size_t i;

	for (i = 0; i < sizeof(known) / sizeof(known[0]); i++) {
		if (!strcmp(known[i], method))
			return true;
	}
	return false;
}

static bool is_safe_method_(const char *method)
{
	return !strcmp(method, "GET") || !strcmp(method, "HEAD");
}

static void check_blocks_(struct check *check)
{
	struct bw_sheet *sheet = check->sheet;
	struct bw_sheet_block *block;
	bool all_valid = true;
	uint32_t i;

	for (i = 0; i < sheet->client_blocks_count; i++) {
		block = &sheet->client_blocks[i];
		block->region_index =
			bw_sheet_find_region(sheet, block->region);
		if (block->region_index == BW_SHEET_NONE)
			ERROR_AT_(check,
				  bw_yaml_line(check->lines,
					       "client_blocks[%u].region", i),
				  "unknown region '%s'", block->region);
		if (parse_block_(block))
			continue;
		all_valid = false;
		ERROR_AT_(check,
			  bw_yaml_line(check->lines, "client_blocks[%u].block",
				       i),
			  "'%s' is not an IPv4 prefix of 8 to 32 bits with "
			  "its host bits zero",
			  block->block);
	}
	if (all_valid)
		check_overlaps_(check);
}

static bool parse_block_(struct bw_sheet_block *block)
{
	char address[BW_NAME_MAX];
	struct in_addr parsed;
	char *slash;
	char *end;
	unsigned long bits;

	if (!bw_name_set(address, block->block))
		return false;
	slash = strchr(address, '/');
	if (!slash)
		return false;
	*slash = '\0';
	if (slash[1] < '0' || slash[1] > '9')
		return false;
	bits = strtoul(slash + 1, &end, 10);
	if (*end || bits < PREFIX_BITS_MIN || bits > 32 ||
	    inet_pton(AF_INET, address, &parsed) != 1)
		return false;
	block->prefix = ntohl(parsed.s_addr);
	block->prefix_bits = (uint32_t)bits;
	return bits == 32 || !(block->prefix & (UINT32_MAX >> bits));
}

static void check_overlaps_(struct check *check)
{
	struct bw_sheet *sheet = check->sheet;
	const struct bw_sheet_block **sorted;
	uint64_t end = 0;
	uint32_t i;

	if (sheet->client_blocks_count < 2)
		return;
	sorted = calloc(sheet->client_blocks_count, sizeof(*sorted));
	if (!sorted) {
		ERROR_AT_(check, 0, "out of memory");
		return;
	}
	for (i = 0; i < sheet->client_blocks_count; i++)
		sorted[i] = &sheet->client_blocks[i];
	qsort(sorted, sheet->client_blocks_count, sizeof(*sorted),
	      compare_blocks_);
	for (i = 0; i < sheet->client_blocks_count; i++) {
		if (i && sorted[i]->prefix < end)
			ERROR_AT_(
				check,
				bw_yaml_line(check->lines, "client_blocks[%u]",
					     (uint32_t)(sorted[i] -
							sheet->client_blocks)),
				"block '%s' overlaps another block",
				sorted[i]->block);
		end = (uint64_t)sorted[i]->prefix +
		      (UINT64_C(1) << (32 - sorted[i]->prefix_bits));
	}
	free(sorted);
}

static int compare_blocks_(const void *a, const void *b)
{
	const struct bw_sheet_block *left =
		*(const struct bw_sheet_block *const *)a;
	const struct bw_sheet_block *right =
		*(const struct bw_sheet_block *const *)b;

	if (left->prefix != right->prefix)
		return left->prefix < right->prefix ? -1 : 1;
	if (left->prefix_bits != right->prefix_bits)
		return left->prefix_bits < right->prefix_bits ? -1 : 1;
	return 0;
}

static void check_drains_(struct check *check)
{
	uint32_t line;
	uint32_t i;

	for (i = 0; i < check->sheet->drains_count; i++) {
		line = bw_yaml_line(check->lines, "drains[%u]", i);
		check_drain_target_(check, i, line);
		check_drain_time_(check, i, line);
		check_drain_cap_(check, i, line);
	}
}

static void check_drain_target_(struct check *check, uint32_t index,
				uint32_t line)
{
	struct bw_sheet *sheet = check->sheet;
	struct bw_sheet_drain *drain = &sheet->drains[index];

	if (!drain->backend_server == !drain->failure_domain)
		ERROR_AT_(check, line,
			  "a drain must name either backend_server or "
			  "failure_domain");
	if (drain->backend_server && drain->service)
		ERROR_AT_(check, line,
			  "service is allowed only with failure_domain");
	if (drain->failure_domain &&
	    bw_sheet_find_domain(sheet, drain->failure_domain) == BW_SHEET_NONE)
		ERROR_AT_(check, line, "unknown failure domain '%s'",
			  drain->failure_domain);
	if (drain->service &&
	    bw_sheet_find_service(sheet, drain->service) == BW_SHEET_NONE)
		ERROR_AT_(check, line, "unknown service '%s'", drain->service);
}

static void check_drain_time_(struct check *check, uint32_t index,
			      uint32_t line)
{
	struct bw_sheet_drain *drain = &check->sheet->drains[index];

	if (!parse_rfc3339_time_(drain->start, &drain->start_ms))
		ERROR_AT_(check, line, "start '%s' is not an RFC 3339 time",
			  drain->start);
	else if (!parse_rfc3339_time_(drain->stop, &drain->stop_ms))
		ERROR_AT_(check, line, "stop '%s' is not an RFC 3339 time",
			  drain->stop);
	else if (drain->stop_ms <= drain->start_ms)
		ERROR_AT_(check, line, "stop is not after start");
}

/*
 * Draining a failure domain moves its share of each service elsewhere. The cap
 * on traffic moved per window makes this take several windows, and the drain
 * must last at least as long.
 */
static void check_drain_cap_(struct check *check, uint32_t index, uint32_t line)
{
	const struct bw_sheet *sheet = check->sheet;
	const struct bw_sheet_drain *drain = &sheet->drains[index];
	const struct bw_sheet_service *service;
	uint64_t windows;
	uint32_t percent;
	uint32_t i;

	if (!drain->failure_domain || !sheet->shift.cap_percent ||
	    drain->stop_ms <= drain->start_ms)
		return;
	for (i = 0; i < sheet->services_count; i++) {
		service = &sheet->services[i];
		if (drain->service && strcmp(drain->service, service->name))
			continue;
		percent = drained_percent_(service, drain);
		if (percent == 100)
			ERROR_AT_(check, line,
				  "drain leaves service '%s' without a "
				  "placement",
				  service->name);
		windows = (percent + sheet->shift.cap_percent - 1) /
			  sheet->shift.cap_percent;
		if ((uint64_t)(drain->stop_ms - drain->start_ms) <
		    windows * sheet->shift.window_s * 1000)
			ERROR_AT_(check, line,
				  "drain is too short to move %u percent of "
				  "service '%s' under a cap of %u percent in "
				  "%u s",
				  percent, service->name,
				  sheet->shift.cap_percent,
				  sheet->shift.window_s);
	}
}

static uint32_t drained_percent_(const struct bw_sheet_service *service,
				 const struct bw_sheet_drain *drain)
{
	uint64_t total = 0;
	uint64_t drained = 0;
	uint64_t slots;
	uint32_t i;

	for (i = 0; i < service->placements_count; i++) {
		slots = (uint64_t)service->placements[i].targets *
			service->placements[i].slots_per_target;
		total += slots;
		if (!strcmp(service->placements[i].failure_domain,
			    drain->failure_domain))
			drained += slots;
	}
	return total ? (uint32_t)((drained * 100 + total - 1) / total) : 0;
}

static bool parse_rfc3339_time_(const char *text, int64_t *wall_ms)
{
	GDateTime *time = g_date_time_new_from_iso8601(text, NULL);

	if (!time)
		return false;
	*wall_ms = g_date_time_to_unix(time) * 1000 +
		   g_date_time_get_microsecond(time) / 1000;
	g_date_time_unref(time);
	return true;
}

static void check_name_(struct check *check, uint32_t line, const char *name)
{
	if (!is_valid_name_(name))
		ERROR_AT_(check, line,
			  "name '%s' has characters other than a-z, 0-9, '-' "
			  "and '.'",
			  name);
}

static bool is_valid_name_(const char *name)
{
	return name[strspn(name, "abcdefghijklmnopqrstuvwxyz0123456789-.")] ==
	       '\0';
}
