#include "bwproxy/upstream.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>

#include "private/upstream_private.h"

#define URL_BYTES 512
#define STATUS_INTERIM_END 200
#define STATUS_END 600
#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

static enum bw_status set_target_(struct bw_call *call,
				  const struct bw_upstream_request *request);
static enum bw_status set_fields_(struct bw_call *call,
				  const struct bw_upstream_request *request);
static enum bw_status add_field_(struct bw_call *call, const char *line);
static bool has_field_(const struct bw_upstream_request *request,
		       const char *name);
static void set_method_(struct bw_call *call,
			const struct bw_upstream_request *request);
static void set_callbacks_(struct bw_call *call);
static curl_socket_t open_socket_(void *context, curlsocktype purpose,
				  struct curl_sockaddr *address);
static int before_request_(void *context, char *remote, char *local,
			   int remote_port, int local_port);
static size_t send_body_(char *data, size_t size, size_t count, void *context);
static size_t receive_field_(char *data, size_t size, size_t count,
			     void *context);
static size_t receive_body_(char *data, size_t size, size_t count,
			    void *context);
static bool start_head_(struct bw_call *call, const char *line, size_t size);
static bool store_field_(struct bw_call *call, const char *line, size_t size);
static bool end_head_(struct bw_call *call);
static bool index_fields_(struct bw_call *call);
static bool check_framing_(struct bw_call *call);

enum bw_status call_setup_(struct bw_call *call,
			   const struct bw_upstream_request *request)
{
	const struct bw_upstream_config *config = &call->upstream->config;
	enum bw_status status;
	CURL *easy = curl_easy_init();

	call->easy = easy;
	if (!easy)
		return BW_ENOMEM;
	status = set_target_(call, request);
	if (status == BW_OK)
		status = set_fields_(call, request);
	if (status != BW_OK)
		return status;
	set_method_(call, request);
	set_callbacks_(call);
	curl_easy_setopt(easy, CURLOPT_PRIVATE, call);
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
	curl_easy_setopt(easy, CURLOPT_FOLLOWLOCATION, 0L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
	curl_easy_setopt(easy, CURLOPT_HTTP09_ALLOWED, 0L);
	curl_easy_setopt(easy, CURLOPT_HTTP_CONTENT_DECODING, 0L);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, (long)request->deadline_ms);
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)config->connect_timeout_ms);
	curl_easy_setopt(easy, CURLOPT_MAXAGE_CONN,
			 (long)config->idle_timeout_s);
	curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT,
			 (long)request->fresh_connection);
	return BW_OK;
}

enum bw_upstream_cause call_cause_(const struct bw_call *call, CURLcode code)
{
	struct bw_clock clock;

	if (call->cancelled)
		return BW_UPSTREAM_CANCELLED;
	if (call->bad_request_body)
		return BW_UPSTREAM_INTERNAL;
	if (call->deadline_expired)
		return BW_UPSTREAM_TIMEOUT;
	if (call->bad_response)
		return BW_UPSTREAM_BAD_RESPONSE;
	if (call->resend_refused)
		return BW_UPSTREAM_RESET;
	switch (code) {
	case CURLE_OK:
		if (!call->head_done)
			return BW_UPSTREAM_BAD_RESPONSE;
		if (!call->no_body &&
		    call->content_length != BW_HTTP_LENGTH_UNKNOWN &&
		    call->content_length != call->received_bytes)
			return BW_UPSTREAM_SHORT_BODY;
		return BW_UPSTREAM_CAUSE_NONE;
	case CURLE_OPERATION_TIMEDOUT:
		bw_clock_init_monotonic(&clock);
		return call->sent || bw_time_reached(bw_clock_now(&clock),
						     call->deadline)
			       ? BW_UPSTREAM_TIMEOUT
			       : BW_UPSTREAM_REFUSED;
	case CURLE_OUT_OF_MEMORY:
		return BW_UPSTREAM_INTERNAL;
	case CURLE_WEIRD_SERVER_REPLY:
	case CURLE_UNSUPPORTED_PROTOCOL:
		return call->sent ? BW_UPSTREAM_BAD_RESPONSE
				  : BW_UPSTREAM_INTERNAL;
	default:
		break;
	}
	if (!call->sent)
		return BW_UPSTREAM_REFUSED;
	return call->head_done ? BW_UPSTREAM_SHORT_BODY : BW_UPSTREAM_RESET;
}

