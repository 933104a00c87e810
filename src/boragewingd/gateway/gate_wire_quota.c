/*
 * Messages about quotas. Rates and bursts are sent in thousandths.
 */
#include "gate_wire.h"

#include <string.h>

/** Number of values that encode one demand, and one grant. */
#define DEMAND_VALUES 10
#define GRANT_VALUES 3
#define CLOSED_VALUES 2

static uint32_t read_u32_(struct bw_reader *reader);
static void write_demand_(struct bw_writer *writer,
			  const struct bw_quota_demand *demand);
static void read_demand_(struct bw_reader *reader,
			 struct bw_quota_demand *demand);
static uint32_t read_count_(struct bw_reader *reader, uint32_t values,
			    uint32_t limit);

void gate_quota_demand_write(struct bw_buffer *out,
			     const struct bw_quota_report *report)
{
	struct bw_writer writer;
	uint32_t i;

	gate_message_begin(&writer, out, GATE_QUOTA_DEMAND, 7);
	bw_write_str(&writer, report->host);
	bw_write_uint(&writer, report->incarnation);
	bw_write_uint(&writer, report->version);
	bw_write_uint(&writer, report->term);
	bw_write_uint(&writer, report->sent_ms);
	bw_write_uint(&writer, report->applied_ms);
	bw_write_array(&writer, DEMAND_VALUES * report->demand_count);
	for (i = 0; i < report->demand_count; i++)
		write_demand_(&writer, &report->demands[i]);
}

void gate_quota_grant_write(struct bw_buffer *out,
			    const struct gate_quota_grant *grant)
{
	struct bw_writer writer;
	uint32_t i;

	gate_message_begin(&writer, out, GATE_QUOTA_GRANT, 6);
	bw_write_str(&writer, grant->host);
	bw_write_uint(&writer, grant->incarnation);
	bw_write_uint(&writer, grant->term);
	bw_write_uint(&writer, grant->sent_ms);
	bw_write_array(&writer, GRANT_VALUES * grant->grant_count);
	for (i = 0; i < grant->grant_count; i++) {
		bw_write_uint(&writer, grant->grants[i].customer_hash);
		bw_write_uint(&writer, grant->grants[i].leased);
		bw_write_uint(&writer, grant->grants[i].fleet_work_ms_per_s);
	}
	bw_write_array(&writer, CLOSED_VALUES * grant->closed_count);
	for (i = 0; i < grant->closed_count; i++) {
		bw_write_uint(&writer, grant->closed[i].customer_hash);
		bw_write_uint(&writer, grant->closed[i].open_percent);
	}
}

void gate_quota_demand_read(struct bw_reader *reader,
			    struct gate_quota_demand *demand)
{
	struct bw_quota_report *report = &demand->report;
	uint32_t i;

	memset(report, 0, sizeof(*report));
	bw_read_name(reader, report->host);
	report->incarnation = bw_read_uint(reader);
	report->version = bw_read_uint(reader);
	report->term = bw_read_uint(reader);
	report->sent_ms = bw_read_uint(reader);
	report->applied_ms = bw_read_uint(reader);
	report->demands = demand->demands;
	report->demand_count =
		read_count_(reader, DEMAND_VALUES, GATE_QUOTAS_MAX);
	for (i = 0; i < report->demand_count; i++)
		read_demand_(reader, &demand->demands[i]);
	bw_read_end(reader);
}

void gate_quota_grant_read(struct bw_reader *reader,
			   struct gate_quota_grant *grant)
{
	uint32_t i;

	bw_read_name(reader, grant->host);
	grant->incarnation = bw_read_uint(reader);
	grant->term = bw_read_uint(reader);
	grant->sent_ms = bw_read_uint(reader);
	grant->grant_count = read_count_(reader, GRANT_VALUES, GATE_QUOTAS_MAX);
	for (i = 0; i < grant->grant_count; i++) {
		grant->grants[i].customer_hash = bw_read_uint(reader);
		grant->grants[i].leased = read_u32_(reader);
		grant->grants[i].fleet_work_ms_per_s = read_u32_(reader);
	}
	bw_read_end(reader);
	grant->closed_count =
		read_count_(reader, CLOSED_VALUES, BW_QUOTA_CLOSED_MAX);
	for (i = 0; i < grant->closed_count; i++) {
		grant->closed[i].customer_hash = bw_read_uint(reader);
		grant->closed[i].open_percent = read_u32_(reader);
	}
	bw_read_end(reader);
}

static uint32_t read_u32_(struct bw_reader *reader)
{
	uint64_t value = bw_read_uint(reader);

	if (value > UINT32_MAX / 2)
		reader->failed = true;
	return reader->failed ? 0 : (uint32_t)value;
}

static void write_demand_(struct bw_writer *writer,
			  const struct bw_quota_demand *demand)
{
	bw_write_uint(writer, demand->quota.customer_hash);
	bw_write_uint(writer, (uint64_t)(1000.0 * demand->quota.rate_per_s));
	bw_write_uint(writer, (uint64_t)(1000.0 * demand->quota.burst));
	bw_write_uint(writer, demand->asked);
	bw_write_uint(writer, demand->admitted);
	bw_write_uint(writer, demand->unleased);
	bw_write_uint(writer, demand->fresh);
	bw_write_uint(writer, demand->wanted);
	bw_write_uint(writer, demand->leased);
	bw_write_uint(writer, demand->work_ms);
}

static void read_demand_(struct bw_reader *reader,
			 struct bw_quota_demand *demand)
{
	demand->quota.customer_hash = bw_read_uint(reader);
	demand->quota.rate_per_s = (double)bw_read_uint(reader) / 1000.0;
	demand->quota.burst = (double)bw_read_uint(reader) / 1000.0;
	demand->asked = read_u32_(reader);
	demand->admitted = read_u32_(reader);
	demand->unleased = read_u32_(reader);
	demand->fresh = read_u32_(reader);
	demand->wanted = read_u32_(reader);
	demand->leased = read_u32_(reader);
	demand->work_ms = read_u32_(reader);
}

static uint32_t read_count_(struct bw_reader *reader, uint32_t values,
			    uint32_t limit)
{
	uint32_t count = bw_read_array(reader);

	if (count % values || count / values > limit)
		reader->failed = true;
	return reader->failed ? 0 : count / values;
}
