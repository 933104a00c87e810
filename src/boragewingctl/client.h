/**
 * @file
 * HTTP client for the operators' interface.
 */
#ifndef BORAGEWINGCTL_CLIENT_H
#define BORAGEWINGCTL_CLIENT_H

#include <jansson.h>

#include "bwbase/buffer.h"
#include "bwbase/status.h"

/** Address and credential of one host. */
struct client {
	const char *host; /**< address:port of the operators' listener */
	const char *token; /**< operators' token */
	long timeout_s;
};

/** A response. */
struct client_response {
	long status_code; /**< HTTP status; 0 when no response arrived */
	struct bw_buffer body; /**< followed by a NUL outside its size */
	json_t *json; /**< NULL when the body is not JSON */
	char error[256]; /**< cause when no response arrived */
};

/**
 * Sends a request and waits for its response.
 * @param method "GET" or "POST"
 * @param path with query
 * @param submission value of the header Boragewing-Submission, or NULL
 * @return BW_OK when a response arrived, else BW_EUNAVAILABLE; the response
 *	must be finished in both cases
 */
enum bw_status client_request(const struct client *client, const char *method,
			      const char *path, const char *submission,
			      const void *body, size_t body_bytes,
			      struct client_response *response);

/** Frees a response. */
void client_response_finish(struct client_response *response);

#endif
