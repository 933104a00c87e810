#include "plan_model.h"

#include <math.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#define RUN_US 50000
#define LOAD_LIMIT 0.85

static double milli_slots_(const struct model *model, uint32_t service,
			   uint32_t domain)
{
	const struct bw_sheet_service *entry = &model->sheet->services[service];
	uint32_t i;

	for (i = 0; i < entry->placements_count; i++) {
		if (entry->placements[i].domain == domain)
			return model->alive[domain]
				       ? 1000.0 * entry->placements[i].targets *
						 entry->placements[i]
							 .slots_per_target
				       : 0;
	}
	return 0;
}

void model_start(struct model *model, const struct bw_chart *chart,
		 uint64_t seed, bool baseline)
{
	struct sheet_size size = { MODEL_REGIONS, 2,  MODEL_SERVICES,
				   MODEL_DOMAINS, 12, 7,
				   4000 };
	uint32_t s, r, d;

	memset(model, 0, sizeof(*model));
	/* Every third run has links that carry a tenth of the demand. */
	if (seed % 3 == 0)
		size.link_mbit_per_s = 60;
	model->sheet = sheet_build(&size);
	model->chart = chart;
	model->baseline = baseline;
	model->seed = seed;
	model->now_ms = 1700000000000;
	model->cap = 0.2;
	model->window_ms = 35000;
	bw_random_init(&model->random, seed);
	bw_plan_init(&model->plan, chart);
	for (d = 0; d < MODEL_DOMAINS; d++)
		model->alive[d] = true;
	for (s = 0; s < MODEL_SERVICES; s++) {
		for (r = 0; r < MODEL_REGIONS; r++)
			model->demand[s][r] =
				20000 + 50000 * bw_random_unit(&model->random);
	}
	model_note_change(model);
}

void model_stop(struct model *model)
{
	bw_plan_finish(&model->plan);
	sheet_destroy(model->sheet);
}

void model_note_change(struct model *model)
{
	model->last_change_ms = model->now_ms;
}

void model_change_leader(struct model *model, int64_t skew_ms)
{
	struct bw_buffer buffer;
	struct bw_plan next;

	if (model->baseline)
		return;
	bw_buffer_init(&buffer);
	bw_plan_init(&next, model->chart);
	assert_int_equal(bw_plan_encode(&model->plan, &buffer), BW_OK);
	assert_int_equal(bw_plan_decode(&next, buffer.data, buffer.size_bytes),
			 BW_OK);
	bw_plan_finish(&model->plan);
	model->plan = next;
	bw_buffer_finish(&buffer);
	memset(model->received, 0, sizeof(model->received));
	model->skew_ms = skew_ms;
}

/* Callers cache answers for MODEL_TTL_S seconds; when a domain has failed, its
 * callers use the other domains of their answer. */
static void serve_demand_(struct model *model)
{
	uint32_t s, r, d, k;

	memset(model->load, 0, sizeof(model->load));
	for (s = 0; s < MODEL_SERVICES; s++) {
		for (r = 0; r < MODEL_REGIONS; r++) {
			double cached_share[MODEL_DOMAINS] = { 0 }, sum = 0;

			for (d = 0; d < MODEL_DOMAINS; d++) {
				for (k = 0; k < MODEL_TTL_S; k++)
					cached_share[d] +=
						model->history[k][s][r][d];
				cached_share[d] =
					model->alive[d] ? cached_share[d] : 0;
				sum += cached_share[d];
			}
			model->offered += model->demand[s][r];
			if (sum <= 0)
				model->unserved += model->demand[s][r];
			model->result.unserved_percent =
				100 * model->unserved / model->offered;
			for (d = 0; d < MODEL_DOMAINS; d++)
				model->sent[d].demand[s][r] = 0;
			for (d = 0; d < MODEL_DOMAINS && sum > 0; d++) {
				double load = model->demand[s][r] *
					      cached_share[d] / sum;

				model->load[s][d] += load;
				model->sent[d].demand[s][r] = (uint32_t)load;
			}
		}
	}
}

/* Delivers the reports sent a second ago. */
static void deliver_reports_(struct model *model)
{
	uint32_t d;

	for (d = 0; d < MODEL_DOMAINS; d++) {
		if (model->sent[d].known)
			model->received[d] = model->sent[d];
	}
}

