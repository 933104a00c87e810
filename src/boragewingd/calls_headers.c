#include "calls_private.h"

#include <sodium.h>
#include <stdio.h>
#include <string.h>

#define HEADER_KEY "Boragewing-Key"
#define HEADER_DEADLINE "Boragewing-Deadline-Ms"
#define HEADER_RANK "Boragewing-Rank"
#define HEADER_HOPS "Boragewing-Hops"
#define HEADER_HOST "Host"

/** Fields that the daemon adds to a request. */
#define OWN_HEADERS 5

static const char *bound_key_text_(const struct call *call,
				   char text[BW_KEYS_TEXT_MAX]);
static bool is_own_header_(const char *name);

uint32_t call_request_headers(struct call *call, bool forwarded,
			      struct bw_http_header *headers,
			      char texts[4][BW_KEYS_TEXT_MAX])
{
	const struct bw_http_header *given = NULL;
	size_t given_count = 0;
	uint32_t count = 0;
	size_t i;

	if (call->request)
		given = bw_request_headers(call->request, &given_count);
	for (i = 0; i < given_count && count < CALL_HEADERS_MAX - OWN_HEADERS;
	     i++) {
		if (!is_own_header_(given[i].name))
			headers[count++] = given[i];
	}
	snprintf(texts[0], sizeof(texts[0]), "%u", call_remaining_ms(call));
	headers[count++] = (struct bw_http_header){ HEADER_DEADLINE, texts[0] };
	if (call->has_key && call->key_text[0])
		headers[count++] =
			(struct bw_http_header){ HEADER_KEY, call->key_text };
	else if (call->has_key && !forwarded)
		headers[count++] = (struct bw_http_header){
			HEADER_KEY, bound_key_text_(call, texts[3])
		};
	if (forwarded) {
		snprintf(texts[1], sizeof(texts[1]), "%u", call->hops + 1);
		headers[count++] =
			(struct bw_http_header){ HEADER_HOPS, texts[1] };
		if (call->owner_lost)
			headers[count++] =
				(struct bw_http_header){ CALL_HEADER_OWNER_LOST,
							 "1" };
	} else {
		snprintf(texts[2], sizeof(texts[2]), "%u", call->rank);
		headers[count++] =
			(struct bw_http_header){ HEADER_RANK, texts[2] };
	}
	return count;
}

/* A backend server sees the hash of a key that the caller brought. */
static const char *bound_key_text_(const struct call *call,
				   char text[BW_KEYS_TEXT_MAX])
{
	strcpy(text, "bound.");
	sodium_bin2hex(text + 6, BW_KEYS_TEXT_MAX - 6, call->key.id,
		       sizeof(call->key.id));
	return text;
}

static bool is_own_header_(const char *name)
{
	static const char *const own[] = {
		HEADER_KEY,  HEADER_DEADLINE, HEADER_RANK,
		HEADER_HOPS, HEADER_HOST,     CALL_HEADER_OWNER_LOST
	};
	size_t i;

	for (i = 0; i < sizeof(own) / sizeof(own[0]); i++) {
		if (!g_ascii_strcasecmp(own[i], name))
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
