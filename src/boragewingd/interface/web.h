/**
 * @file
 * HTTP endpoints of the daemon: dispatch by listener, method and path, request
 * bodies buffered in memory, JSON responses.
 */
#ifndef BORAGEWINGD_WEB_H
#define BORAGEWINGD_WEB_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/buffer.h"
#include "bwproxy/frontend.h"

struct host;

/**
 * What the context pointer of a front-end request refers to; first member of
 * struct web_request and struct call.
 */
enum web_context_kind { WEB_CONTEXT_ENDPOINT, WEB_CONTEXT_CALL };

/** A request to an endpoint, with its body buffered in memory. */
struct web_request {
	enum web_context_kind kind;
	struct host *host;
	struct bw_request *request; /**< NULL after BW_FRONTEND_DONE */
	const struct web_route *route;
	const char *path_suffix; /**< path after the route's prefix */
	struct bw_buffer body;
	bool too_large;
	bool responded;
	uint32_t references; /**< of the front end and pending commands */
};

/** Handles a complete request; responds or retains a reference. */
typedef void web_handler_fn(struct web_request *request);

/** One endpoint. */
struct web_route {
	uint8_t listener; /**< an enum host_listener */
	const char *method;
	const char *path; /**< whole path, or a prefix that ends in '/' */
	uint32_t body_limit_bytes;
	web_handler_fn *handler;
};

/** Handles all events of the front end; context is the struct host. */
void web_event(void *context, const struct bw_frontend_event *event);

/** Keeps a request alive for a later response. */
void web_retain(struct web_request *request);

/** Drops a reference; frees the request with the last one. */
void web_release(struct web_request *request);

/** Responds with a JSON value and takes over its reference. */
void web_respond_json(struct web_request *request, uint32_t status_code,
		      json_t *value);

/** Responds with {"error": code, "detail": text}. */
void web_respond_error(struct web_request *request, uint32_t status_code,
		       const char *code, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

/** Responds with a text body. */
void web_respond_text(struct web_request *request, uint32_t status_code,
		      const char *content_type, const void *text,
		      size_t size_bytes);

/**
 * Finds a query parameter.
 * @param value receives the value, not percent-decoded; empty when missing
 * @return whether the parameter is present and fits
 */
bool web_query_parameter(const struct web_request *request, const char *name,
			 char *value, size_t value_bytes);

#endif
