/**
 * @file
 * Customer of a request: found by the key that the request carries. The server
 * gets the customer's name instead of the key.
 */
#ifndef BORAGEWINGD_GATE_CUSTOMER_H
#define BORAGEWINGD_GATE_CUSTOMER_H

#include "gate_request.h"

/** Size of a key that is looked up, including the terminating null byte. */
#define GATE_KEY_BYTES 512

/** What the key of a request says. */
enum gate_identity {
	GATE_IDENTITY_NONE, /**< no key is needed */
	GATE_IDENTITY_KNOWN, /**< a customer has the key */
	GATE_IDENTITY_UNKNOWN /**< none has it, or the request has none */
};

/**
 * Finds the customer of a request.
 * @param key receives the key that a later configuration is asked for, ""
 *	when none is needed
 */
enum gate_identity gate_customer_identify(const struct bw_routing *routing,
					  const struct bw_route *route,
					  const struct bw_http_message *message,
					  char key[GATE_KEY_BYTES],
					  const struct bw_customer **customer);

/**
 * Sets the customer of a request, and the rank that follows from it.
 * @param customer NULL: none
 */
void gate_customer_set(struct gate_request *request,
		       const struct bw_customer *customer);

/**
 * Finds the customer again after a change of request->routing.
 * @return whether the request may still run
 */
bool gate_customer_refresh(struct gate_request *request);

/** Returns the regions in which route and customer let a request run. */
uint64_t gate_customer_regions(const struct gate_request *request);

/**
 * Responds to a request whose key no customer has: 401 while most control hosts
 * confirm the version in force, otherwise 503, as another host may know the
 * key.
 */
void gate_customer_respond_unknown(struct gate_entry *entry,
				   struct bw_server_connection *connection,
				   const struct bw_http_message *message);

#endif
