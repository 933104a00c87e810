#include "bwbase/yaml.h"

#include <errno.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define PATH_BYTES 256
#define READ_CHUNK_BYTES 65536
#define UNEXPECTED_KEY "Unexpected key: "

static void collect_message_(cyaml_log_t level, void *context,
			     const char *format, va_list args);
static cyaml_config_t loader_config_(struct bw_yaml_error *error);
static void locate_unexpected_key_(const char *text, size_t size_bytes,
				   struct bw_yaml_error *error);
static bool line_has_key_(const char *line, size_t length, const char *key);
static yaml_node_t *child_by_key_(yaml_document_t *document, yaml_node_t *node,
				  const char *key, size_t key_bytes);
static yaml_node_t *child_by_index_(yaml_document_t *document,
				    yaml_node_t *node, unsigned long index);

enum bw_status bw_file_read(const char *path, size_t limit_bytes,
			    struct bw_buffer *out, struct bw_yaml_error *error)
{
	FILE *file = fopen(path, "rb");
	uint8_t chunk[READ_CHUNK_BYTES];
	enum bw_status status = BW_OK;
	size_t read_bytes;

	error->line = 0;
	if (!file) {
		status = errno == ENOENT ? BW_ENOTFOUND : BW_EIO;
		snprintf(error->text, sizeof(error->text), "%s: %s", path,
			 strerror(errno));
		return status;
	}
	while ((read_bytes = fread(chunk, 1, sizeof(chunk), file)) > 0) {
		if (out->size_bytes + read_bytes > limit_bytes) {
			snprintf(error->text, sizeof(error->text),
				 "%s: larger than %zu bytes", path,
				 limit_bytes);
			status = BW_EFULL;
			goto out;
		}
		status = bw_buffer_append(out, chunk, read_bytes);
		if (status != BW_OK)
			goto out;
	}
	if (ferror(file)) {
		snprintf(error->text, sizeof(error->text), "%s: read error",
			 path);
		status = BW_EIO;
	}
out:
	fclose(file);
	return status;
}

enum bw_status bw_yaml_load(const void *text, size_t size_bytes,
			    const cyaml_schema_value_t *schema, void **data,
			    struct bw_yaml_error *error)
{
	cyaml_config_t config = loader_config_(error);
	cyaml_err_t result;

	*data = NULL;
	memset(error, 0, sizeof(*error));
	result = cyaml_load_data(text, size_bytes, &config, schema, data, NULL);
	if (result == CYAML_OK && !*data) {
		snprintf(error->text, sizeof(error->text), "document is empty");
		return BW_EINVAL;
	}
	if (result == CYAML_OK)
		return BW_OK;
	if (!error->text[0])
		snprintf(error->text, sizeof(error->text), "%s",
			 cyaml_strerror(result));
	locate_unexpected_key_(text, size_bytes, error);
	return BW_EINVAL;
}

void bw_yaml_free(const cyaml_schema_value_t *schema, void *data)
{
	struct bw_yaml_error ignored;
	cyaml_config_t config = loader_config_(&ignored);

	cyaml_free(&config, schema, data, 0);
}

enum bw_status bw_yaml_lines_init(struct bw_yaml_lines *lines, const void *text,
				  size_t size_bytes)
{
	yaml_parser_t parser;

	memset(lines, 0, sizeof(*lines));
	if (!yaml_parser_initialize(&parser))
		return BW_ENOMEM;
	yaml_parser_set_input_string(&parser, text, size_bytes);
	lines->loaded = yaml_parser_load(&parser, &lines->document);
	yaml_parser_delete(&parser);
	return lines->loaded ? BW_OK : BW_EINVAL;
}

void bw_yaml_lines_finish(struct bw_yaml_lines *lines)
{
	if (lines->loaded)
		yaml_document_delete(&lines->document);
	lines->loaded = 0;
}

