#include "bwproxy/frontend.h"

#include <string.h>
#include <sys/socket.h>

#include "private/frontend_private.h"

#define RESPONSE_BLOCK_BYTES 16384

static enum bw_status check_response_(const struct bw_request *request,
				      uint32_t status_code,
				      const struct bw_http_header *headers,
				      size_t count);
static enum bw_status add_fields_(struct bw_request *request,
				  struct MHD_Response *response,
				  const struct bw_http_header *headers,
				  size_t count);
static ssize_t read_ring_(void *context, uint64_t position, char *data,
			  size_t max);

enum bw_status bw_request_respond(struct bw_request *request,
				  uint32_t status_code,
				  const struct bw_http_header *headers,
				  size_t header_count, const void *body,
				  size_t body_bytes)
{
	struct MHD_Response *response;
	enum bw_status status;

	status = check_response_(request, status_code, headers, header_count);
	if (status != BW_OK)
		return status;
	response = MHD_create_response_from_buffer(
		body_bytes, (void *)(body_bytes ? body : ""),
		MHD_RESPMEM_MUST_COPY);
	if (!response)
		return BW_ENOMEM;
	status = add_fields_(request, response, headers, header_count);
	if (status != BW_OK) {
		MHD_destroy_response(response);
		return status;
	}
	request->response = response;
	request->status_code = status_code;
	request->kind = RESPONSE_WHOLE;
	request_wake_(request);
	return BW_OK;
}

enum bw_status bw_request_start(struct bw_request *request,
				uint32_t status_code,
				const struct bw_http_header *headers,
				size_t header_count,
				int64_t content_length_bytes)
{
	struct MHD_Response *response;
	enum bw_status status;

	status = check_response_(request, status_code, headers, header_count);
	if (status != BW_OK)
		return status;
	if (content_length_bytes < BW_HTTP_LENGTH_UNKNOWN)
		return BW_EINVAL;
	status = bw_ring_init(&request->ring, request->frontend->ring_bytes);
	if (status != BW_OK)
		return status;
	response = MHD_create_response_from_callback(
		content_length_bytes == BW_HTTP_LENGTH_UNKNOWN
			? MHD_SIZE_UNKNOWN
			: (uint64_t)content_length_bytes,
		RESPONSE_BLOCK_BYTES, read_ring_, request, NULL);
	if (!response) {
		bw_ring_finish(&request->ring);
		return BW_ENOMEM;
	}
	status = add_fields_(request, response, headers, header_count);
	if (status != BW_OK) {
		MHD_destroy_response(response);
		bw_ring_finish(&request->ring);
		return status;
	}
	request->response = response;
	request->status_code = status_code;
	request->kind = RESPONSE_STREAMED;
	request->response_length = content_length_bytes;
	request->no_body = status_code == MHD_HTTP_NO_CONTENT ||
			   status_code == MHD_HTTP_NOT_MODIFIED ||
			   !strcmp(request->method, MHD_HTTP_METHOD_HEAD);
	request_wake_(request);
	return BW_OK;
}

size_t bw_request_append(struct bw_request *request, const void *data,
			 size_t size_bytes)
{
	struct bw_frontend_counters *counters = &request->frontend->counters;
	size_t accepted_bytes;

	if (request->terminated || request->ended ||
	    request->kind != RESPONSE_STREAMED)
		return 0;
	if (request->no_body)
		return size_bytes;
	accepted_bytes = bw_ring_write(&request->ring, data, size_bytes);
	request->appended_bytes += (int64_t)accepted_bytes;
	if (request->response_length != BW_HTTP_LENGTH_UNKNOWN &&
	    request->appended_bytes > request->response_length) {
		bw_request_abort(request);
		return 0;
	}
	if (accepted_bytes < size_bytes)
		request->writable_due = true;
	if (request->ring.size_bytes > counters->ring_peak_bytes)
		counters->ring_peak_bytes = request->ring.size_bytes;
	request_wake_(request);
	return accepted_bytes;
}

void bw_request_end(struct bw_request *request)
{
	if (request->terminated || request->ended ||
	    request->kind != RESPONSE_STREAMED)
		return;
	if (!request->no_body &&
	    request->response_length != BW_HTTP_LENGTH_UNKNOWN &&
	    request->appended_bytes != request->response_length) {
		bw_request_abort(request);
		return;
	}
	request->ended = true;
	request_wake_(request);
}

void bw_request_abort(struct bw_request *request)
{
	if (request->terminated || request->kind == RESPONSE_WHOLE)
		return;
	request->terminated = true;
	request->must_close = true;
	/* Without the shutdown a client that does not read would keep the
	 * connection of the aborted response open until the idle timeout. */
	if (request->queued)
		shutdown(request->fd, SHUT_RDWR);
	request_wake_(request);
}

static enum bw_status check_response_(const struct bw_request *request,
				      uint32_t status_code,
				      const struct bw_http_header *headers,
				      size_t count)
{
	if (request->terminated)
		return BW_EUNAVAILABLE;
	if (request->kind != RESPONSE_NONE)
		return BW_ECONFLICT;
	if (status_code < 200 || status_code > 599 ||
	    !bw_http_headers_valid(headers, count))
		return BW_EINVAL;
	return BW_OK;
}

static enum bw_status add_fields_(struct bw_request *request,
				  struct MHD_Response *response,
				  const struct bw_http_header *headers,
				  size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		/* MHD rejects empty values; they can be omitted. */
		if (bw_http_hop_by_hop(headers[i].name) || !headers[i].value[0])
			continue;
		if (MHD_add_response_header(response, headers[i].name,
					    headers[i].value) != MHD_YES)
			return BW_EINVAL;
	}
	if (request->frontend->stopping)
		MHD_add_response_header(response, MHD_HTTP_HEADER_CONNECTION,
					"close");
	return BW_OK;
}

static ssize_t read_ring_(void *context, uint64_t position, char *data,
			  size_t max)
{
	struct bw_request *request = context;
	size_t count;

	(void)position;
	if (request->must_close)
		return MHD_CONTENT_READER_END_WITH_ERROR;
	count = bw_ring_read(&request->ring, data, max);
	if (count) {
		if (request->writable_due)
			request_wake_(request);
		return (ssize_t)count;
	}
	if (request->ended)
		return MHD_CONTENT_READER_END_OF_STREAM;
	request_suspend_(request);
	return 0;
}