static void send_reports_(struct model *model)
{
	uint32_t d, s, r;

	for (d = 0; d < MODEL_DOMAINS; d++) {
		struct model_report *sent = &model->sent[d];

		sent->known = model->alive[d] && !model->reports_lost[d] &&
			      bw_random_below(&model->random, 100) >=
				      model->loss_percent;
		sent->measured_ms = model->now_ms;
		model->reports_lost_since_ms[d] =
			sent->known ? 0
			: model->reports_lost_since_ms[d]
				? model->reports_lost_since_ms[d]
				: model->now_ms;
		for (s = 0; s < MODEL_SERVICES; s++) {
			uint32_t slots =
				(uint32_t)(milli_slots_(model, s, d) / 1000);

			sent->services[s].mean_run_us = RUN_US;
			sent->services[s].healthy_slots =
				model->report_error[d] == 1   ? slots * 10
				: model->report_error[d] == 2 ? 0
							      : slots;
			sent->services[s].draining = model->draining[d];
			sent->services[s].slots_in_use =
				(uint32_t)(model->load[s][d] / 1000);
			for (r = 0;
			     model->report_error[d] == 1 && r < MODEL_REGIONS;
			     r++)
				sent->demand[s][r] *= 10;
		}
	}
}

static void record_complete_demand_(struct model *model)
{
	uint32_t s, r, d;
	bool complete;

	for (s = 0; s < MODEL_SERVICES; s++) {
		for (r = 0; r < MODEL_REGIONS; r++) {
			complete = true;
			for (d = 0; d < MODEL_DOMAINS; d++) {
				if (model->shares[s][r][d] &&
				    model->reports_lost_since_ms[d])
					complete = false;
			}
			if (complete)
				model->last_complete_demand[s][r] =
					model->demand[s][r];
		}
	}
}

/* Baseline for comparison: nearest free capacity first, all in one step. */
static void plan_baseline_(struct model *model)
{
	uint32_t s, r, d, pass;

	for (s = 0; s < MODEL_SERVICES; s++) {
		double spare[MODEL_DOMAINS], demand[MODEL_REGIONS] = { 0 };

		for (d = 0; d < MODEL_DOMAINS; d++) {
			const struct model_report *from = &model->received[d];
			bool usable = from->known &&
				      model->now_ms - from->measured_ms <= 5000;

			spare[d] = usable && !from->services[s].draining
					   ? 1000 * LOAD_LIMIT *
						     from->services[s]
							     .healthy_slots
					   : 0;
			for (r = 0; r < MODEL_REGIONS && usable; r++)
				demand[r] += from->demand[s][r];
		}
		for (r = 0; r < MODEL_REGIONS; r++) {
			double left = demand[r];
			uint32_t sum = 0;

			memset(model->shares[s][r], 0,
			       sizeof(model->shares[s][r]));
			for (pass = 0; pass < MODEL_REGIONS; pass++) {
				for (d = 0; d < MODEL_DOMAINS && left > 0;
				     d++) {
					uint32_t g = (r + pass) % MODEL_REGIONS;
					double take = spare[d] < left ? spare[d]
								      : left;

					if (d / 2 != g)
						continue;
					spare[d] -= take;
					left -= take;
					model->shares[s][r][d] =
						(uint16_t)(1000 * take /
							   demand[r]);
					sum += model->shares[s][r][d];
				}
			}
			model->shares[s][r][2 * r] +=
				(uint16_t)(BW_PLAN_SHARE_TOTAL - sum);
		}
	}
}

static void plan_step_(struct model *model)
{
	struct bw_plan_report reports[MODEL_DOMAINS] = { 0 };
	uint32_t s, r, d, i;
	bool changed;

	for (d = 0; d < MODEL_DOMAINS; d++) {
		struct model_report *from = &model->received[d];

		/* Reports of silent domains expire from the table. */
		reports[d].known = from->known &&
				   model->now_ms - from->measured_ms <=
					   MODEL_REPORT_EXPIRY_MS;
		reports[d].age_ms =
			(uint32_t)(model->now_ms - from->measured_ms);
		reports[d].services = from->services;
		for (s = 0; s < MODEL_SERVICES; s++)
			from->services[s].demand = from->demand[s];
	}
	assert_int_equal(bw_plan_step(&model->plan, model->sheet, reports,
				      model->now_ms + model->skew_ms, &changed),
			 BW_OK);
	memset(model->shares, 0, sizeof(model->shares));
	for (s = 0; s < MODEL_SERVICES; s++) {
		const struct bw_plan_service *entry = &model->plan.services[s];

		for (r = 0; r < MODEL_REGIONS; r++) {
			const uint16_t *row =
				bw_plan_shares(&model->plan, s, r);

			for (i = 0; i < entry->site_count; i++)
				model->shares[s][r]
					     [model->plan.sites
						      [entry->site_begin + i]] =
					row[i];
		}
	}
}

