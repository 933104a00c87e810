#include "web.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "announce.h"
#include "calls.h"
#include "host.h"
#include "lookup.h"
#include "operator.h"

#define SMALL_BODY_BYTES (16 * 1024)
#define SHEET_BODY_BYTES BW_SHEET_COMMAND_MAX_BYTES
#define ERROR_TEXT_BYTES 512
#define CALL_PREFIX "/v1/call/"

static const struct web_route routes_[] = {
	{ HOST_LISTENER_ENTRY, "GET", "/v1/lookup", 0, lookup_handle },
	{ HOST_LISTENER_ENTRY, "POST", "/v1/backend/", SMALL_BODY_BYTES,
	  announce_handle },
	{ HOST_LISTENER_ENTRY, "GET", "/metrics", 0, operator_metrics },
	{ HOST_LISTENER_ENTRY, "GET", "/healthz", 0, operator_health },
	{ HOST_LISTENER_OPERATORS, "GET", "/metrics", 0, operator_metrics },
	{ HOST_LISTENER_OPERATORS, "POST", "/v1/sheet", SHEET_BODY_BYTES,
	  operator_submit },
	{ HOST_LISTENER_OPERATORS, "GET", "/v1/sheet", 0, operator_sheet },
	{ HOST_LISTENER_OPERATORS, "POST", "/v1/leave", 0, operator_leave },
	{ HOST_LISTENER_OPERATORS, "POST", "/v1/group/", SMALL_BODY_BYTES,
	  operator_group },
	{ HOST_LISTENER_OPERATORS, "GET", "/v1/", 0, operator_show },
};

static void dispatch_request_(struct host *host, struct bw_request *request);
static const struct web_route *find_route_(uint8_t listener, const char *method,
					   const char *path, bool *path_known);
static bool is_authorised_(const struct host *host,
			   const struct bw_request *request);
static void reject_request_(struct bw_request *request, uint32_t status_code,
			    const char *code);
static void append_body_(struct web_request *web,
			 const struct bw_frontend_event *event);

void web_event(void *context, const struct bw_frontend_event *event)
{
	struct host *host = context;
	struct web_request *web;

	if (event->kind == BW_FRONTEND_HEAD) {
		dispatch_request_(host, event->request);
		return;
	}
	if (calls_event(host->calls, event))
		return;
	web = bw_request_context(event->request);
	if (!web)
		return;
	switch (event->kind) {
	case BW_FRONTEND_BODY:
		append_body_(web, event);
		break;
	case BW_FRONTEND_BODY_END:
		if (!web->responded)
			web->route->handler(web);
		break;
	case BW_FRONTEND_DONE:
		web->request = NULL;
		web_release(web);
		break;
	default:
		break;
	}
}

void web_retain(struct web_request *request)
{
	request->references++;
}

void web_release(struct web_request *request)
{
	if (--request->references)
		return;
	bw_buffer_finish(&request->body);
	free(request);
}

void web_respond_json(struct web_request *request, uint32_t status_code,
		      json_t *value)
{
	char *text = json_dumps(value, JSON_INDENT(1) | JSON_SORT_KEYS);

	if (text)
		web_respond_text(request, status_code, "application/json", text,
				 strlen(text));
	else
		web_respond_text(request, 500, "application/json", "{}", 2);
	free(text);
	json_decref(value);
}

void web_respond_error(struct web_request *request, uint32_t status_code,
		       const char *code, const char *format, ...)
{
	char text[ERROR_TEXT_BYTES];
	va_list args;

	va_start(args, format);
	vsnprintf(text, sizeof(text), format, args);
	va_end(args);
	web_respond_json(request, status_code,
			 json_pack("{s:s, s:s}", "error", code, "detail",
				   text));
}

void web_respond_text(struct web_request *request, uint32_t status_code,
		      const char *content_type, const void *text,
		      size_t size_bytes)
{
	const struct bw_http_header headers[] = {
		{ "Content-Type", content_type },
		{ "Cache-Control", "no-store" },
	};

	if (!request->request || request->responded)
		return;
	request->responded = true;
	bw_request_respond(request->request, status_code, headers, 2, text,
			   size_bytes);
}

