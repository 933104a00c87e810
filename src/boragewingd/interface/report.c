#include "report.h"

#include <stdlib.h>
#include <string.h>

#include "bwbase/codec.h"

#define REPORT_VERSION 1
#define HOST_REPORT_VALUES 4
#define DOMAIN_REPORT_VALUES 4
#define STATUS_VALUES 6
#define DEMAND_VALUES 4
#define SERVICE_VALUES 5

/** Weight of the newest interval in the moving average of arrival rates. */
#define RATE_WEIGHT 0.3

/** Weight of the newest run in the moving average of run times. */
#define RUN_TIME_WEIGHT 0.05

/** Run time assumed until the first measurement, in microseconds. */
#define DEFAULT_RUN_US 10000

static struct report_counter *find_or_add_counter_(struct report_table *table,
						   const char *service);
static const struct report_counter *
find_counter_(const struct report_table *table, const char *service);
static double mean_run_s_(const struct report_counter *counter);
static void write_status_(struct bw_writer *writer,
			  const struct report_status *status);
static void read_status_(struct bw_reader *reader,
			 struct report_status *status);
static void write_demand_(struct bw_writer *writer,
			  const struct report_demand *demand,
			  uint32_t regions_count);
static void read_demand_(struct bw_reader *reader,
			 struct report_demand *demand);
static void add_demand_(struct report_domain *domain,
			const struct report_demand *demand);

enum bw_status report_table_init(struct report_table *table, struct bw_time now)
{
	memset(table, 0, sizeof(*table));
	table->hosts = calloc(REPORT_HOSTS_MAX, sizeof(*table->hosts));
	table->interval_start = now;
	return table->hosts ? BW_OK : BW_ENOMEM;
}

void report_table_finish(struct report_table *table)
{
	free(table->hosts);
	table->hosts = NULL;
}

void report_arrival(struct report_table *table, const char *service,
		    uint32_t region)
{
	struct report_counter *counter = find_or_add_counter_(table, service);

	if (counter && region < REPORT_REGIONS_MAX)
		counter->arrivals[region]++;
}

void report_running(struct report_table *table, const char *service,
		    int32_t change)
{
	struct report_counter *counter = find_or_add_counter_(table, service);

	if (counter)
		counter->in_use += (uint32_t)change;
}

void report_run_time(struct report_table *table, const char *service,
		     uint64_t duration_us)
{
	struct report_counter *counter = find_or_add_counter_(table, service);

	if (!counter)
		return;
	if (counter->mean_run_us == 0)
		counter->mean_run_us = (double)duration_us;
	counter->mean_run_us +=
		RUN_TIME_WEIGHT * ((double)duration_us - counter->mean_run_us);
}

uint32_t report_demand_slots(const struct report_table *table,
			     const char *service)
{
	const struct report_counter *counter = find_counter_(table, service);
	double rate = 0;
	uint32_t i;

	if (!counter)
		return 0;
	for (i = 0; i < REPORT_REGIONS_MAX; i++)
		rate += counter->rate[i];
	return (uint32_t)(rate * mean_run_s_(counter) + 0.999);
}

void report_close_interval(struct report_table *table, struct bw_time now,
			   struct report_host *host)
{
	double interval_s =
		(double)bw_time_diff_ms(now, table->interval_start) / 1000.0;
	struct report_counter *counter;
	struct report_demand *demand;
	double rate;
	uint32_t i;
	uint32_t r;

	if (interval_s <= 0)
		interval_s = 0.001;
	table->interval_start = now;
	host->services_count = table->counters_count;
	for (i = 0; i < table->counters_count; i++) {
		counter = &table->counters[i];
		demand = &host->services[i];
		bw_name_set(demand->service, counter->service);
		demand->in_use = counter->in_use;
		demand->mean_run_us = (uint32_t)counter->mean_run_us;
		for (r = 0; r < REPORT_REGIONS_MAX; r++) {
			rate = counter->arrivals[r] / interval_s;
			counter->rate[r] +=
				RATE_WEIGHT * (rate - counter->rate[r]);
			counter->arrivals[r] = 0;
			demand->milli_slots[r] =
				(uint32_t)(counter->rate[r] *
					   mean_run_s_(counter) * 1000);
		}
	}
}

