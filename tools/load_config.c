#include "load.h"

#define FILE_LIMIT_BYTES 262144
#define TEXT_BYTES 256
#define DEFAULT_IN_FLIGHT_LIMIT 5000
#define DEFAULT_ATTEMPTS 3
#define DEFAULT_BACKOFF_MS 50

#define TEXT_FIELD(type, name)                                           \
	CYAML_FIELD_STRING_PTR(#name, CYAML_FLAG_POINTER, type, name, 1, \
			       TEXT_BYTES)
#define OPTIONAL_TEXT_FIELD(type, name)                                        \
	CYAML_FIELD_STRING_PTR(#name,                                          \
			       CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, type, \
			       name, 1, TEXT_BYTES)

static const cyaml_schema_field_t kind_fields_[] = {
	TEXT_FIELD(struct load_kind, name),
	TEXT_FIELD(struct load_kind, service),
	TEXT_FIELD(struct load_kind, method),
	TEXT_FIELD(struct load_kind, path),
	TEXT_FIELD(struct load_kind, rank),
	OPTIONAL_TEXT_FIELD(struct load_kind, marker),
	CYAML_FIELD_FLOAT("rate_per_s", CYAML_FLAG_DEFAULT, struct load_kind,
			  rate_per_s),
	CYAML_FIELD_FLOAT("start_s", CYAML_FLAG_OPTIONAL, struct load_kind,
			  start_s),
	CYAML_FIELD_FLOAT("stop_s", CYAML_FLAG_OPTIONAL, struct load_kind,
			  stop_s),
	CYAML_FIELD_UINT("body_bytes", CYAML_FLAG_OPTIONAL, struct load_kind,
			 body_bytes),
	CYAML_FIELD_UINT("deadline_ms", CYAML_FLAG_DEFAULT, struct load_kind,
			 deadline_ms),
	CYAML_FIELD_BOOL("idempotent", CYAML_FLAG_DEFAULT, struct load_kind,
			 idempotent),
	CYAML_FIELD_BOOL("own_key", CYAML_FLAG_OPTIONAL, struct load_kind,
			 own_key),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t kind_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct load_kind, kind_fields_) };

static const cyaml_schema_field_t entry_fields_[] = {
	TEXT_FIELD(struct load_entry, address),
	CYAML_FIELD_UINT("port", CYAML_FLAG_DEFAULT, struct load_entry, port),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t entry_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct load_entry, entry_fields_) };

static const cyaml_schema_value_t text_schema_ = { CYAML_VALUE_STRING(
	CYAML_FLAG_POINTER, char, 1, TEXT_BYTES) };

static const cyaml_schema_field_t config_fields_[] = {
	CYAML_FIELD_UINT("seed", CYAML_FLAG_DEFAULT, struct load_config, seed),
	CYAML_FIELD_FLOAT("duration_s", CYAML_FLAG_DEFAULT, struct load_config,
			  duration_s),
	CYAML_FIELD_UINT("in_flight_limit", CYAML_FLAG_OPTIONAL,
			 struct load_config, in_flight_limit),
	CYAML_FIELD_UINT("attempts", CYAML_FLAG_OPTIONAL, struct load_config,
			 attempts),
	CYAML_FIELD_UINT("backoff_ms", CYAML_FLAG_OPTIONAL, struct load_config,
			 backoff_ms),
	CYAML_FIELD_BOOL("renew_keys", CYAML_FLAG_OPTIONAL, struct load_config,
			 renew_keys),
	CYAML_FIELD_SEQUENCE("entry_hosts", CYAML_FLAG_POINTER,
			     struct load_config, entry_hosts, &entry_schema_, 1,
			     LOAD_ENTRIES_MAX),
	CYAML_FIELD_SEQUENCE("sources",
			     CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			     struct load_config, sources, &text_schema_, 0,
			     LOAD_SOURCES_MAX),
	CYAML_FIELD_SEQUENCE("kinds", CYAML_FLAG_POINTER, struct load_config,
			     kinds, &kind_schema_, 1, LOAD_KINDS_MAX),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t config_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct load_config, config_fields_) };

enum bw_status load_config_read(const char *path, struct load_config **config,
				struct bw_yaml_error *error)
{
	struct bw_buffer text = { 0 };
	void *loaded = NULL;
	enum bw_status status;

	*config = NULL;
	status = bw_file_read(path, FILE_LIMIT_BYTES, &text, error);
	if (status == BW_OK)
		status = bw_yaml_load(text.data, text.size_bytes,
				      &config_schema_, &loaded, error);
	bw_buffer_finish(&text);
	if (status != BW_OK)
		return status;
	*config = loaded;
	if (!(*config)->in_flight_limit)
		(*config)->in_flight_limit = DEFAULT_IN_FLIGHT_LIMIT;
	if (!(*config)->attempts)
		(*config)->attempts = DEFAULT_ATTEMPTS;
	if (!(*config)->backoff_ms)
		(*config)->backoff_ms = DEFAULT_BACKOFF_MS;
	return BW_OK;
}

void load_config_free(struct load_config *config)
{
	bw_yaml_free(&config_schema_, config);
}
