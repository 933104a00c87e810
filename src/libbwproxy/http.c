#include "bwproxy/http.h"

#include <ctype.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static bool is_token_char_(unsigned char c);

static const char *const hop_by_hop_[] = {
	"Connection", "Content-Length",	   "Expect",
	"Keep-Alive", "Proxy-Connection",  "TE",
	"Trailer",    "Transfer-Encoding", "Upgrade",
};

bool bw_http_name_valid(const char *name)
{
	if (!name || !*name)
		return false;
	for (; *name; name++) {
		if (!is_token_char_((unsigned char)*name))
			return false;
	}
	return true;
}

bool bw_http_value_valid(const char *value)
{
	if (!value)
		return false;
	for (; *value; value++) {
		unsigned char c = (unsigned char)*value;

		if ((c < 0x20 && c != '\t') || c == 0x7f)
			return false;
	}
	return true;
}

bool bw_http_headers_valid(const struct bw_http_header *headers, size_t count)
{
	size_t i;

	for (i = 0; i < count; i++) {
		if (!bw_http_name_valid(headers[i].name) ||
		    !bw_http_value_valid(headers[i].value))
			return false;
	}
	return true;
}

bool bw_http_hop_by_hop(const char *name)
{
	size_t i;

	for (i = 0; i < sizeof(hop_by_hop_) / sizeof(hop_by_hop_[0]); i++) {
		if (!strcasecmp(hop_by_hop_[i], name))
			return true;
	}
	return false;
}

bool bw_http_target_valid(const char *target)
{
	if (!target || target[0] != '/')
		return false;
	for (; *target; target++) {
		unsigned char c = (unsigned char)*target;

		if (c <= 0x20 || c >= 0x7f || c == '#')
			return false;
	}
	return true;
}

int64_t bw_http_parse_length(const char *text)
{
	const char *cursor;
	long long value;

	if (!text || !*text)
		return BW_HTTP_LENGTH_UNKNOWN;
	for (cursor = text; *cursor; cursor++) {
		if (!isdigit((unsigned char)*cursor))
			return BW_HTTP_LENGTH_UNKNOWN;
	}
	errno = 0;
	value = strtoll(text, NULL, 10);
	return errno ? BW_HTTP_LENGTH_UNKNOWN : (int64_t)value;
}

static bool is_token_char_(unsigned char c)
{
	return isalnum(c) || (c && strchr("!#$%&'*+-.^_`|~", c));
}