static enum bw_status set_target_(struct bw_call *call,
				  const struct bw_upstream_request *request)
{
	CURL *easy = call->easy;
	struct curl_blob trust = { .flags = CURL_BLOB_COPY };
	char text[URL_BYTES];
	CURLcode code;
	int length;

	if (request->tls_name)
		length = snprintf(text, sizeof(text), "https://%s:%u/",
				  request->tls_name, request->port);
	else
		length = snprintf(text, sizeof(text), "http://%s:%u/",
				  request->address, request->port);
	if (length < 0 || (size_t)length >= sizeof(text))
		return BW_EINVAL;
	code = curl_easy_setopt(easy, CURLOPT_URL, text);
	if (!code)
		code = curl_easy_setopt(easy, CURLOPT_REQUEST_TARGET,
					request->target);
	/* The URL holds the name that the certificate must match; CONNECT_TO
	 * sends the connection to the address. */
	if (!code && request->tls_name) {
		trust.data = (void *)request->tls_trust_pem;
		trust.len = strlen(request->tls_trust_pem);
		code = curl_easy_setopt(easy, CURLOPT_CAINFO_BLOB, &trust);
		snprintf(text, sizeof(text), "::%s:%u", request->address,
			 request->port);
		call->connect_to = curl_slist_append(NULL, text);
		if (!call->connect_to)
			return BW_ENOMEM;
		curl_easy_setopt(easy, CURLOPT_CONNECT_TO, call->connect_to);
	}
	if (!code && request->source) {
		/* "host!": an address, not the name of an interface */
		snprintf(text, sizeof(text), "host!%s", request->source);
		code = curl_easy_setopt(easy, CURLOPT_INTERFACE, text);
	}
	return code ? BW_ENOMEM : BW_OK;
}

static enum bw_status set_fields_(struct bw_call *call,
				  const struct bw_upstream_request *request)
{
	static const char *const suppressed[] = { "Accept", "User-Agent",
						  "Expect" };
	struct bw_buffer line = { 0 };
	enum bw_status status = BW_OK;
	size_t i;

	for (i = 0; i < request->header_count && status == BW_OK; i++) {
		const struct bw_http_header *header = &request->headers[i];

		if (bw_http_hop_by_hop(header->name))
			continue;
		bw_buffer_clear(&line);
		/* libcurl sends a field with an empty value for "name;". */
		status = bw_buffer_printf(&line,
					  header->value[0] ? "%s: %s" : "%s;",
					  header->name, header->value);
		if (status == BW_OK)
			status = add_field_(call, (const char *)line.data);
	}
	/* "name:" stops libcurl from adding the field by itself. Expect is
	 * always suppressed, the others only when the caller does not set them.
	 */
	for (i = 0; i < 3 && status == BW_OK; i++) {
		if (i < 2 && has_field_(request, suppressed[i]))
			continue;
		bw_buffer_clear(&line);
		status = bw_buffer_printf(&line, "%s:", suppressed[i]);
		if (status == BW_OK)
			status = add_field_(call, (const char *)line.data);
	}
	bw_buffer_finish(&line);
	curl_easy_setopt(call->easy, CURLOPT_HTTPHEADER, call->fields);
	return status;
}

static enum bw_status add_field_(struct bw_call *call, const char *line)
{
	struct curl_slist *fields = curl_slist_append(call->fields, line);

	if (!fields)
		return BW_ENOMEM;
	call->fields = fields;
	return BW_OK;
}

static bool has_field_(const struct bw_upstream_request *request,
		       const char *name)
{
	size_t i;

	for (i = 0; i < request->header_count; i++) {
		if (!strcasecmp(request->headers[i].name, name))
			return true;
	}
	return false;
}

/* Every body is sent through the read callback, so that libcurl never has a
 * copy that it could resend by itself. */
