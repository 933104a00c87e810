/**
 * @file
 * Load generator with open-loop arrivals: configuration and results.
 */
#ifndef TOOLS_LOAD_H
#define TOOLS_LOAD_H

#include <ev.h>
#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>

#include "payload.h"
#include "bwbase/random.h"
#include "bwbase/yaml.h"
#include "bwproxy/upstream.h"

#define LOAD_KINDS_MAX 32
#define LOAD_SOURCES_MAX 64
#define LOAD_ENTRIES_MAX 64
#define LOAD_HOSTS_MAX 8
#define LOAD_RANKS_MAX 8
#define LOAD_SECONDS_MAX 3600
#define LOAD_KEY_BYTES 256

/** One kind of request in the configuration file. */
struct load_kind {
	char *name;
	char *service;
	char *method;
	char *path; /**< starts with "/" */
	char *rank;
	char *marker; /**< value of the HTTP field "Marker"; NULL: none */
	double rate_per_s; /**< mean; times between arrivals are exponential */
	double start_s; /**< start of the arrivals */
	double stop_s; /**< end of the arrivals; 0: duration_s */
	uint32_t body_bytes; /**< 0: no body */
	uint32_t deadline_ms; /**< over all attempts */
	bool idempotent;
	bool own_key; /**< sends its own Idempotency-Key */
};

/** Address of an entry host in the configuration file. */
struct load_entry {
	char *address;
	uint16_t port;
};

/** Configuration file. */
struct load_config {
	uint64_t seed;
	double duration_s;
	uint32_t in_flight_limit; /**< arrivals while this many requests are in
				     flight are not sent */
	uint32_t attempts; /**< limit per request, over all hosts */
	bool renew_keys; /**< new request key after "not-run" or no
			    connection */
	uint32_t backoff_ms; /**< mean before the second attempt; doubled for
				each further one */
	struct load_entry *entry_hosts;
	uint32_t entry_hosts_count;
	char **sources; /**< local addresses; chosen at random per request */
	uint32_t sources_count;
	struct load_kind *kinds;
	uint32_t kinds_count;
};

/** Loads the configuration file; free with load_config_free. */
enum bw_status load_config_read(const char *path, struct load_config **config,
				struct bw_yaml_error *error);
void load_config_free(struct load_config *config);

/** Outcome of a request as seen by the caller. */
enum load_outcome {
	LOAD_RAN, /**< response with outcome "ran" */
	LOAD_NOT_RUN,
	LOAD_MAY_HAVE_RUN,
	LOAD_BROKEN, /**< connection failed after bytes were sent */
	LOAD_TIMEOUT, /**< deadline of the request passed */
	LOAD_UNREACHABLE, /**< no host accepted a connection */
	LOAD_NO_OUTCOME, /**< response without Boragewing-Outcome */
	LOAD_OUTCOME_COUNT
};

/** Names of enum load_outcome in the result files. */
extern const char *const load_outcome_string[LOAD_OUTCOME_COUNT];

/** Results of one rank. */
struct load_rank {
	const char *name;
	uint64_t started;
	uint64_t outcomes[LOAD_OUTCOME_COUNT];
	uint32_t *samples_us; /**< latency of each request that ended with
				 LOAD_RAN */
	size_t sample_count;
	size_t sample_capacity;
	uint32_t started_by_second[LOAD_SECONDS_MAX];
	uint32_t ran_by_second[LOAD_SECONDS_MAX];
	uint32_t ended_by_second[LOAD_SECONDS_MAX];
};

/** Results of a run. */
struct load_result {
	struct load_rank ranks[LOAD_RANKS_MAX];
	uint32_t rank_count;
	/** Complete 200 responses with outcome "ran", by result of the check.
	 */
	uint64_t payload_checks[PAYLOAD_CHECK_COUNT];
	uint64_t status_counts[600];
	uint64_t lookups;
	uint64_t lookups_failed;
	uint64_t attempts;
	uint64_t resends;
	uint64_t not_sent; /**< arrivals above in_flight_limit */
};

/** Finds or adds a rank; beyond LOAD_RANKS_MAX the last one is shared. */
struct load_rank *load_rank_get(struct load_result *result, const char *name);
/** Records an arrival in the given second of the run. */
void load_record_start(struct load_rank *rank, uint32_t second);
/** Records the end of a request. */
void load_record_end(struct load_rank *rank, enum load_outcome outcome,
		     uint64_t latency_us, uint32_t second);
/** Writes the result file. @return whether it succeeded */
bool load_result_write(struct load_result *result, const char *path,
		       double duration_s);
void load_result_finish(struct load_result *result);

#endif
