#include "bwproxy/memory.h"

#include <string.h>

/**
 * Shares of the memory of a process. The rest is for bytes in sockets, which
 * count as memory of the process, for bodies in chunks, which grow by half, and
 * for the process itself.
 */
#define REQUESTS_DIVISOR 2
#define RESPONSES_DIVISOR 4
#define CONNECTIONS_DIVISOR 8

/** Part of a share of bodies that is kept back, and the largest body that may
 * use it. */
#define BODIES_KEPT_BACK_DIVISOR 16
#define ORDINARY_BODY_MAX_BYTES 65536

/** The same for what a connection holds beside a body. */
#define CONNECTIONS_KEPT_BACK_DIVISOR 4
#define ORDINARY_CONNECTION_MAX_BYTES 8192

static void init_bodies_(struct bw_body_budget *budget, uint64_t max_bytes);

void bw_memory_init(struct bw_memory *memory, uint64_t process_bytes)
{
	memset(memory, 0, sizeof(*memory));
	init_bodies_(&memory->requests, process_bytes / REQUESTS_DIVISOR);
	init_bodies_(&memory->responses, process_bytes / RESPONSES_DIVISOR);
	memory->responses.allows_overdraft = true;
	memory->connections_max_bytes = process_bytes / CONNECTIONS_DIVISOR;
	memory->connections_kept_back_bytes =
		memory->connections_max_bytes / CONNECTIONS_KEPT_BACK_DIVISOR;
}

void bw_memory_charge_connection(struct bw_memory *memory,
				 uint64_t *charged_bytes, uint64_t held_bytes)
{
	memory->connections_used_bytes += held_bytes - *charged_bytes;
	*charged_bytes = held_bytes;
}

bool bw_memory_allows_connection(const struct bw_memory *memory,
				 uint64_t held_bytes)
{
	uint64_t max_bytes = memory->connections_max_bytes;

	if (held_bytes > ORDINARY_CONNECTION_MAX_BYTES)
		max_bytes -= memory->connections_kept_back_bytes;
	return memory->connections_used_bytes <= max_bytes;
}

static void init_bodies_(struct bw_body_budget *budget, uint64_t max_bytes)
{
	budget->max_bytes = max_bytes;
	budget->kept_back_bytes = max_bytes / BODIES_KEPT_BACK_DIVISOR;
	budget->ordinary_max_bytes = ORDINARY_BODY_MAX_BYTES;
}
