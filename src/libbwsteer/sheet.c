#include "bwsteer/sheet.h"

#include <assert.h>
#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "private/sheet_check.h"

#define NAME_LENGTH_MAX (BW_NAME_MAX - 1)
#define TEXT_LENGTH_MAX 255
#define DEFAULT_CRASH_LIMIT 2

#define NAME_FIELD_(key, type)                                                \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER, struct type, key, 1, \
			       NAME_LENGTH_MAX)
#define TEXT_FIELD_(key, type, flags)                              \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | (flags), \
			       struct type, key, 1, TEXT_LENGTH_MAX)
#define UINT_FIELD_(key, type) \
	CYAML_FIELD_UINT(#key, CYAML_FLAG_DEFAULT, struct type, key)
#define LIST_FIELD_(key, type, entry, flags, min)                             \
	CYAML_FIELD_SEQUENCE(#key, CYAML_FLAG_POINTER | (flags), struct type, \
			     key, &(entry), min, CYAML_UNLIMITED)

static const cyaml_schema_value_t name_schema_ = { CYAML_VALUE_STRING(
	CYAML_FLAG_POINTER, char, 1, NAME_LENGTH_MAX) };

static const cyaml_schema_field_t region_fields_[] = {
	NAME_FIELD_(name, bw_sheet_region),
	LIST_FIELD_(failure_domains, bw_sheet_region, name_schema_, 0, 1),
	UINT_FIELD_(max_load_percent, bw_sheet_region), CYAML_FIELD_END
};
static const cyaml_schema_value_t region_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_region, region_fields_) };

static const cyaml_schema_field_t link_fields_[] = {
	LIST_FIELD_(between, bw_sheet_link, name_schema_, 0, 2),
	UINT_FIELD_(limit_mbit_per_s, bw_sheet_link),
	CYAML_FIELD_FLOAT("latency_ms", CYAML_FLAG_DEFAULT,
			  struct bw_sheet_link, latency_ms),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t link_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_link, link_fields_) };

static const cyaml_schema_field_t shift_fields_[] = {
	UINT_FIELD_(cap_percent, bw_sheet_shift),
	UINT_FIELD_(window_s, bw_sheet_shift),
	UINT_FIELD_(answer_ttl_s, bw_sheet_shift), CYAML_FIELD_END
};

static const cyaml_schema_field_t rank_fields_[] = {
	NAME_FIELD_(name, bw_sheet_rank),
	UINT_FIELD_(target_latency_ms, bw_sheet_rank),
	UINT_FIELD_(worth, bw_sheet_rank),
	UINT_FIELD_(min_share_percent, bw_sheet_rank), CYAML_FIELD_END
};
static const cyaml_schema_value_t rank_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_rank, rank_fields_) };

static const cyaml_schema_field_t placement_fields_[] = {
	NAME_FIELD_(failure_domain, bw_sheet_placement),
	UINT_FIELD_(targets, bw_sheet_placement),
	UINT_FIELD_(slots_per_target, bw_sheet_placement),
	UINT_FIELD_(connections_per_target, bw_sheet_placement), CYAML_FIELD_END
};
static const cyaml_schema_value_t placement_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_placement, placement_fields_) };

static const cyaml_schema_field_t kind_fields_[] = {
	NAME_FIELD_(name, bw_sheet_kind),
	NAME_FIELD_(method, bw_sheet_kind),
	TEXT_FIELD_(path, bw_sheet_kind, 0),
	NAME_FIELD_(rank, bw_sheet_kind),
	CYAML_FIELD_BOOL("idempotent", CYAML_FLAG_DEFAULT, struct bw_sheet_kind,
			 idempotent),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t kind_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_kind, kind_fields_) };

static const cyaml_schema_field_t service_fields_[] = {
	NAME_FIELD_(name, bw_sheet_service),
	UINT_FIELD_(mean_answer_kb, bw_sheet_service),
	CYAML_FIELD_UINT("crash_limit", CYAML_FLAG_OPTIONAL,
			 struct bw_sheet_service, crash_limit),
	LIST_FIELD_(placements, bw_sheet_service, placement_schema_, 0, 1),
	LIST_FIELD_(kinds, bw_sheet_service, kind_schema_, 0, 1),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t service_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_service, service_fields_) };