static double total_demand_(const double *demand)
{
	return demand[0] + demand[1] + demand[2];
}

/* Records a shift and returns the sum of the window that ends now. */
static double record_shift_(struct model *model, uint32_t service,
			    double amount)
{
	double sum = 0;
	uint32_t i;

	if (model->shift_count == MODEL_SHIFTS_MAX) {
		model->shift_count /= 2;
		memmove(model->shifts, model->shifts + model->shift_count,
			model->shift_count * sizeof(model->shifts[0]));
	}
	model->shifts[model->shift_count].at_ms = model->now_ms;
	model->shifts[model->shift_count].amount = amount;
	model->shifts[model->shift_count++].service = service;
	for (i = 0; i < model->shift_count; i++) {
		if (model->shifts[i].service == service &&
		    model->now_ms - model->shifts[i].at_ms <= model->window_ms)
			sum += model->shifts[i].amount;
	}
	return sum;
}

static void check_shifts_(struct model *model, const model_shares before)
{
	uint32_t s, r, d;
	bool any = false;

	for (s = 0; s < MODEL_SERVICES; s++) {
		double amount = 0, in_window;

		for (r = 0; r < MODEL_REGIONS; r++) {
			uint32_t sum = 0;

			for (d = 0; d < MODEL_DOMAINS; d++) {
				int change = model->shares[s][r][d] -
					     before[s][r][d];
				int8_t direction = change > 0 ? 1 : -1;

				sum += model->shares[s][r][d];
				amount +=
					abs(change) / 2000.0 *
					model->last_complete_demand[s][r] /
					total_demand_(
						model->last_complete_demand[s]);
				if (!model->baseline && change > 0 &&
				    model->draining[d] &&
				    model->received[d].services[s].draining)
					fail_msg("drained domain %u gains", d);
				if (abs(change) < 20)
					continue;
				if (model->direction[s][r][d] == -direction)
					model->direction_changes[s][r][d]++;
				model->direction[s][r][d] = direction;
				if (model->direction_changes[s][r][d] >
				    model->result.direction_changes)
					model->result.direction_changes =
						model->direction_changes[s][r]
									[d];
			}
			assert_int_equal(sum, BW_PLAN_SHARE_TOTAL);
		}
		if (amount <= 0)
			continue;
		any = true;
		in_window = record_shift_(model, s, amount) / model->cap;
		if (in_window > model->result.shift_of_cap)
			model->result.shift_of_cap = in_window;
		if (!model->baseline && in_window > 1.0001)
			fail_msg(
				"seed %u: service %u moved %.3f of the cap at %lld",
				(uint32_t)model->seed, s, in_window,
				(long long)model->now_ms);
	}
	if (any) {
		model->result.steps++;
		model->result.settled_ms =
			model->now_ms - model->last_change_ms;
	}
}

double model_site_load(const struct model *model, uint32_t service,
		       uint32_t domain, const model_shares shares)
{
	double load = 0,
	       limit = milli_slots_(model, service, domain) * LOAD_LIMIT;
	uint32_t r;

	for (r = 0; r < MODEL_REGIONS; r++)
		load += model->demand[service][r] * shares[service][r][domain] /
			BW_PLAN_SHARE_TOTAL;
	return load <= 0 ? 0 : limit > 0 ? load / limit : 1e9;
}

/* Returns the largest load / limit of a link, both directions together. */
static double link_load_(const struct model *model, const model_shares shares)
{
	double load[MODEL_REGIONS][MODEL_REGIONS] = { 0 };
	double most = 0;
	uint32_t s, r, d, g;

	for (s = 0; s < MODEL_SERVICES; s++) {
		for (r = 0; r < MODEL_REGIONS; r++) {
			for (d = 0; d < MODEL_DOMAINS; d++) {
				g = d / 2;
				load[r < g ? r : g][r < g ? g : r] +=
					g == r ? 0
					       : model->demand[s][r] *
							 shares[s][r][d] /
							 1000 * 16 * 8 / RUN_US;
			}
		}
	}
	for (r = 0; r < MODEL_REGIONS; r++) {
		for (g = 0; g < MODEL_REGIONS; g++)
			most = load[r][g] > most ? load[r][g] : most;
	}
	return most / model->sheet->links[0].limit_mbit_per_s;
}

