#include "fair_model.h"

#include <math.h>
#include <string.h>

#include <glib.h>

#include "bwbase/random.h"
#include "bwcustomer/fair_share.h"

#define TICK_MS 10
#define LENGTH_MS 26000
#define MEASURE_FROM_MS 6000
#define CUT_FROM_MS 10000
#define CUT_UNTIL_MS 18000
#define REPORT_INTERVAL_MS 500
#define DEADLINE_MS 2000
/* Time constant of the sums of all hosts. */
#define SUM_WINDOW_MS 4000.0
/* Sums on their way to the hosts. */
#define NEWS_MAX 8
/* Hosts do not start at time 0 of their clock. */
#define ORIGIN_MS 100000
/* The usual work of a request, by which hosts estimate. */
#define USUAL_MS 500.0
/* Load of the servers below which no request gives way. */
#define SPARE_FRACTION 0.75

struct request {
	struct bw_fair_ticket ticket;
	uint32_t customer;
	uint32_t host;
	int64_t arrived_ms;
	int64_t end_ms; /* of its run */
};

/* The sums of all hosts at one time. */
struct news {
	int64_t at_ms;
	struct bw_fair_rate rates[FAIR_MODEL_CUSTOMERS_MAX];
	struct bw_fair_rate total;
};

struct model {
	const struct fair_model_load *load;
	struct fair_model_result *result;
	struct bw_random random;
	struct bw_fair_shares shares[FAIR_MODEL_HOSTS_MAX];
	bool seen[FAIR_MODEL_HOSTS_MAX][FAIR_MODEL_CUSTOMERS_MAX];
	GQueue waiting[FAIR_MODEL_HOSTS_MAX];
	GQueue running;
	double arrivals[FAIR_MODEL_CUSTOMERS_MAX];
	struct bw_fair_rate sums[FAIR_MODEL_CUSTOMERS_MAX];
	struct news news[NEWS_MAX];
	uint32_t news_count;
	int64_t now_ms;
};

static struct bw_time now_(const struct model *model)
{
	struct bw_time now = { ORIGIN_MS + model->now_ms };

	return now;
}

static uint64_t hash_(uint32_t customer)
{
	return 1000 + customer;
}

static gint compare_(gconstpointer a, gconstpointer b, gpointer unused)
{
	const struct request *first = a;
	const struct request *second = b;

	(void)unused;
	if (first->ticket.order_ms != second->ticket.order_ms)
		return first->ticket.order_ms < second->ticket.order_ms ? -1
									: 1;
	return first->arrived_ms <= second->arrived_ms ? -1 : 1;
}

static void arrive_(struct model *model, uint32_t customer)
{
	const struct fair_model_customer *sends =
		&model->load->customers[customer];
	struct request *request = g_new0(struct request, 1);
	uint32_t count = sends->host_count ? sends->host_count
					   : model->load->hosts;
	struct bw_fair_shares *shares;

	request->customer = customer;
	request->host = sends->first_host +
			(uint32_t)bw_random_below(&model->random, count);
	request->arrived_ms = model->now_ms;
	shares = &model->shares[request->host];
	model->seen[request->host][customer] = true;
	bw_fair_share_ask(shares, &request->ticket,
			  model->load->without_customers ? 0 : hash_(customer),
			  0, USUAL_MS, now_(model), now_(model));
	g_queue_insert_sorted(&model->waiting[request->host], request, compare_,
			      NULL);
	bw_fair_share_wait(shares, &request->ticket);
	if (model->now_ms >= MEASURE_FROM_MS)
		model->result->asked_ms[customer] += (double)sends->work_ms;
}

static void send_(struct model *model, struct request *request)
{
	struct bw_fair_shares *shares = &model->shares[request->host];

	bw_fair_share_leave(shares, &request->ticket);
	bw_fair_share_send(shares, &request->ticket, now_(model));
	request->end_ms = model->now_ms +
			  model->load->customers[request->customer].work_ms;
	g_queue_push_tail(&model->running, request);
}

