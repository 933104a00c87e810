#include "private/address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>

/** Size of an IPv4 address as text, with the terminating NUL. */
#define IP_TEXT_BYTES 16

bool address_parse(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char ip[IP_TEXT_BYTES];
	char *end;
	long port;

	if (!colon || (size_t)(colon - text) >= sizeof(ip))
		return false;
	memcpy(ip, text, (size_t)(colon - text));
	ip[colon - text] = '\0';
	port = strtol(colon + 1, &end, 10);
	if (*end || port <= 0 || port > UINT16_MAX)
		return false;
	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	address->sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &address->sin_addr) == 1;
}
