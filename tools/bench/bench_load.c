#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <curl/curl.h>

#include "bwbase/clock.h"
#include "bwbase/random.h"

#include "bench.h"

#define IN_FLIGHT_MAX 512
#define SAMPLES_MAX 400000
#define US_PER_S 1e6
#define TIMEOUT_MS 5000L

/** Open-loop load: arrivals do not depend on the responses. */
struct load {
	CURLM *multi;
	CURL *idle[IN_FLIGHT_MAX];
	uint32_t idle_count;
	const char *url;
	double rate_per_s;
	struct bw_random random;
	double *latency_us;
	uint32_t done;
	uint32_t failed;
	uint32_t dropped; /**< arrivals while all handles were in use */
};

static size_t discard_body_(char *data, size_t size, size_t count,
			    void *context)
{
	(void)data;
	(void)context;
	return size * count;
}

static bool init_load_(struct load *load)
{
	uint32_t i;

	load->multi = curl_multi_init();
	load->latency_us = calloc(SAMPLES_MAX, sizeof(*load->latency_us));
	if (!load->multi || !load->latency_us)
		return false;
	for (i = 0; i < IN_FLIGHT_MAX; i++) {
		CURL *easy = curl_easy_init();

		if (!easy)
			return false;
		curl_easy_setopt(easy, CURLOPT_URL, load->url);
		curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, discard_body_);
		curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, TIMEOUT_MS);
		curl_easy_setopt(easy, CURLOPT_FAILONERROR, 1L);
		curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
		load->idle[load->idle_count++] = easy;
	}
	return true;
}

static void free_load_(struct load *load)
{
	while (load->idle_count)
		curl_easy_cleanup(load->idle[--load->idle_count]);
	if (load->multi)
		curl_multi_cleanup(load->multi);
	free(load->latency_us);
}

static void collect_finished_(struct load *load)
{
	CURLMsg *message;
	curl_off_t total_us;
	int left;

	while ((message = curl_multi_info_read(load->multi, &left))) {
		CURL *easy = message->easy_handle;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(easy, CURLINFO_TOTAL_TIME_T, &total_us);
		if (message->data.result != CURLE_OK)
			load->failed++;
		else if (load->done < SAMPLES_MAX)
			load->latency_us[load->done++] = (double)total_us;
		curl_multi_remove_handle(load->multi, easy);
		load->idle[load->idle_count++] = easy;
	}
}

static void start_lookup_(struct load *load)
{
	if (!load->idle_count) {
		load->dropped++;
		return;
	}
	curl_multi_add_handle(load->multi, load->idle[--load->idle_count]);
}

/* Returns an exponentially distributed time to the next arrival. */
static double interval_us_(struct load *load)
{
	double uniform = (double)(bw_random_next(&load->random) >> 11) /
			 (double)(UINT64_C(1) << 53);

	return -log(1 - uniform) * US_PER_S / load->rate_per_s;
}

static void run_load_(struct load *load, uint32_t seconds)
{
	uint64_t start_us = bw_clock_us();
	double next_us = interval_us_(load);
	double end_us = seconds * US_PER_S;
	double elapsed_us = 0;
	int running = 1;

	while (elapsed_us < end_us || running) {
		elapsed_us = (double)(bw_clock_us() - start_us);
		while (next_us <= elapsed_us && next_us < end_us) {
			start_lookup_(load);
			next_us += interval_us_(load);
		}
		curl_multi_perform(load->multi, &running);
		collect_finished_(load);
		curl_multi_poll(load->multi, NULL, 0, 1, NULL);
	}
}

static int compare_latencies_(const void *a, const void *b)
{
	double x = *(const double *)a;
	double y = *(const double *)b;

	return (x > y) - (x < y);
}

static double quantile_ms_(struct load *load, double fraction)
{
	if (!load->done)
		return -1;
	return load->latency_us[(uint32_t)((load->done - 1) * fraction)] / 1e3;
}

int bench_http_load(const char *url, double rate_per_s, uint32_t seconds)
{
	struct load load = { .url = url, .rate_per_s = rate_per_s };
	bool ready;

	bw_random_init(&load.random, 1);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	ready = init_load_(&load);
	if (ready) {
		run_load_(&load, seconds);
		qsort(load.latency_us, load.done, sizeof(*load.latency_us),
		      compare_latencies_);
		printf("{\"done\": %u, \"failed\": %u, \"dropped\": %u, "
		       "\"p50_ms\": %.3f, \"p99_ms\": %.3f}\n",
		       load.done, load.failed, load.dropped,
		       quantile_ms_(&load, 0.5), quantile_ms_(&load, 0.99));
	}
	free_load_(&load);
	curl_global_cleanup();
	return ready ? EXIT_SUCCESS : EXIT_FAILURE;
}
