/**
 * @file
 * Parser of socket addresses.
 */
#ifndef BWPROXY_PRIVATE_ADDRESS_H
#define BWPROXY_PRIVATE_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>

/**
 * Parses an IPv4 address and port such as "127.0.0.1:80".
 * @return whether the text is valid
 */
bool address_parse(const char *text, struct sockaddr_in *address);

#endif