/* Rejects the requests of a host that have waited too long. */
static void reject_late_(struct model *model, uint32_t host)
{
	GList *item = model->waiting[host].head;

	while (item) {
		struct request *request = item->data;
		GList *next = item->next;

		if (model->now_ms - request->arrived_ms > DEADLINE_MS) {
			bw_fair_share_leave(&model->shares[host],
					    &request->ticket);
			g_queue_delete_link(&model->waiting[host], item);
			g_free(request);
		}
		item = next;
	}
}

/*
 * Returns the next request of a host; NULL if it has none that is sent now.
 * While slots are spare, no request gives way.
 */
static struct request *next_of_host_(struct model *model, uint32_t host)
{
	bool spare = model->running.length <
		     SPARE_FRACTION * model->load->slots;
	GList *item;

	for (item = model->waiting[host].head; item; item = item->next) {
		struct request *request = item->data;

		if (!spare &&
		    bw_fair_share_gives_way(&model->shares[host],
					    &request->ticket, now_(model)))
			continue;
		g_queue_delete_link(&model->waiting[host], item);
		return request;
	}
	return NULL;
}

/* Hosts find free slots in a random order. */
static void fill_slots_(struct model *model)
{
	uint32_t hosts = model->load->hosts;

	while (model->running.length < model->load->slots) {
		uint32_t first =
			(uint32_t)bw_random_below(&model->random, hosts);
		struct request *request = NULL;
		uint32_t i;

		for (i = 0; i < hosts && !request; i++)
			request = next_of_host_(model, (first + i) % hosts);
		if (!request)
			return;
		send_(model, request);
	}
}

static void end_requests_(struct model *model)
{
	GList *item = model->running.head;

	while (item) {
		struct request *request = item->data;
		GList *next = item->next;
		double work_ms =
			(double)model->load->customers[request->customer]
				.work_ms;

		if (model->now_ms >= MEASURE_FROM_MS)
			model->result->served_ms[request->customer] += TICK_MS;
		if (request->end_ms <= model->now_ms) {
			bw_fair_share_end(&model->shares[request->host],
					  &request->ticket, work_ms,
					  now_(model));
			g_queue_delete_link(&model->running, item);
			g_free(request);
		}
		item = next;
	}
}

static bool is_cut_(const struct model *model, uint32_t host)
{
	return host < model->load->cut_hosts && model->now_ms >= CUT_FROM_MS &&
	       model->now_ms < CUT_UNTIL_MS;
}

static void collect_reports_(struct model *model)
{
	struct bw_fair_report items[FAIR_MODEL_CUSTOMERS_MAX];
	uint32_t host;
	size_t count;
	size_t i;

	for (host = 0; host < model->load->hosts; host++) {
		if (is_cut_(model, host))
			continue;
		count = bw_fair_share_take_report(&model->shares[host], items,
						  FAIR_MODEL_CUSTOMERS_MAX);
		for (i = 0; i < count; i++) {
			struct bw_fair_rate *sum =
				&model->sums[items[i].customer_hash - hash_(0)];

			sum->work_ms_per_s += (double)items[i].work_ms /
					      (SUM_WINDOW_MS / 1000.0);
			sum->asked_ms_per_s += (double)items[i].asked_ms /
					       (SUM_WINDOW_MS / 1000.0);
		}
	}
}

/* Decays the sums of all hosts and sends them. */
static void send_news_(struct model *model)
{
	double factor = exp(-REPORT_INTERVAL_MS / SUM_WINDOW_MS);
	struct news *news;
	uint32_t i;

	memmove(&model->news[1], &model->news[0],
		(NEWS_MAX - 1) * sizeof(model->news[0]));
	model->news_count = MIN(model->news_count + 1, NEWS_MAX);
	news = &model->news[0];
	memset(news, 0, sizeof(*news));
	news->at_ms = model->now_ms;
	for (i = 0; i < model->load->customer_count; i++) {
		struct bw_fair_rate *sum = &model->sums[i];

		sum->work_ms_per_s *= factor;
		sum->asked_ms_per_s *= factor;
		news->rates[i] = *sum;
		if (model->load->without_asked)
			news->rates[i].asked_ms_per_s = 0.0;
		news->total.work_ms_per_s += news->rates[i].work_ms_per_s;
		news->total.asked_ms_per_s += news->rates[i].asked_ms_per_s;
	}
}

