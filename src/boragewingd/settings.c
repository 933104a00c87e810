#include "settings.h"

#include <arpa/inet.h>
#include <errno.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#include "bwbase/log.h"

#define SETTINGS_MAX_BYTES (4 * 1024 * 1024)
#define SECRET_MAX_BYTES 4096
#define TOKEN_MIN_LENGTH 16
#define STRING_MAX_LENGTH 4096

#define DEFAULT_CONNECTIONS 4096
#define DEFAULT_BODY_KB 16384
#define DEFAULT_QUEUED_REQUESTS 2048
/*
 * A record takes 248 bytes (printed by test_keys). Owned and backup records
 * and both response pools together take at most 22 MiB, which keeps a host
 * below 32 MB of control state.
 */
#define DEFAULT_REQUEST_RECORDS 32768
#define DEFAULT_RESPONSE_POOL_KB 3072

#define DEFAULT_DRAIN_S 30

#define STRING_FIELD_(key, type)                                              \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER, struct type, key, 1, \
			       STRING_MAX_LENGTH)
#define NAME_FIELD_(key, type)                                                \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER, struct type, key, 1, \
			       BW_NAME_MAX - 1)
#define OPTIONAL_STRING_FIELD_(key, type)                                      \
	CYAML_FIELD_STRING_PTR(#key, CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL, \
			       struct type, key, 1, STRING_MAX_LENGTH)
