#include "private/listener_private.h"

static uint32_t limit_(const struct bw_server_connection *connection,
		       const struct bw_http_limits *limits,
		       enum bw_listener_cause cause);
static uint32_t budget_limit_(const struct bw_body_budget *budget);

const char *const bw_listener_cause_string[BW_LISTENER_CAUSE_COUNT] = {
	[BW_LISTENER_MALFORMED] = "malformed",
	[BW_LISTENER_UNKNOWN_METHOD] = "unknown_method",
	[BW_LISTENER_HEAD_TOO_LARGE] = "head_too_large",
	[BW_LISTENER_BODY_TOO_LARGE] = "body_too_large",
	[BW_LISTENER_NO_MEMORY] = "no_memory",
	[BW_LISTENER_HEAD_TIMEOUT] = "head_timeout",
	[BW_LISTENER_BODY_TIMEOUT] = "body_timeout",
	[BW_LISTENER_BODY_MEMORY] = "body_memory",
};

const uint16_t bw_listener_cause_status[BW_LISTENER_CAUSE_COUNT] = {
	[BW_LISTENER_MALFORMED] = 400,	    [BW_LISTENER_UNKNOWN_METHOD] = 501,
	[BW_LISTENER_HEAD_TOO_LARGE] = 431, [BW_LISTENER_BODY_TOO_LARGE] = 413,
	[BW_LISTENER_NO_MEMORY] = 503,	    [BW_LISTENER_HEAD_TIMEOUT] = 408,
	[BW_LISTENER_BODY_TIMEOUT] = 408,   [BW_LISTENER_BODY_MEMORY] = 503,
};

void listener_report_rejection(struct bw_server_connection *connection,
			       enum bw_listener_cause cause, struct bw_time now)
{
	const struct bw_listener_config *config = &connection->listener->config;
	const struct bw_http_reader *reader = &connection->reader;
	struct bw_listener_rejection rejection = { .cause = cause };
	int64_t age_ms = bw_time_diff_ms(now, connection->state_since);

	if (!config->handler->rejected)
		return;
	rejection.status_code = bw_listener_cause_status[cause];
	rejection.parser_error =
		http_errno_name(HTTP_PARSER_ERRNO(&reader->parser));
	rejection.address = config->address;
	rejection.received_bytes =
		connection->parsed_bytes + connection->in.size_bytes;
	rejection.age_ms = age_ms > 0 ? (uint32_t)age_ms : 0;
	rejection.limit = limit_(connection, &reader->limits, cause);
	rejection.limit_current = limit_(connection, &config->limits, cause);
	config->handler->rejected(config->context, connection, &reader->message,
				  &rejection);
}

/* A request keeps the size limits that were in force at its first byte. */
static uint32_t limit_(const struct bw_server_connection *connection,
		       const struct bw_http_limits *limits,
		       enum bw_listener_cause cause)
{
	switch (cause) {
	case BW_LISTENER_HEAD_TOO_LARGE:
		return limits->head_max_bytes;
	case BW_LISTENER_BODY_TOO_LARGE:
		return limits->body_max_bytes;
	case BW_LISTENER_HEAD_TIMEOUT:
		return connection->listener->config.head_timeout_ms;
	case BW_LISTENER_BODY_TIMEOUT:
		return connection->listener->config.idle_timeout_ms;
	case BW_LISTENER_BODY_MEMORY:
		return budget_limit_(connection->body.budget);
	case BW_LISTENER_MALFORMED:
	case BW_LISTENER_UNKNOWN_METHOD:
	case BW_LISTENER_NO_MEMORY:
	case BW_LISTENER_CAUSE_COUNT:
		break;
	}
	return 0;
}

static uint32_t budget_limit_(const struct bw_body_budget *budget)
{
	if (!budget)
		return 0;
	return budget->max_bytes < UINT32_MAX ? (uint32_t)budget->max_bytes
					      : UINT32_MAX;
}
