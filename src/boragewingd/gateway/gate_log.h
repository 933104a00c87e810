/**
 * @file
 * Log lines for decisions about client requests. Successes are logged only for
 * traced requests; docs/OPERATIONS.md describes the fields.
 */
#ifndef BORAGEWINGD_GATE_LOG_H
#define BORAGEWINGD_GATE_LOG_H

#include "gate_request.h"

/** Logs that a request waits for a backend server. */
void gate_log_queued(const struct gate_request *request);

/** Returns the age of the last load report of a server; -1 without one. */
int64_t gate_report_age_ms(const struct bw_target *target, struct bw_time now);

/** Logs that a request was sent to job.target, with the inputs of the choice.
 */
void gate_log_sent(const struct gate_request *request, struct bw_time now);

/** Logs that an attempt failed and the request is dispatched again. */
void gate_log_retried(const struct gate_request *request, const char *cause);

/** Logs the outcome of a request for its client. */
void gate_log_end(const struct gate_request *request, enum gate_outcome outcome,
		  uint16_t status_code, const char *cause, uint64_t took_us);

/** Logs the ejection of a server if a failure at time now caused it. */
void gate_log_ejection(const struct gate_request *request, uint64_t id_hash,
		       struct bw_time now);

/**
 * Logs that no route matches a request, what it asked for, and how far the
 * routes of this host may be behind.
 */
void gate_log_no_route(const struct gate_entry *entry,
		       const struct bw_http_message *message,
		       uint16_t status_code,
		       const struct bw_confirmation *confirmation);

#endif
