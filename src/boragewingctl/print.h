/**
 * @file
 * Prints the JSON views of a host as text.
 */
#ifndef BORAGEWINGCTL_PRINT_H
#define BORAGEWINGCTL_PRINT_H

#include <jansson.h>

/** Prints a value as indented JSON. */
void print_json(const json_t *value);

/** Prints the members of an object, one per line. */
void print_members(const json_t *value);

/**
 * Prints an object whose only member is a list of objects as a table; the
 * columns are the members of the first row.
 */
void print_table(const json_t *value);

/** Prints the response of /v1/hosts. */
void print_hosts(const json_t *value);

/** Prints the response of /v1/services. */
void print_services(const json_t *value);

/** Prints the response of /v1/shifts. */
void print_shifts(const json_t *value);

#endif
