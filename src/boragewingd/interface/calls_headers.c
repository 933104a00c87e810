#include "calls_private.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define HEADER_KEY "Boragewing-Key"
#define HEADER_DEADLINE "Boragewing-Deadline-Ms"
#define HEADER_RANK "Boragewing-Rank"
#define HEADER_HOPS "Boragewing-Hops"
#define HEADER_HOST "Host"

/** Most fields that the daemon adds to a request. */
#define ADDED_HEADERS_MAX 5

static const char *format_bound_key_(const struct call *call,
				     char text[BW_KEYS_TEXT_MAX]);
static bool is_replaced_header_(const char *name);

uint32_t call_request_headers(struct call *call, bool forwarded,
			      struct bw_http_header *headers,
			      char values[4][BW_KEYS_TEXT_MAX])
{
	const struct bw_http_header *received = NULL;
	size_t received_count = 0;
	uint32_t count = 0;
	size_t i;

	if (call->request)
		received = bw_request_headers(call->request, &received_count);
	for (i = 0;
	     i < received_count && count < CALL_HEADERS_MAX - ADDED_HEADERS_MAX;
	     i++) {
		if (!is_replaced_header_(received[i].name))
			headers[count++] = received[i];
	}
	snprintf(values[0], sizeof(values[0]), "%u", call_remaining_ms(call));
	headers[count++] =
		(struct bw_http_header){ HEADER_DEADLINE, values[0] };
	if (call->has_key && call->key_text[0])
		headers[count++] =
			(struct bw_http_header){ HEADER_KEY, call->key_text };
	else if (call->has_key && !forwarded)
		headers[count++] = (struct bw_http_header){
			HEADER_KEY, format_bound_key_(call, values[3])
		};
	if (forwarded) {
		snprintf(values[1], sizeof(values[1]), "%u", call->hops + 1);
		headers[count++] =
			(struct bw_http_header){ HEADER_HOPS, values[1] };
		if (call->owner_lost)
			headers[count++] =
				(struct bw_http_header){ CALL_HEADER_OWNER_LOST,
							 "1" };
	} else {
		snprintf(values[2], sizeof(values[2]), "%u", call->rank);
		headers[count++] =
			(struct bw_http_header){ HEADER_RANK, values[2] };
	}
	return count;
}

/* Formats a key supplied by the caller: backend servers receive its hash. */
static const char *format_bound_key_(const struct call *call,
				     char text[BW_KEYS_TEXT_MAX])
{
	strcpy(text, "bound.");
	sodium_bin2hex(text + 6, BW_KEYS_TEXT_MAX - 6, call->key.id,
		       sizeof(call->key.id));
	return text;
}

static bool is_replaced_header_(const char *name)
{
	static const char *const replaced[] = {
		HEADER_KEY,  HEADER_DEADLINE, HEADER_RANK,
		HEADER_HOPS, HEADER_HOST,     CALL_HEADER_OWNER_LOST
	};
	size_t i;

	for (i = 0; i < sizeof(replaced) / sizeof(replaced[0]); i++) {
		if (!g_ascii_strcasecmp(replaced[i], name))
			return true;
	}
	return false;
}

void call_save_headers(struct call_attempt *attempt,
		       const struct bw_upstream_event *event)
{
	size_t i;

	for (i = 0; i < event->header_count; i++) {
		bw_buffer_append(&attempt->headers, event->headers[i].name,
				 strlen(event->headers[i].name) + 1);
		bw_buffer_append(&attempt->headers, event->headers[i].value,
				 strlen(event->headers[i].value) + 1);
	}
}
