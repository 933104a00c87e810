/**
 * @file
 * Responses that an entry host makes itself, instead of a backend server.
 */
#ifndef BORAGEWINGD_GATE_ENTRY_RESPOND_H
#define BORAGEWINGD_GATE_ENTRY_RESPOND_H

#include "gate_request.h"

/**
 * Responds with an error, if the client is still connected; afterwards the
 * request has no connection.
 * @param retry_after_ms 0: without a Retry-After field
 * @param text cause, for the body
 */
void gate_entry_respond_error(struct gate_request *request,
			      uint16_t status_code, uint32_t retry_after_ms,
			      const char *text);

/**
 * Responds to a request that has not run, without a body. A 503, which stands
 * for a status code that another host with a newer configuration would not
 * give, has a Retry-After.
 */
void gate_entry_respond_refusal(struct bw_server_connection *connection,
				uint16_t status_code);

/**
 * Responds to a request without a route. A 404 says for good that there is no
 * such route, so it is given only while most control hosts confirm the version
 * in force. Otherwise another host may have the route: the response is a 503,
 * as the request has not run and may be sent again.
 */
void gate_entry_respond_unrouted(struct gate_entry *entry,
				 struct bw_server_connection *connection,
				 const struct bw_http_message *message);

#endif