static void set_method_(struct bw_call *call,
			const struct bw_upstream_request *request)
{
	curl_off_t length = -1;
	CURL *easy = call->easy;

	if (call->is_head)
		curl_easy_setopt(easy, CURLOPT_NOBODY, 1L);
	if (request->body_kind == BW_UPSTREAM_BODY_COMPLETE)
		length = (curl_off_t)request->body_bytes;
	if (request->body_kind == BW_UPSTREAM_BODY_STREAMED)
		length = (curl_off_t)request->body_length_bytes;
	if (request->body_kind != BW_UPSTREAM_BODY_NONE) {
		curl_easy_setopt(easy, CURLOPT_UPLOAD, 1L);
		curl_easy_setopt(easy, CURLOPT_INFILESIZE_LARGE, length);
	}
	curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, request->method);
}

static void set_callbacks_(struct bw_call *call)
{
	CURL *easy = call->easy;

	curl_easy_setopt(easy, CURLOPT_OPENSOCKETFUNCTION, open_socket_);
	curl_easy_setopt(easy, CURLOPT_OPENSOCKETDATA, call);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, before_request_);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, call);
	curl_easy_setopt(easy, CURLOPT_READFUNCTION, send_body_);
	curl_easy_setopt(easy, CURLOPT_READDATA, call);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, receive_field_);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, call);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, receive_body_);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, call);
}

static curl_socket_t open_socket_(void *context, curlsocktype purpose,
				  struct curl_sockaddr *address)
{
	struct bw_call *call = context;

	(void)purpose;
	if (!call->sent)
		call->opened_socket = true;
	call->upstream->counters.connections++;
	return socket(address->family, address->socktype | SOCK_CLOEXEC,
		      address->protocol);
}

/* Called by libcurl each time before it sends a request. The second call is a
 * resend by libcurl after a reused connection was closed. It is refused,
 * because the backend server may have executed the first request. */
static int before_request_(void *context, char *remote, char *local,
			   int remote_port, int local_port)
{
	struct bw_call *call = context;
	struct bw_upstream_event event = { .kind = BW_UPSTREAM_CONNECTED };

	(void)remote;
	(void)local;
	(void)remote_port;
	(void)local_port;
	if (call->sent) {
		call->resend_refused = true;
		call->upstream->counters.resends_refused++;
		return CURL_PREREQFUNC_ABORT;
	}
	if (!call->cancelled)
		call_emit_(call, &event);
	if (call->cancelled)
		return CURL_PREREQFUNC_ABORT;
	call->sent = true;
	return CURL_PREREQFUNC_OK;
}

static size_t send_body_(char *data, size_t size, size_t count, void *context)
{
	struct bw_call *call = context;
	size_t capacity_bytes = size * count;
	size_t copied_bytes;

	if (call->cancelled || call->bad_request_body)
		return CURL_READFUNC_ABORT;
	if (call->body_kind == BW_UPSTREAM_BODY_COMPLETE) {
		copied_bytes = call->body.size_bytes - call->body_offset;
		if (copied_bytes > capacity_bytes)
			copied_bytes = capacity_bytes;
		if (copied_bytes)
			memcpy(data, call->body.data + call->body_offset,
			       copied_bytes);
		call->body_offset += copied_bytes;
		return copied_bytes;
	}
	copied_bytes = bw_ring_read(&call->ring, data, capacity_bytes);
	if (copied_bytes) {
		if (call->writable_pending)
			call_defer_(call);
		return copied_bytes;
	}
	if (call->ended)
		return 0;
	call->send_paused = true;
	return CURL_READFUNC_PAUSE;
}

static size_t receive_field_(char *data, size_t size, size_t count,
			     void *context)
{
	struct bw_call *call = context;
	size_t bytes = size * count;
	bool ok;

	if (call->cancelled)
		return 0;
	call->head_bytes += bytes;
	if (call->head_bytes > call->upstream->config.header_limit_bytes)
		ok = false;
	else if (call->head_done)
		ok = true; /* trailer fields are discarded */
	else if (bytes > 5 && !strncmp(data, "HTTP/", 5))
		ok = start_head_(call, data, bytes);
	else if (bytes <= 2)
		ok = end_head_(call);
	else
		ok = store_field_(call, data, bytes);
	if (ok)
		return bytes;
	if (!call->cancelled)
		call->bad_response = true;
	return 0;
}