static const cyaml_schema_field_t block_fields_[] = {
	NAME_FIELD_(block, bw_sheet_block), NAME_FIELD_(region, bw_sheet_block),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t block_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_block, block_fields_) };

static const cyaml_schema_field_t drain_fields_[] = {
	TEXT_FIELD_(backend_server, bw_sheet_drain, CYAML_FLAG_OPTIONAL),
	TEXT_FIELD_(failure_domain, bw_sheet_drain, CYAML_FLAG_OPTIONAL),
	TEXT_FIELD_(service, bw_sheet_drain, CYAML_FLAG_OPTIONAL),
	TEXT_FIELD_(start, bw_sheet_drain, 0),
	TEXT_FIELD_(stop, bw_sheet_drain, 0),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t drain_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct bw_sheet_drain, drain_fields_) };

static const cyaml_schema_field_t sheet_fields_[] = {
	UINT_FIELD_(revision, bw_sheet),
	NAME_FIELD_(deployment, bw_sheet),
	LIST_FIELD_(regions, bw_sheet, region_schema_, 0, 1),
	LIST_FIELD_(links, bw_sheet, link_schema_, CYAML_FLAG_OPTIONAL, 0),
	CYAML_FIELD_MAPPING("shift", CYAML_FLAG_DEFAULT, struct bw_sheet, shift,
			    shift_fields_),
	CYAML_FIELD_SEQUENCE("ranks", CYAML_FLAG_POINTER, struct bw_sheet,
			     ranks, &rank_schema_, 1, BW_SHEET_RANKS_MAX),
	LIST_FIELD_(services, bw_sheet, service_schema_, 0, 1),
	LIST_FIELD_(client_blocks, bw_sheet, block_schema_, CYAML_FLAG_OPTIONAL,
		    0),
	LIST_FIELD_(drains, bw_sheet, drain_schema_, CYAML_FLAG_OPTIONAL, 0),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t sheet_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct bw_sheet, sheet_fields_) };

static void apply_defaults_(struct bw_sheet *sheet);

void bw_sheet_errors_init(struct bw_sheet_errors *errors)
{
	memset(errors, 0, sizeof(*errors));
}

void bw_sheet_errors_finish(struct bw_sheet_errors *errors)
{
	free(errors->items);
	memset(errors, 0, sizeof(*errors));
}

void sheet_errors_add(struct bw_sheet_errors *errors, uint32_t line,
		      const char *format, ...)
{
	struct bw_yaml_error *items;
	uint32_t capacity;
	va_list args;

	if (errors->count == SHEET_ERRORS_MAX)
		return;
	if (errors->count == errors->capacity) {
		capacity = errors->capacity ? errors->capacity * 2 : 8;
		items = realloc(errors->items, capacity * sizeof(*items));
		if (!items)
			return;
		errors->items = items;
		errors->capacity = capacity;
	}
	errors->items[errors->count].line = line;
	va_start(args, format);
	vsnprintf(errors->items[errors->count].text, BW_YAML_ERROR_BYTES,
		  format, args);
	va_end(args);
	errors->count++;
}

enum bw_status bw_sheet_load(const void *text, size_t size_bytes,
			     struct bw_sheet **sheet,
			     struct bw_sheet_errors *errors)
{
	struct bw_yaml_lines lines = { .loaded = 0 };
	struct bw_yaml_error error;
	struct bw_sheet *loaded = NULL;
	void *data = NULL;
	enum bw_status status;

