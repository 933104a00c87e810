/**
 * @file
 * What a backend server says of itself in its answers: that it leaves, or that
 * it wants no requests for some time. The module has no clock.
 *
 * A leave is final for a start of the server, because a request that follows an
 * answer without it would still reach a server that leaves. A pause is kept to
 * the longest end that was named; after it one request is a trial, and others
 * follow when it was answered without another pause.
 */
#ifndef BWSTEER_SERVER_NOTICE_H
#define BWSTEER_SERVER_NOTICE_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"

/** Longest pause that is kept; a longer one is taken for an error. */
#define BW_SERVER_PAUSE_MAX_MS (60 * 60 * 1000)

/** Notices of one start of a server as one host keeps them. */
struct bw_server_notice {
	bool leaving;
	struct bw_time paused_until;
	bool on_trial; /**< no answer to a trial has come since the pause */
	bool trial_running;
	struct bw_time trial_sent;
};

/** Notes a leave. @return whether it is new */
bool bw_server_notice_leave(struct bw_server_notice *notice);

/**
 * Notes a pause.
 * @param pause_ms from now on; limited to BW_SERVER_PAUSE_MAX_MS
 * @param phase random, from 0 to 1: part of a short time by which the end is
 *	later, so that hosts don't all send their trials at once
 */
void bw_server_notice_pause(struct bw_server_notice *notice, int64_t pause_ms,
			    double phase, struct bw_time now);

/** Returns whether the server leaves, or wants no requests now. */
bool bw_server_notice_declines(const struct bw_server_notice *notice,
			       struct bw_time now);

/** Returns whether a request may be sent now. */
bool bw_server_notice_allows(const struct bw_server_notice *notice,
			     struct bw_time now);

/** Counts a request that is sent. */
void bw_server_notice_sent(struct bw_server_notice *notice, struct bw_time now);

/**
 * Counts the end of a request.
 * @param answered with an answer that names no pause
 * @param sent when it was sent
 */
void bw_server_notice_ended(struct bw_server_notice *notice, bool answered,
			    struct bw_time sent);

#endif