static bool start_head_(struct bw_call *call, const char *line, size_t size)
{
	char text[32];
	unsigned int code;

	if (size >= sizeof(text))
		size = sizeof(text) - 1;
	memcpy(text, line, size);
	text[size] = '\0';
	bw_buffer_clear(&call->head);
	call->header_count = 0;
	if (sscanf(text, "HTTP/1.%*1[01] %3u", &code) != 1 || code < 100 ||
	    code >= STATUS_END)
		return false;
	call->status_code = code;
	return true;
}

/* Appends "name\0value\0" to the head. */
static bool store_field_(struct bw_call *call, const char *line, size_t size)
{
	const char *colon = memchr(line, ':', size);
	const char *end = line + size;
	const char *value;

	if (!call->status_code || !colon || colon == line ||
	    memchr(line, '\0', size))
		return false;
	for (value = colon + 1;
	     value < end && (*value == ' ' || *value == '\t');)
		value++;
	while (end > value && strchr("\r\n \t", end[-1]))
		end--;
	if (bw_buffer_append(&call->head, line, (size_t)(colon - line)) ||
	    bw_buffer_append(&call->head, "", 1) ||
	    bw_buffer_append(&call->head, value, (size_t)(end - value)) ||
	    bw_buffer_append(&call->head, "", 1))
		return false;
	call->header_count++;
	return true;
}

static bool end_head_(struct bw_call *call)
{
	struct bw_upstream_event event = { .kind = BW_UPSTREAM_HEAD };

	if (!call->status_code)
		return false;
	if (call->status_code < STATUS_INTERIM_END)
		return call->status_code != 101;
	if (!index_fields_(call) || !check_framing_(call))
		return false;
	call->head_done = true;
	event.status_code = call->status_code;
	event.headers = call->headers;
	event.header_count = call->header_count;
	event.content_length_bytes = call->content_length;
	call_emit_(call, &event);
	return !call->cancelled;
}

static bool index_fields_(struct bw_call *call)
{
	const char *position = (const char *)call->head.data;
	size_t i;

	free(call->headers);
	call->headers = calloc(call->header_count + 1, sizeof(*call->headers));
	if (!call->headers)
		return false;
	for (i = 0; i < call->header_count; i++) {
		call->headers[i].name = position;
		position += strlen(position) + 1;
		call->headers[i].value = position;
		position += strlen(position) + 1;
	}
	return bw_http_headers_valid(call->headers, call->header_count);
}

/* A body that is delimited by the end of the connection cannot be distinguished
 * from a truncated one, so either one Content-Length or chunked is required. */
static bool check_framing_(struct bw_call *call)
{
	size_t length_field_count = 0;
	size_t coding_field_count = 0;
	size_t i;

	call->content_length = BW_HTTP_LENGTH_UNKNOWN;
	call->no_body = call->is_head ||
			call->status_code == STATUS_NO_CONTENT ||
			call->status_code == STATUS_NOT_MODIFIED;
	for (i = 0; i < call->header_count; i++) {
		const struct bw_http_header *header = &call->headers[i];

		if (!strcasecmp(header->name, "Content-Length")) {
			length_field_count++;
			call->content_length =
				bw_http_parse_length(header->value);
			if (call->content_length < 0)
				return false;
		}
		if (!strcasecmp(header->name, "Transfer-Encoding")) {
			coding_field_count++;
			if (strcasecmp(header->value, "chunked") != 0)
				return false;
		}
	}
	if (length_field_count + coding_field_count > 1)
		return false;
	return call->no_body || length_field_count + coding_field_count == 1;
}

static size_t receive_body_(char *data, size_t size, size_t count,
			    void *context)
{
	struct bw_call *call = context;
	struct bw_upstream_event event = { .kind = BW_UPSTREAM_BODY };
	size_t bytes = size * count;

	if (call->cancelled)
		return 0;
	if (!bytes)
		return 0;
	if (call->paused) {
		call->receive_paused = true;
		return CURL_WRITEFUNC_PAUSE;
	}
	call->received_bytes += (int64_t)bytes;
	event.data = (const uint8_t *)data;
	event.size_bytes = bytes;
	call_emit_(call, &event);
	return call->cancelled ? 0 : bytes;
}
