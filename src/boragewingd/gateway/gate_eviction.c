#include "gate_eviction.h"

#include <arpa/inet.h>
#include <jansson.h>
#include <stdio.h>
#include <string.h>

/** Maximum number of lines per second of a process. */
#define LINES_PER_S_MAX 5

static bool may_log_(struct gate_evictions *evictions, struct bw_time now);

void gate_evictions_init(struct gate_evictions *evictions, struct bw_log *log,
			 struct bw_metrics *metrics)
{
	char labels[BW_LABELS_MAX];
	int i;

	memset(evictions, 0, sizeof(*evictions));
	evictions->log = log;
	for (i = 0; i < BW_EVICTION_CAUSE_COUNT; i++) {
		snprintf(labels, sizeof(labels), "cause=\"%s\"",
			 bw_eviction_cause_string[i]);
		evictions->closed[i] = bw_metrics_get(
			metrics, BW_METRIC_COUNTER,
			"bw_connections_evicted_total",
			"Connections of clients closed without a request in "
			"progress, or not accepted, by cause",
			labels);
	}
}

void gate_evictions_note(struct gate_evictions *evictions,
			 const struct bw_listener_eviction *eviction,
			 struct bw_time now)
{
	struct in_addr address = { .s_addr = eviction->peer };
	char peer[INET_ADDRSTRLEN] = "";

	bw_metric_add(evictions->closed[eviction->cause], 1);
	if (!may_log_(evictions, now))
		return;
	inet_ntop(AF_INET, &address, peer, sizeof(peer));
	bw_log_event(evictions->log, BW_LOG_WARNING, "listener", "evicted",
		     "{s:s,s:s,s:s,s:s,s:I,s:I,s:i}", "cause",
		     bw_eviction_cause_string[eviction->cause], "phase",
		     bw_eviction_phase_string[eviction->phase], "peer", peer,
		     "address", eviction->address, "lag_ms",
		     (json_int_t)eviction->lag_ms, "held_bytes",
		     (json_int_t)eviction->held_bytes, "unlogged",
		     (int)evictions->unlogged_count);
	evictions->unlogged_count = 0;
}

static bool may_log_(struct gate_evictions *evictions, struct bw_time now)
{
	int64_t second = now.ms / 1000;

	if (second != evictions->second) {
		evictions->second = second;
		evictions->line_count = 0;
	}
	if (evictions->line_count >= LINES_PER_S_MAX) {
		evictions->unlogged_count++;
		return false;
	}
	evictions->line_count++;
	return true;
}
