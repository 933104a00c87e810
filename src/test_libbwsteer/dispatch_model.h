/*
 * Simulates backend servers that keep a limited number of objects in memory,
 * and the entry hosts that use them, under one of three placement policies.
 */
#ifndef TEST_DISPATCH_MODEL_H
#define TEST_DISPATCH_MODEL_H

#include <stdint.h>

/* How requests are placed. */
enum model_policy {
	MODEL_DISPATCH, /* the dispatcher under test on every host */
	MODEL_BASELINE, /* random server, first-in first-out, no rejection */
	/* upper bound: one queue over all slots, every object warm */
	MODEL_BOUND
};

/* What servers say of their speed. */
enum model_words {
	MODEL_SILENT,
	MODEL_TRUE, /* the factor of the moment */
	MODEL_FALSE_SOME /* every fourth server is three times as slow as usual
			    and says that it is twice as fast; the others say
			    the truth */
};

/* A load. */
struct model_load {
	uint32_t rates_per_s[6]; /* by failure domain */
	uint32_t burst_percent; /* of the rates, from 20 s to 24 s */
	int64_t length_ms;
	uint32_t lost_domain; /* without servers from 15 s to 25 s; 6: none */
	uint64_t seed;
	enum model_words words;
	uint32_t slow_percent; /* of the servers, for spells of spell_ms */
	double slow_factor; /* on the time of runs that begin in a spell */
	uint32_t spell_ms;
	uint32_t tail_percent; /* of the runs take seven times as long */
};

/* Results of the requests that arrived from 10 s on. */
struct model_result {
	uint32_t requests;
	uint32_t on_time;
	uint32_t late;
	uint32_t rejected;
	int64_t rejected_wait_ms; /* longest time before a rejection */
	double far_share; /* of the answers */
	uint32_t false_runs; /* at servers whose words are false */
	uint32_t runs; /* at all servers */
	uint32_t timeouts; /* answers after the deadline */
};

void dispatch_model_run(enum model_policy policy, const struct model_load *load,
			struct model_result *result);

#endif