#define UINT_FIELD_(key, type) \
	CYAML_FIELD_UINT(#key, CYAML_FLAG_DEFAULT, struct type, key)
#define OPTIONAL_UINT_FIELD_(key, type) \
	CYAML_FIELD_UINT(#key, CYAML_FLAG_OPTIONAL, struct type, key)
#define OPTIONAL_BOOL_FIELD_(key, type) \
	CYAML_FIELD_BOOL(#key, CYAML_FLAG_OPTIONAL, struct type, key)

static const cyaml_schema_field_t host_fields_[] = {
	NAME_FIELD_(name, settings_host), NAME_FIELD_(region, settings_host),
	NAME_FIELD_(failure_domain, settings_host),
	OPTIONAL_BOOL_FIELD_(control, settings_host), CYAML_FIELD_END
};
static const cyaml_schema_field_t endpoint_fields_[] = {
	STRING_FIELD_(address, settings_endpoint),
	UINT_FIELD_(port, settings_endpoint),
	OPTIONAL_STRING_FIELD_(advertise, settings_endpoint),
	OPTIONAL_UINT_FIELD_(advertise_port, settings_endpoint), CYAML_FIELD_END
};
static const cyaml_schema_field_t tls_fields_[] = {
	STRING_FIELD_(certificate_file, settings_tls),
	STRING_FIELD_(key_file, settings_tls), CYAML_FIELD_END
};
static const cyaml_schema_field_t limits_fields_[] = {
	OPTIONAL_UINT_FIELD_(connections, settings_limits),
	OPTIONAL_UINT_FIELD_(body_kb, settings_limits),
	OPTIONAL_UINT_FIELD_(queued_requests, settings_limits),
	OPTIONAL_UINT_FIELD_(request_records, settings_limits),
	OPTIONAL_UINT_FIELD_(response_pool_kb, settings_limits),
	OPTIONAL_UINT_FIELD_(drain_s, settings_limits),
	CYAML_FIELD_END
};
static const cyaml_schema_field_t log_fields_[] = {
	OPTIONAL_STRING_FIELD_(level, settings_log),
	OPTIONAL_STRING_FIELD_(file, settings_log), CYAML_FIELD_END
};
static const cyaml_schema_field_t seed_fields_[] = {
	NAME_FIELD_(name, settings_seed),
	NAME_FIELD_(region, settings_seed),
	NAME_FIELD_(failure_domain, settings_seed),
	STRING_FIELD_(address, settings_seed),
	UINT_FIELD_(port, settings_seed),
	OPTIONAL_BOOL_FIELD_(control, settings_seed),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t seed_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct settings_seed, seed_fields_) };

static const cyaml_schema_field_t settings_fields_[] = {
	CYAML_FIELD_MAPPING("host", CYAML_FLAG_DEFAULT, struct settings, host,
			    host_fields_),
	CYAML_FIELD_MAPPING("fleet", CYAML_FLAG_DEFAULT, struct settings, fleet,
			    endpoint_fields_),
	CYAML_FIELD_MAPPING("entry", CYAML_FLAG_DEFAULT, struct settings, entry,
			    endpoint_fields_),
	CYAML_FIELD_MAPPING("operators", CYAML_FLAG_DEFAULT, struct settings,
			    operators, endpoint_fields_),
	OPTIONAL_STRING_FIELD_(data_folder, settings),
	STRING_FIELD_(charts_folder, settings),
	STRING_FIELD_(fleet_key_file, settings),
	STRING_FIELD_(operator_token_file, settings),
	CYAML_FIELD_MAPPING_PTR("tls", CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
				struct settings, tls, tls_fields_),
	CYAML_FIELD_MAPPING("limits", CYAML_FLAG_OPTIONAL, struct settings,
			    limits, limits_fields_),
	CYAML_FIELD_MAPPING("log", CYAML_FLAG_OPTIONAL, struct settings, log,
			    log_fields_),
	CYAML_FIELD_SEQUENCE("seeds", CYAML_FLAG_POINTER, struct settings,
			     seeds, &seed_schema_, 1, CYAML_UNLIMITED),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t settings_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct settings, settings_fields_) };

static void apply_defaults_(struct settings *settings);
static enum bw_status check_settings_(struct settings *settings,
				      struct bw_yaml_lines *lines,
				      struct bw_yaml_error *error);
static enum bw_status check_endpoint_(const struct settings_endpoint *endpoint,
				      const char *key,
				      struct bw_yaml_lines *lines,
				      struct bw_yaml_error *error);
static enum bw_status check_seeds_(const struct settings *settings,
				   struct bw_yaml_lines *lines,
				   struct bw_yaml_error *error);
static enum bw_status check_folder_access_(const char *path, uint32_t line,
					   bool writable,
					   struct bw_yaml_error *error);
static enum bw_status read_secrets_(struct settings *settings,
				    struct bw_yaml_lines *lines,
				    struct bw_yaml_error *error);
static enum bw_status read_first_line_(const char *path, uint32_t line,
				       char *out, size_t out_bytes,
				       struct bw_yaml_error *error);
static enum bw_status set_error_(struct bw_yaml_error *error, uint32_t line,
				 const char *format, ...)
	__attribute__((format(printf, 3, 4)));

enum bw_status settings_load(const char *path, struct settings **settings,
			     struct bw_yaml_error *error)
{
	struct bw_buffer text;
	struct bw_yaml_lines lines = { .loaded = 0 };
	struct settings *loaded = NULL;
	void *data = NULL;
	enum bw_status status;

	*settings = NULL;
	bw_buffer_init(&text);
	status = bw_file_read(path, SETTINGS_MAX_BYTES, &text, error);
	if (status != BW_OK)
		goto out;
	status = bw_yaml_load(text.data, text.size_bytes, &settings_schema_,
			      &data, error);
	loaded = data;
	if (status != BW_OK)
		goto out;
	status = bw_yaml_lines_init(&lines, text.data, text.size_bytes);
	if (status != BW_OK)
		goto out;
	apply_defaults_(loaded);
	status = check_settings_(loaded, &lines, error);
	if (status != BW_OK)
		goto out;
	status = read_secrets_(loaded, &lines, error);
	if (status != BW_OK)
		goto out;
	*settings = loaded;
	loaded = NULL;
out:
	settings_free(loaded);
	bw_yaml_lines_finish(&lines);
	bw_buffer_finish(&text);
	return status;
}

void settings_free(struct settings *settings)
{
	if (!settings)
		return;
	sodium_memzero(settings->fleet_key, sizeof(settings->fleet_key));
	sodium_memzero(settings->operator_token,
		       sizeof(settings->operator_token));
	bw_yaml_free(&settings_schema_, settings);
}

static void apply_defaults_(struct settings *settings)
{
	struct settings_limits *limits = &settings->limits;

	if (!limits->connections)
		limits->connections = DEFAULT_CONNECTIONS;
	if (!limits->body_kb)
		limits->body_kb = DEFAULT_BODY_KB;
	if (!limits->queued_requests)
		limits->queued_requests = DEFAULT_QUEUED_REQUESTS;
	if (!limits->request_records)
		limits->request_records = DEFAULT_REQUEST_RECORDS;
	if (!limits->response_pool_kb)
		limits->response_pool_kb = DEFAULT_RESPONSE_POOL_KB;
	if (!limits->drain_s)
		limits->drain_s = DEFAULT_DRAIN_S;
}

static enum bw_status check_settings_(struct settings *settings,
				      struct bw_yaml_lines *lines,
				      struct bw_yaml_error *error)
{
	enum bw_status status;
	int level = BW_LOG_INFO;

	status = check_endpoint_(&settings->fleet, "fleet", lines, error);
	if (status != BW_OK)
		return status;
	status = check_endpoint_(&settings->entry, "entry", lines, error);
	if (status != BW_OK)
		return status;
	status = check_endpoint_(&settings->operators, "operators", lines,
				 error);
	if (status != BW_OK)
		return status;
	if (settings->host.control && !settings->data_folder)
		return set_error_(error, bw_yaml_line(lines, "host.control"),
				  "a control host needs data_folder");
	if (settings->data_folder) {
		status = check_folder_access_(
			settings->data_folder,
			bw_yaml_line(lines, "data_folder"), true, error);
		if (status != BW_OK)
			return status;
	}
	status = check_folder_access_(settings->charts_folder,
				      bw_yaml_line(lines, "charts_folder"),
				      false, error);
	if (status != BW_OK)
		return status;
	if (settings->log.level)
		level = bw_log_level_find(settings->log.level);
	if (level < 0)
		return set_error_(error, bw_yaml_line(lines, "log.level"),
				  "unknown log level '%s'",
				  settings->log.level);
	settings->log_level = (uint8_t)level;
	return check_seeds_(settings, lines, error);
}

static enum bw_status check_endpoint_(const struct settings_endpoint *endpoint,
				      const char *key,
				      struct bw_yaml_lines *lines,
				      struct bw_yaml_error *error)
{
	struct in_addr address;

	if (inet_pton(AF_INET, endpoint->address, &address) != 1)
		return set_error_(error, bw_yaml_line(lines, "%s.address", key),
				  "'%s' is not an IPv4 address",
				  endpoint->address);
	if (endpoint->advertise &&
	    inet_pton(AF_INET, endpoint->advertise, &address) != 1)
		return set_error_(error,
				  bw_yaml_line(lines, "%s.advertise", key),
				  "'%s' is not an IPv4 address",
				  endpoint->advertise);
	if (!endpoint->port)
		return set_error_(error, bw_yaml_line(lines, "%s.port", key),
				  "port must be 1 to 65535");
	return BW_OK;
}

static enum bw_status check_seeds_(const struct settings *settings,
				   struct bw_yaml_lines *lines,
				   struct bw_yaml_error *error)
{
	const struct settings_seed *seed;
	struct in_addr address;
	uint32_t control_count = 0;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < settings->seeds_count; i++) {
		seed = &settings->seeds[i];
		if (inet_pton(AF_INET, seed->address, &address) != 1)
			return set_error_(
				error,
				bw_yaml_line(lines, "seeds[%u].address", i),
				"'%s' is not an IPv4 address", seed->address);
		if (!seed->port)
			return set_error_(
				error, bw_yaml_line(lines, "seeds[%u].port", i),
				"port must be 1 to 65535");
		for (j = 0; j < i; j++) {
			if (!strcmp(seed->name, settings->seeds[j].name))
				return set_error_(error,
						  bw_yaml_line(lines,
							       "seeds[%u].name",
							       i),
						  "seed '%s' is listed twice",
						  seed->name);
		}
		control_count += seed->control;
	}
	if (!control_count)
		return set_error_(error, bw_yaml_line(lines, "seeds"),
				  "no seed is a control host");
	return BW_OK;
}

