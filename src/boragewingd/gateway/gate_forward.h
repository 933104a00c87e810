/**
 * @file
 * Heads that an entry host forwards: of requests to backend servers, and of
 * their responses to clients.
 */
#ifndef BORAGEWINGD_GATE_FORWARD_H
#define BORAGEWINGD_GATE_FORWARD_H

#include "bwproxy/target.h"
#include "gate_request.h"

/**
 * Writes the part of the head that all attempts share to request->head. Backend
 * servers get the origin form of the target, with the Host that it stands for.
 * @param message as received; request->body has been taken from it
 */
void gate_forward_copy_head(struct gate_request *request,
			    const struct bw_http_message *message,
			    const struct bw_http_target *target);

/**
 * Writes the whole head of an attempt, which is sent to request->job.target.
 * @param remaining_ms time to the deadline of the request; the server gets at
 * least 1 ms
 */
void gate_forward_write_head(const struct gate_request *request,
			     struct bw_buffer *head, int64_t remaining_ms);

/** Appends the fields of a response that its client gets. */
void gate_forward_copy_fields(const struct bw_http_message *response,
			      struct bw_buffer *fields);

#endif
