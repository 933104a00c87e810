/**
 * @file
 * Load reports: each host sends its load to its domain's aggregator, which
 * sends the sum to the control hosts in the load blob of its domain summary.
 */
#ifndef BORAGEWINGD_REPORT_H
#define BORAGEWINGD_REPORT_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

/** Maximum numbers of services, caller regions and hosts in one report. */
#define REPORT_SERVICES_MAX 64
#define REPORT_REGIONS_MAX 64
#define REPORT_HOSTS_MAX 64

/** A host report older than this is not counted. */
#define REPORT_HOST_AGE_MAX_MS 5000

/** Demand and load of one service on one host, or summed over a domain. */
struct report_demand {
	char service[BW_NAME_MAX];
	uint32_t in_use; /**< requests running */
	uint32_t mean_run_us; /**< 0: not measured */
	/** Demand by caller region, in the order of the sheet. */
	uint32_t milli_slots[REPORT_REGIONS_MAX];
};

/** Sheet and plan in force on a host, and whether it is leaving. */
struct report_status {
	char name[BW_NAME_MAX];
	uint64_t incarnation; /**< of the process */
	uint64_t revision; /**< of the sheet in force */
	int64_t since_wall_ms; /**< when the sheet was put in force */
	uint64_t plan_version;
	bool leaving;
};

/** Report of one host. */
struct report_host {
	struct report_status status;
	struct bw_time received;
	struct report_demand services[REPORT_SERVICES_MAX];
	uint32_t services_count;
};

/** Counters of one service on this host. */
struct report_counter {
	char service[BW_NAME_MAX];
	uint32_t in_use;
	double mean_run_us; /**< moving average; 0: not measured */
	uint32_t arrivals[REPORT_REGIONS_MAX]; /**< since the last report */
	double rate[REPORT_REGIONS_MAX]; /**< moving average, per second */
};

/** Counters of this host and, on the aggregator, reports of its domain. */
struct report_table {
	struct report_counter counters[REPORT_SERVICES_MAX];
	uint32_t counters_count;
	struct report_host *hosts; /**< REPORT_HOSTS_MAX entries */
	uint32_t hosts_count;
	struct bw_time interval_start;
};

/** One service in the report of a domain. */
struct report_service {
	struct report_demand total;
	uint32_t healthy_slots;
	uint32_t warming_slots;
	uint32_t ramp; /**< per mille of warming_slots usable now */
	bool draining;
};

/** Report of a whole domain, as carried in its summary. */
struct report_domain {
	uint32_t regions_count; /**< caller regions in each demand */
	struct report_service services[REPORT_SERVICES_MAX];
	uint32_t services_count;
	struct report_status hosts[REPORT_HOSTS_MAX];
	uint32_t hosts_count;
};

/** Initialises an empty table. @return BW_OK or BW_ENOMEM */
enum bw_status report_table_init(struct report_table *table,
				 struct bw_time now);

/** Frees the table. */
void report_table_finish(struct report_table *table);

/** Counts the arrival of a request from a caller region. */
void report_arrival(struct report_table *table, const char *service,
		    uint32_t region);

/** Counts the start (1) or end (-1) of a run. */
void report_running(struct report_table *table, const char *service,
		    int32_t change);

/** Records the run time of a completed request. */
void report_run_time(struct report_table *table, const char *service,
		     uint64_t duration_us);

/** Returns the demand of a service over all regions, in slots rounded up. */
uint32_t report_demand_slots(const struct report_table *table,
			     const char *service);

/**
 * Closes the current interval and fills this host's report.
 * @param host receives the services; its status is not changed
 */
void report_close_interval(struct report_table *table, struct bw_time now,
			   struct report_host *host);

/** Appends a host report as msgpack. @return BW_OK or BW_ENOMEM */
enum bw_status report_host_encode(const struct report_host *host,
				  uint32_t regions_count,
				  struct bw_buffer *out);

/** Decodes a host report. @return BW_OK, BW_EINVAL or BW_EVERSION */
enum bw_status report_host_decode(const void *data, size_t size_bytes,
				  struct report_host *host);

/** Stores the report of a host of the domain. @return BW_OK or BW_EFULL */
enum bw_status report_store(struct report_table *table,
			    const struct report_host *host, struct bw_time now);

/** Sums the host reports not older than REPORT_HOST_AGE_MAX_MS. */
void report_sum(const struct report_table *table, struct bw_time now,
		struct report_domain *domain);

/** Appends a domain report as msgpack. @return BW_OK or BW_ENOMEM */
enum bw_status report_domain_encode(const struct report_domain *domain,
				    struct bw_buffer *out);

/** Decodes a domain report. @return BW_OK, BW_EINVAL or BW_EVERSION */
enum bw_status report_domain_decode(const void *data, size_t size_bytes,
				    struct report_domain *domain);

#endif