static enum bw_status check_folder_access_(const char *path, uint32_t line,
					   bool writable,
					   struct bw_yaml_error *error)
{
	struct stat info;
	int mode = R_OK | X_OK | (writable ? W_OK : 0);

	if (stat(path, &info))
		return set_error_(error, line, "%s: %s", path, strerror(errno));
	if (!S_ISDIR(info.st_mode))
		return set_error_(error, line, "%s: not a folder", path);
	if (access(path, mode))
		return set_error_(error, line, "%s: %s", path, strerror(errno));
	return BW_OK;
}

static enum bw_status read_secrets_(struct settings *settings,
				    struct bw_yaml_lines *lines,
				    struct bw_yaml_error *error)
{
	char hex[SECRET_MAX_BYTES];
	size_t size = 0;
	uint32_t line = bw_yaml_line(lines, "fleet_key_file");
	enum bw_status status;

	status = read_first_line_(settings->fleet_key_file, line, hex,
				  sizeof(hex), error);
	if (status != BW_OK)
		return status;
	if (sodium_hex2bin(settings->fleet_key, sizeof(settings->fleet_key),
			   hex, strlen(hex), NULL, &size, NULL) ||
	    size != SETTINGS_KEY_BYTES)
		return set_error_(error, line,
				  "%s: expected %d hexadecimal digits",
				  settings->fleet_key_file,
				  2 * SETTINGS_KEY_BYTES);
	sodium_memzero(hex, sizeof(hex));
	line = bw_yaml_line(lines, "operator_token_file");
	status = read_first_line_(settings->operator_token_file, line,
				  settings->operator_token,
				  sizeof(settings->operator_token), error);
	if (status != BW_OK)
		return status;
	if (strlen(settings->operator_token) < TOKEN_MIN_LENGTH)
		return set_error_(error, line,
				  "%s: token is shorter than %d characters",
				  settings->operator_token_file,
				  TOKEN_MIN_LENGTH);
	return BW_OK;
}

static enum bw_status read_first_line_(const char *path, uint32_t line,
				       char *out, size_t out_bytes,
				       struct bw_yaml_error *error)
{
	struct bw_buffer text;
	enum bw_status status;
	size_t length = 0;

	bw_buffer_init(&text);
	status = bw_file_read(path, out_bytes - 1, &text, error);
	error->line = line;
	if (status == BW_OK && text.size_bytes) {
		memcpy(out, text.data, text.size_bytes);
		length = text.size_bytes;
	}
	out[length] = '\0';
	out[strcspn(out, "\r\n")] = '\0';
	bw_buffer_finish(&text);
	return status;
}

static enum bw_status set_error_(struct bw_yaml_error *error, uint32_t line,
				 const char *format, ...)
{
	va_list args;

	error->line = line;
	va_start(args, format);
	vsnprintf(error->text, sizeof(error->text), format, args);
	va_end(args);
	return BW_EINVAL;
}
