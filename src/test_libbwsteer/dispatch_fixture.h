/**
 * @file
 * Backend servers, jobs and times for tests of the dispatcher.
 */
#ifndef TEST_DISPATCH_FIXTURE_H
#define TEST_DISPATCH_FIXTURE_H

#include "bwsteer/dispatch.h"

/** Maximum number of servers of a fixture. */
#define FIXTURE_SERVERS_MAX 8

/** Returns the time ms milliseconds after the start of the test. */
struct bw_time fixture_time(int64_t ms);

/**
 * Runs an update with the servers "i-0", "i-1" and so on of service "s".
 * @param domains failure domain and region of each server; NULL: all in the
 * first
 */
void fixture_update(struct bw_dispatch *dispatch, uint32_t count,
		    uint32_t slots, const uint32_t *domains, int64_t ms);

/**
 * Initialises a job of service "s" with an objective of 500 ms and a deadline
 * of 1,000 ms.
 */
void fixture_job(struct bw_dispatch *dispatch, struct bw_job *job,
		 const char *key, uint32_t rank, int64_t ms);

#endif