uint32_t bw_yaml_line(struct bw_yaml_lines *lines, const char *format, ...)
{
	char path[PATH_BYTES];
	const char *cursor = path;
	yaml_node_t *node;
	yaml_node_t *child;
	char *end;
	size_t length;
	va_list args;

	va_start(args, format);
	vsnprintf(path, sizeof(path), format, args);
	va_end(args);
	if (!lines->loaded)
		return 0;
	node = yaml_document_get_root_node(&lines->document);
	while (node && *cursor) {
		if (*cursor == '[') {
			child = child_by_index_(&lines->document, node,
						strtoul(cursor + 1, &end, 10));
			cursor = *end == ']' ? end + 1 : end;
		} else {
			if (*cursor == '.')
				cursor++;
			length = strcspn(cursor, ".[");
			child = child_by_key_(&lines->document, node, cursor,
					      length);
			cursor += length;
		}
		if (!child)
			break;
		node = child;
	}
	return node ? (uint32_t)node->start_mark.line + 1 : 0;
}

/*
 * Log callback of libcyaml, which reports one error in several messages. Keeps
 * the first text that follows "Load: " and the first number that follows
 * "line: ".
 */
static void collect_message_(cyaml_log_t level, void *context,
			     const char *format, va_list args)
{
	struct bw_yaml_error *error = context;
	char text[BW_YAML_ERROR_BYTES];
	const char *line;
	size_t length;

	if (level < CYAML_LOG_ERROR)
		return;
	vsnprintf(text, sizeof(text), format, args);
	length = strlen(text);
	while (length && text[length - 1] == '\n')
		text[--length] = '\0';
	line = strstr(text, "line: ");
	if (line && !error->line)
		error->line = (uint32_t)strtoul(line + 6, NULL, 10);
	if (!error->text[0] && !strncmp(text, "Load: ", 6))
		memmove(error->text, text + 6, length - 5);
}

/*
 * libcyaml reports the line of the mapping that contains an unexpected key.
 * Sets the line to that of the key itself.
 */
static void locate_unexpected_key_(const char *text, size_t size_bytes,
				   struct bw_yaml_error *error)
{
	static const char prefix[] = UNEXPECTED_KEY;
	const char *key = error->text + sizeof(prefix) - 1;
	const char *end = text + size_bytes;
	const char *line_end;
	uint32_t line = 1;

	if (strncmp(error->text, prefix, sizeof(prefix) - 1))
		return;
	for (; text < end; text = line_end + 1, line++) {
		line_end = memchr(text, '\n', (size_t)(end - text));
		if (!line_end)
			line_end = end;
		if (line >= error->line &&
		    line_has_key_(text, (size_t)(line_end - text), key)) {
			error->line = line;
			return;
		}
	}
}

static bool line_has_key_(const char *line, size_t length, const char *key)
{
	size_t key_length = strlen(key);
	const char *cursor = line;
	const char *end = line + length;

	if (!key_length)
		return false;
	while ((cursor = memmem(cursor, (size_t)(end - cursor), key,
				key_length))) {
		if ((cursor == line || strchr(" {,-\t", cursor[-1])) &&
		    cursor + key_length < end && cursor[key_length] == ':')
			return true;
		cursor++;
	}
	return false;
}

static cyaml_config_t loader_config_(struct bw_yaml_error *error)
{
	cyaml_config_t config = {
		.log_fn = collect_message_,
		.log_ctx = error,
		.mem_fn = cyaml_mem,
		.log_level = CYAML_LOG_ERROR,
		.flags = CYAML_CFG_NO_ALIAS,
	};

	return config;
}

static yaml_node_t *child_by_key_(yaml_document_t *document, yaml_node_t *node,
				  const char *key, size_t key_bytes)
{
	yaml_node_pair_t *pair;
	yaml_node_t *name;

	if (node->type != YAML_MAPPING_NODE)
		return NULL;
	for (pair = node->data.mapping.pairs.start;
	     pair < node->data.mapping.pairs.top; pair++) {
		name = yaml_document_get_node(document, pair->key);
		if (name && name->type == YAML_SCALAR_NODE &&
		    name->data.scalar.length == key_bytes &&
		    !memcmp(name->data.scalar.value, key, key_bytes))
			return yaml_document_get_node(document, pair->value);
	}
	return NULL;
}

static yaml_node_t *child_by_index_(yaml_document_t *document,
				    yaml_node_t *node, unsigned long index)
{
	size_t count;

	if (node->type != YAML_SEQUENCE_NODE)
		return NULL;
	count = (size_t)(node->data.sequence.items.top -
			 node->data.sequence.items.start);
	if (index >= count)
		return NULL;
	return yaml_document_get_node(document,
				      node->data.sequence.items.start[index]);
}
