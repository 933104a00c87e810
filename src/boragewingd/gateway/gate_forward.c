#include "gate_forward.h"

#include "platform.h"

/** Fields for the other end, also when the Connection field lists them. */
static const char *const end_to_end_fields[] = {
	"Host",
	PLATFORM_FIELD_REQUEST_ID,
	PLATFORM_FIELD_AFFINITY_KEY,
	PLATFORM_FIELD_SIGNATURE,
};

static bool is_replaced_(const struct gate_request *request,
			 const struct bw_http_message *message,
			 const struct bw_http_field *field);
static bool is_forwarded_(const struct bw_http_message *message,
			  const struct bw_http_field *field);
static void append_field_(struct bw_buffer *out,
			  const struct bw_http_message *message,
			  const struct bw_http_field *field);

void gate_forward_copy_head(struct gate_request *request,
			    const struct bw_http_message *message,
			    const struct bw_http_target *target)
{
	struct bw_buffer *head = &request->head;
	uint32_t i;

	bw_buffer_printf(head, "%s %.*s%.*s HTTP/1.1\r\n",
			 http_method_str((enum http_method)message->method),
			 (int)target->path_bytes, target->path,
			 (int)target->query_bytes, target->query);
	if (target->absolute)
		bw_buffer_printf(head, "Host: %.*s\r\n",
				 (int)target->host_bytes, target->host);
	for (i = 0; i < message->field_count; i++) {
		const struct bw_http_field *field = &message->fields[i];

		if (!is_forwarded_(message, field) ||
		    is_replaced_(request, message, field) ||
		    (target->absolute &&
		     bw_http_field_is(message, field, "Host")) ||
		    bw_http_field_is(message, field, PLATFORM_FIELD_DEADLINE) ||
		    bw_http_field_is(message, field,
				     PLATFORM_FIELD_EXPECTED_SERVER))
			continue;
		append_field_(head, message, field);
	}
	if (request->body.bytes.size_bytes || message->method == HTTP_POST ||
	    message->method == HTTP_PUT)
		bw_buffer_printf(head, "Content-Length: %zu\r\n",
				 request->body.bytes.size_bytes);
}

void gate_forward_write_head(const struct gate_request *request,
			     struct bw_buffer *head, int64_t remaining_ms)
{
	bw_buffer_append_buffer(head, &request->head);
	if (request->customer)
		bw_buffer_printf(head, "%s: %s\r\n", PLATFORM_FIELD_CUSTOMER,
				 request->customer->name);
	bw_buffer_printf(head, "%s: %lld\r\n%s: %s\r\n\r\n",
			 PLATFORM_FIELD_DEADLINE,
			 (long long)MAX(remaining_ms, 1),
			 PLATFORM_FIELD_EXPECTED_SERVER,
			 request->job.target->id);
}

void gate_forward_copy_fields(const struct bw_http_message *response,
			      struct bw_buffer *fields)
{
	uint32_t i;

	for (i = 0; i < response->field_count; i++) {
		const struct bw_http_field *field = &response->fields[i];

		if (is_forwarded_(response, field))
			append_field_(fields, response, field);
	}
}

/*
 * Where customers have keys, the server gets the customer's name and not the
 * key, and no name that the client sets.
 */
static bool is_replaced_(const struct gate_request *request,
			 const struct bw_http_message *message,
			 const struct bw_http_field *field)
{
	return request->routing->customers &&
	       (bw_http_field_is(message, field, PLATFORM_FIELD_KEY) ||
		bw_http_field_is(message, field, PLATFORM_FIELD_CUSTOMER));
}

static bool is_forwarded_(const struct bw_http_message *message,
			  const struct bw_http_field *field)
{
	size_t i;

	for (i = 0; i < G_N_ELEMENTS(end_to_end_fields); i++) {
		if (bw_http_field_is(message, field, end_to_end_fields[i]))
			return true;
	}
	return !bw_http_field_is_hop_by_hop(message, field);
}

static void append_field_(struct bw_buffer *out,
			  const struct bw_http_message *message,
			  const struct bw_http_field *field)
{
	bw_buffer_append(out, bw_http_text(message, field->name),
			 field->name.size_bytes);
	bw_buffer_append(out, ": ", 2);
	bw_buffer_append(out, bw_http_text(message, field->value),
			 field->value.size_bytes);
	bw_buffer_append(out, "\r\n", 2);
}
