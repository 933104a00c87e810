/**
 * @file
 * Announcements of backend servers over HTTP.
 */
#ifndef BORAGEWINGD_ANNOUNCE_H
#define BORAGEWINGD_ANNOUNCE_H

#include "web.h"

/**
 * Handles POST /v1/backend/{announce,heartbeat,drain,leave}. The response
 * names the entry hosts that the backend server shall announce itself to.
 */
void announce_handle(struct web_request *request);

#endif
