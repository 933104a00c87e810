#include "route_text.h"

void route_text_add(struct bw_buffer *text, uint32_t count,
		    struct bw_random *random)
{
	uint32_t i;

	for (i = 0; i < count; i++)
		bw_buffer_printf(
			text,
			"\"r-%llx\":{\"host\":\"h%u.example\",\"prefix\":"
			"\"/%llx/\",\"kind\":\"safe\",\"timeout\":1.2},",
			(unsigned long long)bw_random_next(random),
			(unsigned int)bw_random_below(random, 40),
			(unsigned long long)bw_random_next(random));
}
