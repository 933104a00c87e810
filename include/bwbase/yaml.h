/**
 * @file
 * Loading of YAML by schema, with line numbers in errors.
 */
#ifndef BWBASE_YAML_H
#define BWBASE_YAML_H

#include <stddef.h>
#include <stdint.h>

#include <cyaml/cyaml.h>
#include <yaml.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/** Size of an error text, including the terminating NUL. */
#define BW_YAML_ERROR_BYTES 256

/** One error in a YAML text. */
struct bw_yaml_error {
	uint32_t line; /**< starts at 1; 0 when no line applies */
	char text[BW_YAML_ERROR_BYTES];
};

/**
 * Appends a whole file to out.
 * @param limit_bytes maximum size of out
 * @return BW_OK; BW_ENOTFOUND, BW_EFULL or BW_EIO with error filled
 */
enum bw_status bw_file_read(const char *path, size_t limit_bytes,
			    struct bw_buffer *out, struct bw_yaml_error *error);

/**
 * Parses text and checks it against a libcyaml schema.
 * @param schema top-level schema value of kind pointer to mapping
 * @param data receives the loaded structure; free it with bw_yaml_free
 * @return BW_OK, or BW_EINVAL with error filled
 */
enum bw_status bw_yaml_load(const void *text, size_t size_bytes,
			    const cyaml_schema_value_t *schema, void **data,
			    struct bw_yaml_error *error);

/** Frees what bw_yaml_load returned; data may be NULL. */
void bw_yaml_free(const cyaml_schema_value_t *schema, void *data);

/** Parsed YAML text for looking up the lines of values. */
struct bw_yaml_lines {
	yaml_document_t document;
	int loaded;
};

/**
 * Parses text for line look-ups.
 * @return BW_OK, or BW_EINVAL when the text is not YAML; bw_yaml_lines_finish
 *	is needed in both cases
 */
enum bw_status bw_yaml_lines_init(struct bw_yaml_lines *lines, const void *text,
				  size_t size_bytes);

/** Frees the parsed text. */
void bw_yaml_lines_finish(struct bw_yaml_lines *lines);

/**
 * Finds the line of a value.
 * @param format printf format of a path such as "services[2].kinds[0].rank"
 * @return line number starting at 1; the line of the deepest existing ancestor
 *	when the path does not exist; 0 when no text is loaded
 */
uint32_t bw_yaml_line(struct bw_yaml_lines *lines, const char *format, ...)
	__attribute__((format(printf, 2, 3)));

#endif
