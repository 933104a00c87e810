/**
 * @file
 * Proxied requests, from the request head to the end of the response: request
 * keys, admission control, backend server selection, retries and hedging.
 */
#ifndef BORAGEWINGD_CALLS_H
#define BORAGEWINGD_CALLS_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/clock.h"
#include "bwbase/yaml.h"
#include "bwproxy/frontend.h"

struct host;
struct calls;

/**
 * Creates the module and loads its state chart.
 * @param calls receives the object; NULL on failure
 * @return BW_OK, or another status with error filled
 */
enum bw_status calls_new(struct calls **calls, struct host *host,
			 struct bw_yaml_error *error);

/** Frees the module; all requests must have ended. NULL is allowed. */
void calls_free(struct calls *calls);

/**
 * Starts a request whose head is complete.
 * @param path_suffix path after the prefix: service, "/", path at the service
 */
void calls_start(struct calls *calls, struct bw_request *request,
		 const char *path_suffix);

/** Handles an event after the head. @return whether it belongs to a call */
bool calls_event(struct calls *calls, const struct bw_frontend_event *event);

/** Schedules queued requests, expires deadlines; called every 50 ms. */
void calls_tick(struct calls *calls, struct bw_time now);

/** Processes request key events, starts queued requests, frees ended ones. */
void calls_process_events(struct calls *calls, struct bw_time now);

/** Returns the number of requests that have not been freed. */
uint32_t calls_active(const struct calls *calls);

/** Adds the number of requests in each state to a JSON object. */
void calls_dump(const struct calls *calls, json_t *object);

#endif
