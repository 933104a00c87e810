#include "payload.h"

#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bwbase/random.h"

const char *const payload_check_string[PAYLOAD_CHECK_COUNT] = {
	[PAYLOAD_INTACT] = "whole",
	[PAYLOAD_WRONG_SIZE] = "cut",
	[PAYLOAD_OTHER_REQUEST] = "foreign",
	[PAYLOAD_CORRUPT] = "damaged",
};

enum bw_status payload_append(struct bw_buffer *out, const char *request_id,
			      size_t size_bytes)
{
	struct bw_random random;
	size_t start = out->size_bytes;
	size_t remaining_bytes;
	enum bw_status status;
	uint64_t word;

	status = bw_buffer_printf(out, "%s %zu\n", request_id, size_bytes);
	bw_random_init(&random, XXH64(request_id, strlen(request_id), 0));
	while (status == BW_OK && out->size_bytes - start < size_bytes) {
		word = bw_random_next(&random);
		remaining_bytes = size_bytes - (out->size_bytes - start);
		status = bw_buffer_append(out, &word,
					  remaining_bytes < sizeof(word)
						  ? remaining_bytes
						  : sizeof(word));
	}
	return status;
}

enum payload_check payload_verify(const char *request_id, const void *data,
				  size_t size_bytes)
{
	struct bw_buffer expected = { 0 };
	size_t id_bytes = strlen(request_id);
	const char *text = data;
	enum payload_check check = PAYLOAD_INTACT;
	char size_text[32] = "";
	size_t stated_bytes;
	size_t i;

	if (size_bytes <= id_bytes)
		return size_bytes && memcmp(text, request_id, size_bytes) != 0
			       ? PAYLOAD_OTHER_REQUEST
			       : PAYLOAD_WRONG_SIZE;
	if (memcmp(text, request_id, id_bytes) != 0 || text[id_bytes] != ' ')
		return PAYLOAD_OTHER_REQUEST;
	for (i = 0;
	     i + 1 < sizeof(size_text) && id_bytes + 1 + i < size_bytes &&
	     text[id_bytes + 1 + i] != '\n';
	     i++)
		size_text[i] = text[id_bytes + 1 + i];
	stated_bytes = strtoul(size_text, NULL, 10);
	/* A requested size below that of the first line is raised to it. */
	if (stated_bytes < id_bytes + i + 2)
		stated_bytes = id_bytes + i + 2;
	if (stated_bytes != size_bytes)
		return PAYLOAD_WRONG_SIZE;
	if (payload_append(&expected, request_id,
			   strtoul(size_text, NULL, 10)) != BW_OK ||
	    expected.size_bytes != size_bytes ||
	    memcmp(expected.data, data, size_bytes) != 0)
		check = PAYLOAD_CORRUPT;
	bw_buffer_finish(&expected);
	return check;
}
