/**
 * @file
 * HTTP handlers for operators: sheet submission, state views, dump, metrics,
 * graceful shutdown, control group changes.
 */
#ifndef BORAGEWINGD_OPERATOR_H
#define BORAGEWINGD_OPERATOR_H

#include "web.h"

/** POST /v1/sheet: validates a sheet and submits it to the control hosts. */
void operator_submit(struct web_request *request);

/** GET /v1/sheet: returns the text of the sheet in force at this host. */
void operator_sheet(struct web_request *request);

/** GET /v1/{status,hosts,...,dump,accepted}: returns a state view. */
void operator_show(struct web_request *request);

/** POST /v1/leave: starts a graceful shutdown. */
void operator_leave(struct web_request *request);

/** POST /v1/group/{add,remove}?host=NAME: changes the control group. */
void operator_group(struct web_request *request);

/** GET /metrics: returns metrics in Prometheus text format. */
void operator_metrics(struct web_request *request);

/** GET /healthz: returns 200, or 503 while the host is leaving. */
void operator_health(struct web_request *request);

#endif
