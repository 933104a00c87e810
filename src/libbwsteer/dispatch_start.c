/*
 * The first seconds of a host. It does not know the load of the servers yet,
 * and after a loss of power everywhere all callers return at once: hosts that
 * send everything on fill the servers with more than can end in time. Until
 * loads are known, a host sends no more than its share of the slots.
 */
#include "private/dispatch.h"

static double share_slots_(const struct bw_dispatch *dispatch,
			   const struct bw_dispatch_service *service);
static uint32_t count_before_(const struct bw_job *job);

bool dispatch_start_is_full(const struct bw_dispatch *dispatch,
			    const struct bw_dispatch_service *service,
			    struct bw_time now)
{
	if (bw_time_reached(now, service->learning_until) ||
	    !dispatch->host_count)
		return false;
	return service->in_flight >= share_slots_(dispatch, service);
}

double dispatch_start_wait_ms(const struct bw_dispatch *dispatch,
			      const struct bw_job *job, struct bw_time now)
{
	const struct bw_dispatch_service *service = job->service;
	double share;

	if (!dispatch_start_is_full(dispatch, service, now))
		return 0.0;
	share = share_slots_(dispatch, service);
	return dispatch_assumed_service_ms(service) *
	       (service->in_flight + count_before_(job) + 1.0 - share) / share;
}

static double share_slots_(const struct bw_dispatch *dispatch,
			   const struct bw_dispatch_service *service)
{
	double slots = 0.0;
	uint32_t i;

	for (i = 0; i < service->targets->len; i++) {
		const struct bw_target *target = service->targets->pdata[i];

		if (target->accepts && !target->notice.leaving)
			slots += dispatch_usable_slots(target);
	}
	return MAX(slots / dispatch->host_count, 1.0);
}

static uint32_t count_before_(const struct bw_job *job)
{
	const GList *item;
	uint32_t count = 0;

	for (item = job->service->waiting.head; item; item = item->next)
		count += ((const struct bw_job *)item->data)->rank <= job->rank;
	return count;
}
