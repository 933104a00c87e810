/**
 * @file
 * Announcements of backend servers over HTTP.
 */
#ifndef BORAGEWINGD_ANNOUNCE_H
#define BORAGEWINGD_ANNOUNCE_H

#include "web.h"

/**
 * Handles POST /v1/backend/{announce,heartbeat,drain,leave}. The response
 * lists the entry hosts to which the backend server sends its announcements.
 */
void announce_handle(struct web_request *request);

#endif
