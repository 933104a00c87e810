#include "traffic_model.h"

#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>

const char *const traffic_scenario_string[TRAFFIC_SCENARIO_COUNT] = {
	[TRAFFIC_NORMAL] = "normal",
	[TRAFFIC_FLOOD_URGENT] = "flood urgent",
	[TRAFFIC_FLOOD_LOOKUP] = "flood lookup",
	[TRAFFIC_FLOOD_FILING] = "flood filing",
	[TRAFFIC_FALSE_REPORTS] = "false reports",
	[TRAFFIC_FAIL_FAST] = "fail fast",
	[TRAFFIC_REPORTS_HALF_LOST] = "reports half lost",
	[TRAFFIC_REPORTS_STOP] = "reports stop",
	[TRAFFIC_COLD_START] = "cold start",
	[TRAFFIC_DRAIN] = "drain",
	[TRAFFIC_CRASH_STORM] = "crash storm",
	[TRAFFIC_COMBINED_FAULTS] = "combined faults",
};

void traffic_check_invariant(const struct model *model, bool holds,
			     const char *invariant)
{
	if (!model->baseline && !holds)
		fail_msg("%s: scenario %s, seed %llu, %lld ms", invariant,
			 traffic_scenario_string[model->scenario],
			 (unsigned long long)model->seed,
			 (long long)bw_time_diff_ms(model->now, model->begin));
}

void traffic_announce(struct model *model, uint32_t index)
{
	struct server *server = &model->servers[index];
	struct bw_backend_announcement announcement = {
		.incarnation = ++server->incarnation,
		.service = SERVICE,
		.failure_domain = "khomas-a",
		.address = "127.0.0.1",
		.port = 8080,
		.slots = SLOTS_PER_SERVER,
		.connections = 360,
	};

	server->up = true;
	server->crashing = false;
	server->served = 0;
	memcpy(announcement.id, server->id, BW_NAME_MAX);
	if (!model->baseline)
		bw_poison_server_lost(&model->poison, server->incarnation - 1,
				      model->now);
	assert_int_equal(bw_backend_announce(&model->table, &announcement,
					     model->now),
			 BW_OK);
}

void traffic_heartbeats(struct model *model)
{
	const struct server *server;
	uint32_t in_flight;
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		server = &model->servers[i];
		if (model->now.ms % 1000 != i * 150 || !server->up)
			continue;
		if (model->scenario == TRAFFIC_REPORTS_STOP &&
		    model->now.ms > model->begin.ms + 500)
			continue;
		if (model->scenario == TRAFFIC_REPORTS_HALF_LOST &&
		    bw_random_below(&model->choices, 2))
			continue;
		in_flight = server->in_flight;
		if (model->scenario == TRAFFIC_FALSE_REPORTS && i == 0)
			in_flight = 0;
		if (model->scenario == TRAFFIC_FALSE_REPORTS && i == 1)
			in_flight = SLOTS_PER_SERVER;
		bw_backend_heartbeat(&model->table, server->id,
				     server->incarnation, in_flight, 0,
				     model->now);
	}
}

void traffic_faults(struct model *model)
{
	int64_t ms = bw_time_diff_ms(model->now, model->begin);
	struct server *first = &model->servers[0];
	uint32_t i;

	for (i = 0; i < SERVERS; i++) {
		if (!model->servers[i].up && model->servers[i].restart_at.ms &&
		    bw_time_reached(model->now, model->servers[i].restart_at))
			traffic_announce(model, i);
	}
	if (model->scenario == TRAFFIC_FALSE_REPORTS && ms == 0)
		first->slowdown = 6;
	if ((model->scenario == TRAFFIC_FAIL_FAST ||
	     model->scenario == TRAFFIC_COMBINED_FAULTS) &&
	    ms == 1000)
		first->fails_fast = true;
	if (model->scenario == TRAFFIC_DRAIN && ms == 2000) {
		for (i = 0; i < 2; i++) {
			model->servers[i].draining = true;
			bw_backend_drain(&model->table, model->servers[i].id,
					 model->servers[i].incarnation,
					 model->now);
		}
	}
	if (model->scenario == TRAFFIC_DRAIN && ms == 4000) {
		traffic_check_invariant(
			model, !first->in_flight,
			"no request is left at the end of a drain");
		first->up = false;
		bw_backend_leave(&model->table, first->id, first->incarnation,
				 model->now);
	}
	if ((model->scenario == TRAFFIC_COMBINED_FAULTS ||
	     model->scenario == TRAFFIC_REPORTS_STOP) &&
	    ms == 3000) {
		model->servers[3].crashing = true;
		model->servers[3].crash_at = model->now;
	}
}

bool traffic_is_not_run(const struct attempt *attempt)
{
	return attempt->outcome == BW_BACKEND_REFUSED ||
	       attempt->outcome == BW_BACKEND_UNREACHABLE;
}

void traffic_crash(struct model *model, uint32_t index)
{
	struct server *server = &model->servers[index];
	uint32_t i;

	server->up = false;
	server->crashing = false;
	server->restart_at = bw_time_add(
		model->now,
		model->scenario == TRAFFIC_REPORTS_STOP ? 60000 : 500);
	memset(server->slot_free, 0, sizeof(server->slot_free));
	model->crashes++;
	for (i = 0; i < model->attempts_count; i++) {
		if (model->attempts[i].server != index ||
		    model->attempts[i].incarnation != server->incarnation ||
		    traffic_is_not_run(&model->attempts[i]))
			continue;
		model->attempts[i].end = model->now;
		model->attempts[i].outcome = BW_BACKEND_CONNECTION_LOST;
	}
}

void traffic_serve(struct model *model, struct attempt *attempt)
{
	struct request *request = &model->requests[attempt->request];
	struct server *server = &model->servers[attempt->server];
	/* A server is slow until it has served 60 requests. */
	uint32_t cold_factor = server->served < 60 ? 6 - server->served / 10
						   : 1;
	uint32_t slot = 0;
	struct bw_time start;
	uint32_t i;

	attempt->end = bw_time_add(model->now, 1);
	attempt->outcome = BW_BACKEND_UNREACHABLE;
	if (!server->up)
		return;
	attempt->outcome = BW_BACKEND_REFUSED;
	for (i = 1; i < SLOTS_PER_SERVER; i++) {
		if (server->slot_free[i].ms < server->slot_free[slot].ms)
			slot = i;
	}
	start = server->slot_free[slot];
	if (start.ms < model->now.ms)
		start = model->now;
	if (start.ms - model->now.ms > 2000)
		return;
	request->executed++;
	server->in_flight++;
	if (server->fails_fast) {
		attempt->outcome = BW_BACKEND_ERROR;
		return;
	}
	if (!request->key && !server->crashing) {
		server->crashing = true;
		server->crash_at = bw_time_add(start, 5);
	}
	server->served++;
	attempt->outcome = BW_BACKEND_OK;
	attempt->end = bw_time_add(
		start, request->service_ms * server->slowdown * cold_factor);
	server->slot_free[slot] = attempt->end;
	if (attempt->end.ms < request->deadline.ms)
		return;
	attempt->end = request->deadline;
	attempt->outcome = BW_BACKEND_TIMEOUT;
	if (!model->baseline) /* the request is cancelled */
		server->slot_free[slot] = request->deadline;
}
