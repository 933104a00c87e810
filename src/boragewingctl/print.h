/**
 * @file
 * Plain text output of the host's JSON views.
 */
#ifndef BORAGEWINGCTL_PRINT_H
#define BORAGEWINGCTL_PRINT_H

#include <jansson.h>

/** Prints a value as indented JSON. */
void print_json(const json_t *value);

/** Prints the members of an object, one a line. */
void print_members(const json_t *value);

/**
 * Prints an object whose only member is a list of objects as a table; the
 * columns are the members of the first row.
 */
void print_table(const json_t *value);

/** Prints the view hosts. */
void print_hosts(const json_t *value);

/** Prints the view services. */
void print_services(const json_t *value);

/** Prints the view shifts. */
void print_shifts(const json_t *value);

#endif
