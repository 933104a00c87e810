/**
 * @file
 * Checks a request against the newest state right before it is sent: the
 * configuration, the backend server, evacuations and the deadline may have
 * changed while it waited in a queue or for a connection.
 */
#ifndef BORAGEWINGD_GATE_REQUEST_CHECK_H
#define BORAGEWINGD_GATE_REQUEST_CHECK_H

#include "bwproxy/target.h"
#include "gate_request.h"

/** Keeps what a later configuration needs to route a request again. */
void gate_request_keep_input(struct gate_request *request,
			     const struct bw_http_message *message,
			     const struct bw_http_target *target);

/** Chooses the service of a request, and its object, by its route. */
void gate_request_choose_service(struct gate_request *request);

/**
 * Checks a request; its route becomes that of the configuration in force.
 * After GATE_CHECK_SERVER and GATE_CHECK_ROUTE it has to be dispatched again,
 * after all others but GATE_CHECK_CURRENT to be rejected.
 */
enum gate_check gate_request_check(struct gate_request *request,
				   struct bw_time now);

/** Logs and counts a request that is not sent as it was dispatched. */
void gate_request_log_check(const struct gate_request *request,
			    enum gate_check check);

#endif
