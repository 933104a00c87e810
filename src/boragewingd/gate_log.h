/**
 * @file
 * Log lines of the decisions that touch a request of a client. Successes are
 * logged only for traced requests; see docs/OPERATIONS.md for the fields.
 */
#ifndef BORAGEWINGD_GATE_LOG_H
#define BORAGEWINGD_GATE_LOG_H

#include "gate_request.h"

/** The request waits for a backend server. */
void gate_log_queued(const struct gate_request *request);

/** The request was sent to job.target; the inputs of that choice. */
void gate_log_sent(const struct gate_request *request, struct bw_time now);

/** An attempt failed, and the request is placed once more. */
void gate_log_retried(const struct gate_request *request, const char *cause);

/** The request ended for its client. */
void gate_log_end(const struct gate_request *request, enum gate_end end,
		  uint16_t status_code, const char *cause, uint64_t took_us);

/** Logs when a failure just made the dispatcher avoid a server for a time. */
void gate_log_ejection(const struct gate_request *request, uint64_t id_hash,
		       struct bw_time now);

/** No route matches a request. */
void gate_log_no_route(const struct gate_entry *entry,
		       const struct bw_http_message *message, const char *id);

#endif
