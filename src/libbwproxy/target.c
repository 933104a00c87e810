#include "bwproxy/target.h"

#include <string.h>
#include <strings.h>

static void read_host_field_(const struct bw_http_message *message,
			     struct bw_http_target *target);
static void read_absolute_(struct bw_http_target *target);
static size_t scheme_bytes_(const char *text, size_t text_bytes);
static void split_query_(struct bw_http_target *target);

void bw_http_target_read(const struct bw_http_message *message,
			 struct bw_http_target *target)
{
	memset(target, 0, sizeof(*target));
	target->path = bw_http_text(message, message->target);
	target->path_bytes = message->target.size_bytes;
	read_absolute_(target);
	if (!target->absolute)
		read_host_field_(message, target);
	split_query_(target);
}

static void read_host_field_(const struct bw_http_message *message,
			     struct bw_http_target *target)
{
	uint32_t i;

	for (i = 0; i < message->field_count; i++) {
		const struct bw_http_field *field = &message->fields[i];

		if (!bw_http_field_is(message, field, "Host"))
			continue;
		target->host = bw_http_text(message, field->value);
		target->host_bytes = field->value.size_bytes;
		return;
	}
}

/* Moves the host of an absolute form from the path; a user name is ignored. */
static void read_absolute_(struct bw_http_target *target)
{
	size_t begin = scheme_bytes_(target->path, target->path_bytes);
	size_t end = begin;
	size_t i;

	if (!begin)
		return;
	while (end < target->path_bytes && !strchr("/?#", target->path[end]))
		end++;
	target->absolute = true;
	for (i = begin; i < end; i++) {
		if (target->path[i] == '@')
			begin = i + 1;
	}
	target->host = target->path + begin;
	target->host_bytes = end - begin;
	target->path += end;
	target->path_bytes -= end;
}

static size_t scheme_bytes_(const char *text, size_t text_bytes)
{
	static const char *const schemes[] = { "http://", "https://" };
	size_t i;

	for (i = 0; i < sizeof(schemes) / sizeof(schemes[0]); i++) {
		size_t bytes = strlen(schemes[i]);

		if (text_bytes >= bytes &&
		    !strncasecmp(text, schemes[i], bytes))
			return bytes;
	}
	return 0;
}

/* The path of an absolute form may be empty, which stands for "/". */
static void split_query_(struct bw_http_target *target)
{
	const char *query = memchr(target->path, '?', target->path_bytes);

	target->query = "";
	if (query) {
		target->query = query;
		target->query_bytes =
			target->path_bytes - (size_t)(query - target->path);
		target->path_bytes -= target->query_bytes;
	}
	if (target->absolute && !target->path_bytes) {
		target->path = "/";
		target->path_bytes = 1;
	}
}
