/**
 * @file
 * What backend servers say of themselves in the header of a response.
 */
#ifndef BORAGEWINGD_GATE_NOTICE_H
#define BORAGEWINGD_GATE_NOTICE_H

#include "gate_request.h"

/** Opens the metrics. */
void gate_notice_init(struct gate_entry *entry);

/** Notes what a response says of the server that the request was sent to. */
void gate_notice_read(struct gate_request *request,
		      const struct bw_http_message *response,
		      struct bw_time now);

/** Counts a speed that can't be read, and logs it once a minute a server. */
void gate_notice_unreadable_speed(struct gate_request *request,
				  struct bw_time now);

#endif