bool web_query_parameter(const struct web_request *request, const char *name,
			 char *value, size_t value_bytes)
{
	const char *cursor = bw_request_query(request->request);
	size_t name_length = strlen(name);
	size_t length;

	value[0] = '\0';
	while (cursor && *cursor) {
		length = strcspn(cursor, "&");
		if (length > name_length && cursor[name_length] == '=' &&
		    !strncmp(cursor, name, name_length)) {
			length -= name_length + 1;
			if (length >= value_bytes)
				return false;
			memcpy(value, cursor + name_length + 1, length);
			value[length] = '\0';
			return true;
		}
		cursor += length;
		if (*cursor == '&')
			cursor++;
	}
	return false;
}

static void dispatch_request_(struct host *host, struct bw_request *request)
{
	const char *path = bw_request_path(request);
	uint8_t listener = (uint8_t)bw_request_listener(request);
	const struct web_route *route;
	struct web_request *web;
	bool path_known = false;

	if (listener == HOST_LISTENER_ENTRY &&
	    !strncmp(path, CALL_PREFIX, sizeof(CALL_PREFIX) - 1)) {
		calls_start(host->calls, request,
			    path + sizeof(CALL_PREFIX) - 1);
		return;
	}
	if (listener == HOST_LISTENER_OPERATORS &&
	    !is_authorised_(host, request)) {
		reject_request_(request, 401, "unauthorised");
		return;
	}
	route = find_route_(listener, bw_request_method(request), path,
			    &path_known);
	if (!route) {
		reject_request_(request, path_known ? 405 : 404,
				path_known ? "method_not_allowed"
					   : "not_found");
		return;
	}
	web = calloc(1, sizeof(*web));
	if (!web) {
		reject_request_(request, 503, "out_of_memory");
		return;
	}
	web->kind = WEB_CONTEXT_ENDPOINT;
	web->host = host;
	web->request = request;
	web->route = route;
	web->path_suffix = path + strlen(route->path);
	web->references = 1;
	bw_request_set_context(request, web);
}

static const struct web_route *find_route_(uint8_t listener, const char *method,
					   const char *path, bool *path_known)
{
	const struct web_route *route;
	size_t length;
	size_t i;

	for (i = 0; i < sizeof(routes_) / sizeof(routes_[0]); i++) {
		route = &routes_[i];
		length = strlen(route->path);
		if (route->listener != listener ||
		    (route->path[length - 1] == '/'
			     ? strncmp(route->path, path, length)
			     : strcmp(route->path, path)))
			continue;
		*path_known = true;
		if (!strcmp(route->method, method))
			return route;
	}
	return NULL;
}

static bool is_authorised_(const struct host *host,
			   const struct bw_request *request)
{
	static const char scheme[] = "Bearer ";
	const char *header = bw_request_header(request, "Authorization");
	const char *token = host->settings->operator_token;
	size_t length = strlen(token);

	if (!header || strncmp(header, scheme, sizeof(scheme) - 1))
		return false;
	header += sizeof(scheme) - 1;
	return strlen(header) == length &&
	       !sodium_memcmp(header, token, length);
}

static void reject_request_(struct bw_request *request, uint32_t status_code,
			    const char *code)
{
	const struct bw_http_header headers[] = {
		{ "Content-Type", "application/json" },
	};
	char body[64];
	int length =
		snprintf(body, sizeof(body), "{\"error\": \"%s\"}\n", code);

	bw_request_respond(request, status_code, headers, 1, body,
			   (size_t)length);
}

static void append_body_(struct web_request *web,
			 const struct bw_frontend_event *event)
{
	if (web->responded)
		return;
	if (web->body.size_bytes + event->size_bytes >
		    web->route->body_limit_bytes ||
	    bw_buffer_append(&web->body, event->data, event->size_bytes) !=
		    BW_OK)
		web_respond_error(web, 413, "body_too_large",
				  "the limit is %u bytes",
				  web->route->body_limit_bytes);
}
