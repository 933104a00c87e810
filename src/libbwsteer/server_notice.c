#include "bwsteer/server_notice.h"

#include <glib.h>

/** Time within which hosts send their trials after a pause. */
#define TRIAL_SPREAD_MS 250

bool bw_server_notice_leave(struct bw_server_notice *notice)
{
	bool is_new = !notice->leaving;

	notice->leaving = true;
	return is_new;
}

void bw_server_notice_pause(struct bw_server_notice *notice, int64_t pause_ms,
			    double phase, struct bw_time now)
{
	struct bw_time until;

	pause_ms = CLAMP(pause_ms, 0, BW_SERVER_PAUSE_MAX_MS);
	if (!pause_ms)
		return;
	until = bw_time_add(now, pause_ms + (int64_t)(phase * TRIAL_SPREAD_MS));
	if (until.ms > notice->paused_until.ms)
		notice->paused_until = until;
	notice->on_trial = true;
	notice->trial_running = false;
}

bool bw_server_notice_declines(const struct bw_server_notice *notice,
			       struct bw_time now)
{
	return notice->leaving || !bw_time_reached(now, notice->paused_until);
}

bool bw_server_notice_allows(const struct bw_server_notice *notice,
			     struct bw_time now)
{
	return !bw_server_notice_declines(notice, now) &&
	       !notice->trial_running;
}

void bw_server_notice_sent(struct bw_server_notice *notice, struct bw_time now)
{
	if (!notice->on_trial || !bw_time_reached(now, notice->paused_until))
		return;
	notice->trial_running = true;
	notice->trial_sent = now;
}

/* Requests that were sent before the pause say nothing of its end. */
void bw_server_notice_ended(struct bw_server_notice *notice, bool answered,
			    struct bw_time sent)
{
	if (!notice->trial_running || sent.ms < notice->trial_sent.ms)
		return;
	notice->trial_running = false;
	if (answered)
		notice->on_trial = false;
}
