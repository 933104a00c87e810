/**
 * @file
 * Operators' interface: submission of sheets, views of the state, dump,
 * metrics, graceful shutdown, changes of the control group.
 */
#ifndef BORAGEWINGD_OPERATOR_H
#define BORAGEWINGD_OPERATOR_H

#include "web.h"

/** POST /v1/sheet: checks a sheet and submits it to the control hosts. */
void operator_submit(struct web_request *request);

/** GET /v1/sheet: the text of the sheet in force at this host. */
void operator_sheet(struct web_request *request);

/** GET /v1/{status,hosts,regions,links,services,...,dump}. */
void operator_show(struct web_request *request);

/** POST /v1/leave: starts a graceful shutdown. */
void operator_leave(struct web_request *request);

/** POST /v1/group/{add,remove}?host=NAME. */
void operator_group(struct web_request *request);

/** GET /metrics: Prometheus text. */
void operator_metrics(struct web_request *request);

/** GET /healthz: 200 while the host serves, 503 while it leaves. */
void operator_health(struct web_request *request);

#endif