enum bw_status report_host_encode(const struct report_host *host,
				  uint32_t regions_count, struct bw_buffer *out)
{
	struct bw_writer writer;
	uint32_t i;

	bw_writer_init(&writer, out);
	bw_write_array(&writer, HOST_REPORT_VALUES);
	bw_write_uint(&writer, REPORT_VERSION);
	write_status_(&writer, &host->status);
	bw_write_uint(&writer, regions_count);
	bw_write_array(&writer, host->services_count);
	for (i = 0; i < host->services_count; i++)
		write_demand_(&writer, &host->services[i], regions_count);
	return writer.status;
}

enum bw_status report_host_decode(const void *data, size_t size_bytes,
				  struct report_host *host)
{
	struct bw_reader reader;
	enum bw_status status;
	uint64_t version;
	uint32_t count;
	uint32_t i;

	memset(host, 0, sizeof(*host));
	bw_reader_init(&reader, data, size_bytes);
	bw_read_array(&reader);
	version = bw_read_uint(&reader);
	read_status_(&reader, &host->status);
	bw_read_uint(&reader);
	count = bw_read_array(&reader);
	for (i = 0; i < count && i < REPORT_SERVICES_MAX; i++)
		read_demand_(&reader, &host->services[i]);
	host->services_count = i;
	status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	if (status == BW_OK && version != REPORT_VERSION)
		status = BW_EVERSION;
	return status;
}

enum bw_status report_store(struct report_table *table,
			    const struct report_host *host, struct bw_time now)
{
	struct report_host *entry = NULL;
	uint32_t i;

	for (i = 0; i < table->hosts_count && !entry; i++) {
		if (!strcmp(table->hosts[i].status.name, host->status.name))
			entry = &table->hosts[i];
	}
	for (i = 0; i < table->hosts_count && !entry; i++) {
		if (bw_time_diff_ms(now, table->hosts[i].received) >
		    REPORT_HOST_AGE_MAX_MS)
			entry = &table->hosts[i];
	}
	if (!entry && table->hosts_count == REPORT_HOSTS_MAX)
		return BW_EFULL;
	if (!entry)
		entry = &table->hosts[table->hosts_count++];
	*entry = *host;
	entry->received = now;
	return BW_OK;
}

void report_sum(const struct report_table *table, struct bw_time now,
		struct report_domain *domain)
{
	const struct report_host *host;
	uint32_t i;
	uint32_t s;

	for (i = 0; i < table->hosts_count; i++) {
		host = &table->hosts[i];
		if (bw_time_diff_ms(now, host->received) >
		    REPORT_HOST_AGE_MAX_MS)
			continue;
		domain->hosts[domain->hosts_count++] = host->status;
		for (s = 0; s < host->services_count; s++)
			add_demand_(domain, &host->services[s]);
	}
}

enum bw_status report_domain_encode(const struct report_domain *domain,
				    struct bw_buffer *out)
{
	struct bw_writer writer;
	const struct report_service *service;
	uint32_t i;

	bw_writer_init(&writer, out);
	bw_write_array(&writer, DOMAIN_REPORT_VALUES);
	bw_write_uint(&writer, REPORT_VERSION);
	bw_write_uint(&writer, domain->regions_count);
	bw_write_array(&writer, domain->services_count);
	for (i = 0; i < domain->services_count; i++) {
		service = &domain->services[i];
		bw_write_array(&writer, SERVICE_VALUES);
		write_demand_(&writer, &service->total, domain->regions_count);
		bw_write_uint(&writer, service->healthy_slots);
		bw_write_uint(&writer, service->warming_slots);
		bw_write_uint(&writer, service->ramp);
		bw_write_bool(&writer, service->draining);
	}
	bw_write_array(&writer, domain->hosts_count);
	for (i = 0; i < domain->hosts_count; i++)
		write_status_(&writer, &domain->hosts[i]);
	return writer.status;
}

enum bw_status report_domain_decode(const void *data, size_t size_bytes,
				    struct report_domain *domain)
{
	struct bw_reader reader;
	struct report_service *service;
	enum bw_status status;
	uint64_t version;
	uint32_t count;
	uint32_t i;

