/*
 * Stand-in of the operator and of the platform's checks.
 *
 * use: operator put FILE SECONDS CONTROL...   sends a configuration until it is
 *                                             acknowledged
 *      operator ready SECONDS ADDRESS...      waits until all hosts are ready
 */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "net.h"

#define TEXT_MAX_BYTES 65536
#define PAUSE_MS 200

static int put(const char *path, int64_t until_ms, char **controls, int count)
{
	static char text[TEXT_MAX_BYTES];
	FILE *file = fopen(path, "r");
	int next = 0;

	if (!file)
		return 2;
	text[fread(text, 1, sizeof(text) - 1, file)] = '\0';
	fclose(file);
	while (net_now_ms() < until_ms) {
		if (net_call(controls[next], "POST", "/-/config/put", text) ==
		    200)
			return 0;
		next = (next + 1) % count;
		net_sleep_ms(PAUSE_MS);
	}
	return 2;
}

static int wait_ready(int64_t until_ms, char **addresses, int count)
{
	int ready = 0;

	while (ready < count && net_now_ms() < until_ms) {
		if (net_call(addresses[ready], "GET", "/-/ready", NULL) == 200)
			ready++;
		else
			net_sleep_ms(PAUSE_MS);
	}
	return ready == count ? 0 : 2;
}

int main(int argc, char **argv)
{
	if (argc > 4 && !strcmp(argv[1], "put"))
		return put(argv[2], net_now_ms() + 1000 * atoll(argv[3]),
			   argv + 4, argc - 4);
	if (argc > 3 && !strcmp(argv[1], "ready"))
		return wait_ready(net_now_ms() + 1000 * atoll(argv[2]),
				  argv + 3, argc - 3);
	return 2;
}