static void receive_news_(struct model *model)
{
	const struct news *news = NULL;
	uint32_t host;
	uint32_t i;

	for (i = 0; i < model->news_count && !news; i++) {
		if (model->now_ms - model->news[i].at_ms >=
		    model->load->news_delay_ms)
			news = &model->news[i];
	}
	for (host = 0; news && host < model->load->hosts; host++) {
		struct bw_fair_shares *shares = &model->shares[host];

		if (is_cut_(model, host))
			continue;
		for (i = 0; i < model->load->customer_count; i++) {
			if (!model->load->without_sums || model->seen[host][i])
				bw_fair_share_set_fleet(shares, hash_(i), 0,
							&news->rates[i],
							now_(model));
		}
		if (model->load->without_sums)
			bw_fair_share_sum_fleet(shares, now_(model));
		else
			bw_fair_share_set_fleet_total(
				shares, &news->total,
				model->load->customer_count, now_(model));
	}
}

/* All hosts restart: their queues and shares are lost. */
static void restart_(struct model *model)
{
	uint32_t host;

	for (host = 0; host < model->load->hosts; host++) {
		g_queue_clear_full(&model->waiting[host], g_free);
		bw_fair_shares_finish(&model->shares[host]);
		bw_fair_shares_init(&model->shares[host]);
	}
	g_queue_clear_full(&model->running, g_free);
}

static void step_(struct model *model)
{
	uint32_t i;

	if (model->load->restart_ms && model->now_ms == model->load->restart_ms)
		restart_(model);
	for (i = 0; i < model->load->customer_count; i++) {
		const struct fair_model_customer *customer =
			&model->load->customers[i];
		double rate_per_s = customer->rate_per_s;

		if (customer->factor > 0.0 && model->now_ms >= MEASURE_FROM_MS)
			rate_per_s *= customer->factor;
		model->arrivals[i] += rate_per_s * TICK_MS / 1000.0 * 2.0 *
				      bw_random_unit(&model->random);
		for (; model->arrivals[i] >= 1.0; model->arrivals[i] -= 1.0)
			arrive_(model, i);
	}
	end_requests_(model);
	for (i = 0; i < model->load->hosts; i++)
		reject_late_(model, i);
	fill_slots_(model);
	if (model->now_ms % REPORT_INTERVAL_MS || model->load->hosts < 2 ||
	    model->load->without_customers)
		return;
	collect_reports_(model);
	send_news_(model);
	receive_news_(model);
}

static void sum_up_(const struct model *model, struct fair_model_result *result)
{
	double asked_ms = 0.0;
	double served_ms = 0.0;
	uint32_t i;

	for (i = 0; i < model->load->customer_count; i++) {
		result->fraction[i] =
			result->served_ms[i] / MAX(result->asked_ms[i], 1.0);
		asked_ms += result->asked_ms[i];
		served_ms += result->served_ms[i];
	}
	result->fraction_of_all = served_ms / asked_ms;
}

void fair_model_run(const struct fair_model_load *load,
		    struct fair_model_result *result)
{
	static struct model model;
	uint32_t i;

	memset(&model, 0, sizeof(model));
	memset(result, 0, sizeof(*result));
	model.load = load;
	model.result = result;
	bw_random_init(&model.random, load->seed);
	for (; model.now_ms < LENGTH_MS; model.now_ms += TICK_MS)
		step_(&model);
	sum_up_(&model, result);
	g_queue_clear_full(&model.running, g_free);
	for (i = 0; i < load->hosts; i++) {
		g_queue_clear_full(&model.waiting[i], g_free);
		bw_fair_shares_finish(&model.shares[i]);
	}
}