	memset(domain, 0, sizeof(*domain));
	bw_reader_init(&reader, data, size_bytes);
	bw_read_array(&reader);
	version = bw_read_uint(&reader);
	domain->regions_count = (uint32_t)bw_read_uint(&reader);
	count = bw_read_array(&reader);
	for (i = 0; i < count && i < REPORT_SERVICES_MAX; i++) {
		service = &domain->services[i];
		bw_read_array(&reader);
		read_demand_(&reader, &service->total);
		service->healthy_slots = (uint32_t)bw_read_uint(&reader);
		service->warming_slots = (uint32_t)bw_read_uint(&reader);
		service->ramp = (uint32_t)bw_read_uint(&reader);
		service->draining = bw_read_bool(&reader);
		bw_read_end(&reader);
	}
	domain->services_count = i;
	bw_read_end(&reader);
	count = bw_read_array(&reader);
	for (i = 0; i < count && i < REPORT_HOSTS_MAX; i++)
		read_status_(&reader, &domain->hosts[i]);
	domain->hosts_count = i;
	status = bw_reader_status(&reader);
	bw_reader_finish(&reader);
	if (status == BW_OK && version != REPORT_VERSION)
		status = BW_EVERSION;
	return status;
}

static struct report_counter *find_or_add_counter_(struct report_table *table,
						   const char *service)
{
	struct report_counter *counter =
		(struct report_counter *)find_counter_(table, service);

	if (counter || table->counters_count == REPORT_SERVICES_MAX)
		return counter;
	counter = &table->counters[table->counters_count];
	if (!bw_name_set(counter->service, service))
		return NULL;
	table->counters_count++;
	return counter;
}

static const struct report_counter *
find_counter_(const struct report_table *table, const char *service)
{
	uint32_t i;

	for (i = 0; i < table->counters_count; i++) {
		if (!strcmp(table->counters[i].service, service))
			return &table->counters[i];
	}
	return NULL;
}

static double mean_run_s_(const struct report_counter *counter)
{
	double run_us = counter->mean_run_us;

	return (run_us > 0 ? run_us : DEFAULT_RUN_US) / 1e6;
}

static void write_status_(struct bw_writer *writer,
			  const struct report_status *status)
{
	bw_write_array(writer, STATUS_VALUES);
	bw_write_str(writer, status->name);
	bw_write_uint(writer, status->incarnation);
	bw_write_uint(writer, status->revision);
	bw_write_int(writer, status->since_wall_ms);
	bw_write_uint(writer, status->plan_version);
	bw_write_bool(writer, status->leaving);
}

static void read_status_(struct bw_reader *reader, struct report_status *status)
{
	bw_read_array(reader);
	bw_read_name(reader, status->name);
	status->incarnation = bw_read_uint(reader);
	status->revision = bw_read_uint(reader);
	status->since_wall_ms = bw_read_int(reader);
	status->plan_version = bw_read_uint(reader);
	status->leaving = bw_read_bool(reader);
	bw_read_end(reader);
}

static void write_demand_(struct bw_writer *writer,
			  const struct report_demand *demand,
			  uint32_t regions_count)
{
	uint32_t i;

	bw_write_array(writer, DEMAND_VALUES);
	bw_write_str(writer, demand->service);
	bw_write_uint(writer, demand->in_use);
	bw_write_uint(writer, demand->mean_run_us);
	bw_write_array(writer, regions_count);
	for (i = 0; i < regions_count; i++)
		bw_write_uint(writer, demand->milli_slots[i]);
}

static void read_demand_(struct bw_reader *reader, struct report_demand *demand)
{
	uint32_t count;
	uint32_t i;

	bw_read_array(reader);
	bw_read_name(reader, demand->service);
	demand->in_use = (uint32_t)bw_read_uint(reader);
	demand->mean_run_us = (uint32_t)bw_read_uint(reader);
	count = bw_read_array(reader);
	for (i = 0; i < count && i < REPORT_REGIONS_MAX; i++)
		demand->milli_slots[i] = (uint32_t)bw_read_uint(reader);
	bw_read_end(reader);
	bw_read_end(reader);
}

static void add_demand_(struct report_domain *domain,
			const struct report_demand *demand)
{
	struct report_demand *total = NULL;
	uint32_t i;

	for (i = 0; i < domain->services_count && !total; i++) {
		if (!strcmp(domain->services[i].total.service, demand->service))
			total = &domain->services[i].total;
	}
	if (!total && domain->services_count == REPORT_SERVICES_MAX)
		return;
	if (!total) {
		total = &domain->services[domain->services_count++].total;
		bw_name_set(total->service, demand->service);
	}
	total->in_use += demand->in_use;
	if (demand->mean_run_us > total->mean_run_us)
		total->mean_run_us = demand->mean_run_us;
	for (i = 0; i < REPORT_REGIONS_MAX; i++)
		total->milli_slots[i] += demand->milli_slots[i];
}