	*sheet = NULL;
	if (size_bytes > BW_SHEET_MAX_BYTES) {
		sheet_errors_add(errors, 0, "sheet is larger than %d bytes",
				 BW_SHEET_MAX_BYTES);
		return BW_EINVAL;
	}
	status = bw_yaml_load(text, size_bytes, &sheet_schema_, &data, &error);
	if (status != BW_OK) {
		sheet_errors_add(errors, error.line, "%s", error.text);
		return status;
	}
	loaded = data;
	status = bw_yaml_lines_init(&lines, text, size_bytes);
	if (status != BW_OK)
		goto out;
	apply_defaults_(loaded);
	crypto_generichash(loaded->hash, sizeof(loaded->hash), text, size_bytes,
			   NULL, 0);
	sheet_check(loaded, &lines, errors);
	status = errors->count ? BW_EINVAL : BW_OK;
out:
	bw_yaml_lines_finish(&lines);
	if (status != BW_OK) {
		bw_sheet_free(loaded);
		loaded = NULL;
	}
	*sheet = loaded;
	return status;
}

void bw_sheet_free(struct bw_sheet *sheet)
{
	if (!sheet)
		return;
	free(sheet->domains);
	sheet->domains = NULL;
	bw_yaml_free(&sheet_schema_, sheet);
}

uint32_t bw_sheet_find_region(const struct bw_sheet *sheet, const char *name)
{
	uint32_t i;

	for (i = 0; i < sheet->regions_count; i++) {
		if (!strcmp(sheet->regions[i].name, name))
			return i;
	}
	return BW_SHEET_NONE;
}

uint32_t bw_sheet_find_domain(const struct bw_sheet *sheet, const char *name)
{
	uint32_t i;

	for (i = 0; i < sheet->domains_count; i++) {
		if (!strcmp(sheet->domains[i].name, name))
			return i;
	}
	return BW_SHEET_NONE;
}

uint32_t bw_sheet_find_service(const struct bw_sheet *sheet, const char *name)
{
	uint32_t i;

	for (i = 0; i < sheet->services_count; i++) {
		if (!strcmp(sheet->services[i].name, name))
			return i;
	}
	return BW_SHEET_NONE;
}

uint32_t bw_sheet_find_kind(const struct bw_sheet_service *service,
			    const char *method, const char *path)
{
	uint32_t best = BW_SHEET_NONE;
	size_t best_length = 0;
	size_t length;
	uint32_t i;

	for (i = 0; i < service->kinds_count; i++) {
		length = strlen(service->kinds[i].path);
		if (strcmp(service->kinds[i].method, method) ||
		    strncmp(service->kinds[i].path, path, length))
			continue;
		if (best == BW_SHEET_NONE || length > best_length) {
			best = i;
			best_length = length;
		}
	}
	return best;
}

double bw_sheet_latency_ms(const struct bw_sheet *sheet, uint32_t region_a,
			   uint32_t region_b)
{
	const struct bw_sheet_link *link;
	uint32_t i;

	for (i = 0; i < sheet->links_count && region_a != region_b; i++) {
		link = &sheet->links[i];
		if ((link->region[0] == region_a &&
		     link->region[1] == region_b) ||
		    (link->region[0] == region_b &&
		     link->region[1] == region_a))
			return link->latency_ms;
	}
	return 0;
}

bool bw_sheet_is_draining(const struct bw_sheet *sheet,
			  const char *backend_server, const char *service,
			  const char *failure_domain, int64_t wall_ms)
{
	const struct bw_sheet_drain *drain;
	uint32_t i;

	for (i = 0; i < sheet->drains_count; i++) {
		drain = &sheet->drains[i];
		if (wall_ms < drain->start_ms || wall_ms >= drain->stop_ms)
			continue;
		if (drain->backend_server) {
			if (!strcmp(drain->backend_server, backend_server))
				return true;
			continue;
		}
		if (!strcmp(drain->failure_domain, failure_domain) &&
		    (!drain->service || !strcmp(drain->service, service)))
			return true;
	}
	return false;
}

static void apply_defaults_(struct bw_sheet *sheet)
{
	uint32_t i;

	for (i = 0; i < sheet->services_count; i++) {
		if (!sheet->services[i].crash_limit)
			sheet->services[i].crash_limit = DEFAULT_CRASH_LIMIT;
	}
}