static void measure_latency_(struct model *model)
{
	uint32_t s, r, d, g;
	double load;

	for (s = 0; s < MODEL_SERVICES; s++) {
		for (r = 0; r < MODEL_REGIONS; r++) {
			double worth = model->sheet->ranks[s].worth;

			for (d = 0; d < MODEL_DOMAINS; d++) {
				double site_load = model->demand[s][r] *
						   model->shares[s][r][d] /
						   1000;

				g = d / 2;
				model->latency_weight += worth * site_load;
				if (g == r)
					continue;
				model->latency_sum +=
					worth * site_load *
					(20 + abs((int)g - (int)r));
			}
		}
	}
	load = link_load_(model, model->shares);
	if (load > model->result.link_load)
		model->result.link_load = load;
	model->result.latency_ms = model->latency_sum / model->latency_weight;
}

static void measure_regions_(struct model *model)
{
	uint32_t s, d;
	double load, slots;

	for (d = 0; d < MODEL_DOMAINS; d += 2) {
		load = 0;
		slots = 0;
		for (s = 0; s < MODEL_SERVICES; s++) {
			load += model->load[s][d] + model->load[s][d + 1];
			slots += milli_slots_(model, s, d) +
				 milli_slots_(model, s, d + 1);
		}
		if (slots > 0 &&
		    load / slots / LOAD_LIMIT > model->result.region_load)
			model->result.region_load = load / slots / LOAD_LIMIT;
	}
}

/* A step must not bring a site or a link above its limit, unless the
 * offered load exceeds the capacity of the domains that report. */
static void check_loads_(struct model *model, const model_shares before)
{
	uint32_t s, d;
	double after = link_load_(model, model->shares);
	double usable;

	if (!model->baseline &&
	    model->now_ms - model->last_change_ms >= 20000 && after > 1.02 &&
	    after > 1.02 * link_load_(model, before))
		fail_msg("seed %u: link at %.2f", (uint32_t)model->seed, after);

	for (s = 0; s < MODEL_SERVICES; s++) {
		usable = 0;
		for (d = 0; d < MODEL_DOMAINS; d++)
			usable += model->reports_lost_since_ms[d] ||
						  model->draining[d] ||
						  model->report_error[d]
					  ? 0
					  : milli_slots_(model, s, d) *
						    LOAD_LIMIT;
		if (total_demand_(model->demand[s]) > 0.9 * usable ||
		    model->now_ms - model->last_change_ms < 20000)
			continue;
		for (d = 0; d < MODEL_DOMAINS; d++) {
			after = model_site_load(model, s, d, model->shares);
			if (!model->baseline && after > 1.02 &&
			    after > 1.02 * model_site_load(model, s, d, before))
				fail_msg(
					"seed %u: service %u domain %u at %.2f",
					(uint32_t)model->seed, s, d, after);
		}
	}
}

void model_advance(struct model *model)
{
	model_shares before;
	bool first = !model->started;

	model->now_ms += 1000;
	memcpy(before, model->shares, sizeof(before));
	model->started = true;
	deliver_reports_(model);
	serve_demand_(model);
	send_reports_(model);
	record_complete_demand_(model);
	if (model->baseline)
		plan_baseline_(model);
	else
		plan_step_(model);
	if (first) {
		uint32_t k;

		for (k = 0; k < MODEL_TTL_S; k++)
			memcpy(model->history[k], model->shares,
			       sizeof(before));
		return;
	}
	check_shifts_(model, before);
	check_loads_(model, before);
	measure_regions_(model);
	measure_latency_(model);
	memmove(model->history, model->history + 1,
		(MODEL_TTL_S - 1) * sizeof(model->history[0]));
	memcpy(model->history[MODEL_TTL_S - 1], model->shares, sizeof(before));
}

void model_run(struct model *model, uint32_t seconds)
{
	while (seconds--)
		model_advance(model);
}
