/**
 * @file
 * JSON views of the state for operators.
 */
#ifndef BORAGEWINGD_VIEW_H
#define BORAGEWINGD_VIEW_H

#include <jansson.h>

struct host;

/**
 * Creates a view.
 * @param name status, hosts, regions, links, services, backends, drains,
 *	shifts or dump
 * @return a new reference, or NULL when there is no such view
 */
json_t *view_make(struct host *host, const char *name);

#endif
