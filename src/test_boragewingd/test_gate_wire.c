/*
 * Messages between gateway hosts. Guards against fields that are read as
 * others, against messages of the earlier version that are no longer
 * understood, and against malformed messages that end a process or that are
 * read beyond their bounds.
 *
 * BW_INPUTS sets the number of mutated inputs.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "gate_wire.h"

#define DEFAULT_INPUTS 60000
#define MESSAGE_VERSION 2

/** Any message, as read. */
struct message {
	int type; /**< 0: not valid */
	struct gate_hello hello;
	struct gate_status status;
	struct gate_servers servers;
	struct gate_loads loads;
	struct gate_fleet fleet;
	struct gate_routing routing;
	struct gate_departures_request departures;
	struct gate_quota_demand quota_demand;
	struct gate_quota_grant quota_grant;
};

static struct message message_;

static void read_(const uint8_t *data, size_t size_bytes)
{
	struct bw_reader reader;

	bw_reader_init(&reader, data, size_bytes);
	message_.type = gate_message_type(&reader);
	switch (message_.type) {
	case GATE_HELLO:
		gate_hello_read(&reader, &message_.hello);
		break;
	case GATE_STATUS:
		gate_status_read(&reader, &message_.status);
		break;
	case GATE_SERVERS:
	case GATE_SERVERS_ACK:
	case GATE_RECORDS_REQUEST:
		gate_servers_read(&reader, &message_.servers);
		break;
	case GATE_LOADS:
		gate_loads_read(&reader, &message_.loads);
		break;
	case GATE_FLEET:
		gate_fleet_read(&reader, &message_.fleet);
		break;
	case GATE_DEPARTURES_REQUEST:
		gate_departures_request_read(&reader, &message_.departures);
		break;
	case GATE_QUOTA_DEMAND:
		gate_quota_demand_read(&reader, &message_.quota_demand);
		break;
	case GATE_QUOTA_GRANT:
		gate_quota_grant_read(&reader, &message_.quota_grant);
		break;
	case GATE_ROUTING:
	case GATE_ROUTING_REQUEST:
		gate_routing_read(&reader, &message_.routing);
		break;
	default:
		break;
	}
	if (bw_reader_status(&reader) != BW_OK)
		message_.type = 0;
	bw_reader_finish(&reader);
}

static void write_hello_(struct bw_buffer *out)
{
	static struct gate_hello hello;

	memset(&hello, 0, sizeof(hello));
	hello.state = GATE_HOST_READY;
	hello.detail = GATE_DETAIL_FULL;
	bw_name_set(hello.domain, "d1");
	bw_name_set(hello.region, "r1");
	hello.routing_version = 7;
	hello.demand_count = 1;
	hello.demands[0].service_hash = 11;
	hello.demands[0].millirequests_per_s = 1500;
	hello.load_count = 2;
	hello.loads[0].id_hash = 21;
	hello.loads[0].outstanding = 3;
	hello.loads[0].time_percent = 90;
	hello.loads[1].id_hash = 22;
	hello.loads[1].leaving = true;
	hello.loads[1].started_wall_ms = -5;
	hello.sent_ms = 99;
	hello.control_count = 27;
	hello.accepts_silence = true;
	hello.used.known = true;
	hello.used.count = 2;
	bw_name_set(hello.used.domains[0], "d1");
	bw_name_set(hello.used.domains[1], "d2");
	hello.departures = 64;
	gate_hello_write(out, &hello);
}

static void write_status_(struct bw_buffer *out)
{
	static struct gate_status status;

	memset(&status, 0, sizeof(status));
	bw_name_set(status.domain, "d1");
	status.current = true;
	status.routing_version = 8;
	status.evacuation_index = 5;
	status.evacuated_count = 1;
	bw_name_set(status.evacuated[0], "d3");
	status.control_count = 2;
	bw_name_set(status.controls[0], "10.0.0.1:1");
	bw_name_set(status.controls[1], "10.0.0.2:1");
	bw_name_set(status.control_domains[0], "d1");
	status.entry_count = 273;
	status.entry_index = 12;
	status.domain_entry_count = 30;
	status.hello_sent_ms = 99;
	status.sends_pieces = true;
	status.confirmed = true;
	status.confirmed_age_ms = 321;
	status.tells_silence = true;
	status.departures = 65;
	gate_status_write(out, &status);
}

static void write_servers_(struct bw_buffer *out)
{
	static struct gate_servers servers;

	memset(&servers, 0, sizeof(servers));
	servers.record_count = 1;
	g_strlcpy(servers.records[0].id, "i-1", BW_SERVER_ID_MAX);
	g_strlcpy(servers.records[0].address, "10.0.0.9:80",
		  BW_SERVER_TEXT_MAX);
	servers.records[0].slots = 9;
	servers.heartbeat_count = 2;
	servers.heartbeats[0].id_hash = 31;
	servers.heartbeats[0].sequence = 4;
	servers.heartbeats[0].state = BW_SERVER_DRAINING;
	servers.heartbeats[1].id_hash = 32;
	servers.heartbeats[1].silent = true;
	servers.departures_after = 63;
	servers.departures_upto = 66;
	gate_servers_write(out, GATE_SERVERS, &servers);
}

static void write_loads_(struct bw_buffer *out)
{
	static struct gate_loads loads;

	memset(&loads, 0, sizeof(loads));
	loads.count = 2;
	loads.loads[0].id_hash = 41;
	loads.loads[0].outstanding = 9;
	loads.loads[1].id_hash = 42;
	loads.loads[1].limit_millirequests_per_s = 2500;
	loads.loads[1].time_percent = 250;
	gate_loads_write(out, &loads);
}

static void write_fleet_(struct bw_buffer *out)
{
	static struct gate_fleet fleet;

	memset(&fleet, 0, sizeof(fleet));
	fleet.host_count = 1;
	bw_name_set(fleet.hosts[0].name, "10.0.0.7:80");
	bw_name_set(fleet.hosts[0].domain, "d1");
	bw_name_set(fleet.hosts[0].region, "r1");
	fleet.hosts[0].state = GATE_HOST_READY;
	fleet.demand_count = 1;
	bw_name_set(fleet.demands[0].domain, "d1");
	fleet.demands[0].millirequests_per_s = 7;
	gate_fleet_write(out, &fleet);
}

static void write_departures_request_(struct bw_buffer *out)
{
	struct gate_departures_request request = { .after = 67 };

	gate_departures_request_write(out, &request);
}

static void write_quota_demand_(struct bw_buffer *out)
{
	struct bw_quota_demand demands[2] = {
		{ .quota = { 31, 12.5, 20 },
		  .asked = 9,
		  .admitted = 8,
		  .unleased = 2,
		  .fresh = 3,
		  .wanted = 12,
		  .leased = 6,
		  .work_ms = 4321 },
		{ .quota = { 32, 1000000, 0 } },
	};
	struct bw_quota_report report = {
		.incarnation = 5,
		.version = 6,
		.term = 7,
		.sent_ms = 800,
		.applied_ms = 700,
		.demands = demands,
		.demand_count = 2,
	};

	bw_name_set(report.host, "10.0.0.9:1");
	gate_quota_demand_write(out, &report);
}

static void write_quota_grant_(struct bw_buffer *out)
{
	static struct gate_quota_grant grant;

	memset(&grant, 0, sizeof(grant));
	bw_name_set(grant.host, "10.0.0.9:1");
	grant.incarnation = 5;
	grant.term = 7;
	grant.sent_ms = 800;
	grant.grant_count = 1;
	grant.grants[0].customer_hash = 31;
	grant.grants[0].leased = 12;
	grant.grants[0].fleet_work_ms_per_s = 99;
	grant.closed_count = 1;
	grant.closed[0].customer_hash = 32;
	grant.closed[0].open_percent = 40;
	gate_quota_grant_write(out, &grant);
}

static void (*const writers[])(struct bw_buffer *out) = {
	write_hello_,	     write_status_,	write_servers_,
	write_loads_,	     write_fleet_,	write_departures_request_,
	write_quota_demand_, write_quota_grant_
};

#define WRITER_COUNT (sizeof(writers) / sizeof(writers[0]))

static void write_and_read_(void (*write)(struct bw_buffer *out))
{
	struct bw_buffer buffer;

	bw_buffer_init(&buffer);
	write(&buffer);
	read_(buffer.data, buffer.size_bytes);
	bw_buffer_finish(&buffer);
}

static void test_quotas_are_read_as_written(void **state)
{
	const struct bw_quota_report *report = &message_.quota_demand.report;
	const struct gate_quota_grant *grant = &message_.quota_grant;

	(void)state;
	write_and_read_(write_quota_demand_);
	assert_int_equal(message_.type, GATE_QUOTA_DEMAND);
	assert_string_equal(report->host, "10.0.0.9:1");
	assert_int_equal(report->incarnation, 5);
	assert_int_equal(report->version, 6);
	assert_int_equal(report->term, 7);
	assert_int_equal(report->sent_ms, 800);
	assert_int_equal(report->applied_ms, 700);
	assert_int_equal(report->demand_count, 2);
	assert_int_equal(report->demands[0].quota.customer_hash, 31);
	assert_true(report->demands[0].quota.rate_per_s == 12.5);
	assert_true(report->demands[0].quota.burst == 20);
	assert_int_equal(report->demands[0].asked, 9);
	assert_int_equal(report->demands[0].admitted, 8);
	assert_int_equal(report->demands[0].unleased, 2);
	assert_int_equal(report->demands[0].fresh, 3);
	assert_int_equal(report->demands[0].wanted, 12);
	assert_int_equal(report->demands[0].leased, 6);
	assert_int_equal(report->demands[0].work_ms, 4321);
	assert_true(report->demands[1].quota.rate_per_s == 1000000);
	write_and_read_(write_quota_grant_);
	assert_int_equal(message_.type, GATE_QUOTA_GRANT);
	assert_string_equal(grant->host, "10.0.0.9:1");
	assert_int_equal(grant->incarnation, 5);
	assert_int_equal(grant->term, 7);
	assert_int_equal(grant->sent_ms, 800);
	assert_int_equal(grant->grant_count, 1);
	assert_int_equal(grant->grants[0].customer_hash, 31);
	assert_int_equal(grant->grants[0].leased, 12);
	assert_int_equal(grant->grants[0].fleet_work_ms_per_s, 99);
	assert_int_equal(grant->closed_count, 1);
	assert_int_equal(grant->closed[0].customer_hash, 32);
	assert_int_equal(grant->closed[0].open_percent, 40);
}

static void test_messages_are_read_as_written(void **state)
{
	(void)state;
	write_and_read_(write_hello_);
	assert_int_equal(message_.type, GATE_HELLO);
	assert_int_equal(message_.hello.loads[0].outstanding, 3);
	assert_false(message_.hello.loads[0].leaving);
	assert_int_equal(message_.hello.loads[0].time_percent, 90);
	assert_int_equal(message_.hello.loads[1].started_wall_ms, -5);
	assert_int_equal(message_.hello.control_count, 27);
	assert_true(message_.hello.accepts_silence);
	assert_true(message_.hello.used.known);
	assert_string_equal(message_.hello.used.domains[1], "d2");
	assert_int_equal(message_.hello.departures, 64);
	write_and_read_(write_status_);
	assert_int_equal(message_.type, GATE_STATUS);
	assert_string_equal(message_.status.evacuated[0], "d3");
	assert_string_equal(message_.status.controls[1], "10.0.0.2:1");
	assert_string_equal(message_.status.control_domains[0], "d1");
	assert_string_equal(message_.status.control_domains[1], "");
	assert_true(message_.status.confirms && message_.status.confirmed);
	assert_int_equal(message_.status.confirmed_age_ms, 321);
	assert_true(message_.status.tells_silence);
	assert_int_equal(message_.status.departures, 65);
	write_and_read_(write_servers_);
	assert_int_equal(message_.type, GATE_SERVERS);
	assert_int_equal(message_.servers.heartbeats[0].state,
			 BW_SERVER_DRAINING);
	assert_false(message_.servers.heartbeats[0].silent);
	assert_int_equal(message_.servers.heartbeats[1].state, BW_SERVER_READY);
	assert_true(message_.servers.heartbeats[1].silent);
	assert_int_equal(message_.servers.departures_after, 63);
	assert_int_equal(message_.servers.departures_upto, 66);
	write_and_read_(write_loads_);
	assert_int_equal(message_.type, GATE_LOADS);
	assert_int_equal(message_.loads.loads[1].limit_millirequests_per_s,
			 2500);
	assert_int_equal(message_.loads.loads[0].time_percent, 0);
	assert_int_equal(message_.loads.loads[1].time_percent, 250);
	write_and_read_(write_fleet_);
	assert_int_equal(message_.type, GATE_FLEET);
	assert_string_equal(message_.fleet.hosts[0].name, "10.0.0.7:80");
	assert_int_equal(message_.fleet.demands[0].millirequests_per_s, 7);
	write_and_read_(write_departures_request_);
	assert_int_equal(message_.type, GATE_DEPARTURES_REQUEST);
	assert_int_equal(message_.departures.after, 67);
}

/* Writes what a control host of 6dc9c60 sends. */
static void write_earlier_status_(struct bw_buffer *out)
{
	struct bw_writer writer;
	uint32_t i;

	bw_writer_init(&writer, out);
	bw_write_array(&writer, 16);
	bw_write_uint(&writer, MESSAGE_VERSION);
	bw_write_uint(&writer, GATE_STATUS);
	bw_write_str(&writer, "d1");
	bw_write_bool(&writer, true);
	bw_write_uint(&writer, 8);
	bw_write_uint(&writer, 0);
	bw_write_array(&writer, 0);
	bw_write_array(&writer, 1);
	bw_write_str(&writer, "10.0.0.1:1");
	for (i = 0; i < 3; i++)
		bw_write_uint(&writer, i);
	bw_write_array(&writer, 0);
	bw_write_uint(&writer, 99);
	bw_write_bool(&writer, true);
	bw_write_bool(&writer, false);
	bw_write_array(&writer, 0);
}

static void test_earlier_status_is_understood(void **state)
{
	(void)state;
	write_and_read_(write_earlier_status_);
	assert_int_equal(message_.type, GATE_STATUS);
	assert_int_equal(message_.status.routing_version, 8);
	assert_int_equal(message_.status.control_count, 1);
	assert_false(message_.status.confirms);
	assert_false(message_.status.confirmed);
	assert_false(message_.status.tells_silence);
	assert_int_equal(message_.status.departures, 0);
}

/* Writes the hello of an entry host of 6dc9c60. */
static void write_earlier_hello_(struct bw_buffer *out)
{
	struct bw_writer writer;
	uint32_t i;

	bw_writer_init(&writer, out);
	bw_write_array(&writer, 13);
	bw_write_uint(&writer, MESSAGE_VERSION);
	bw_write_uint(&writer, GATE_HELLO);
	bw_write_bool(&writer, false);
	bw_write_uint(&writer, GATE_HOST_READY);
	bw_write_uint(&writer, GATE_DETAIL_FULL);
	bw_write_str(&writer, "d1");
	bw_write_str(&writer, "r1");
	bw_write_uint(&writer, 7);
	bw_write_array(&writer, 0);
	bw_write_array(&writer, 0);
	bw_write_uint(&writer, 99);
	for (i = 0; i < 2; i++)
		bw_write_array(&writer, 0);
}

static void test_earlier_hello_is_understood(void **state)
{
	(void)state;
	write_and_read_(write_earlier_hello_);
	assert_int_equal(message_.type, GATE_HELLO);
	assert_int_equal(message_.hello.sent_ms, 99);
	assert_int_equal(message_.hello.control_count, 0);
	assert_false(message_.hello.accepts_silence);
	assert_false(message_.hello.used.known);
}

static void assert_bounds_(void)
{
	uint32_t i;

	if (message_.type == GATE_QUOTA_DEMAND) {
		assert_true(message_.quota_demand.report.demand_count <=
			    GATE_QUOTAS_MAX);
	} else if (message_.type == GATE_QUOTA_GRANT) {
		assert_true(message_.quota_grant.grant_count <=
			    GATE_QUOTAS_MAX);
		assert_true(message_.quota_grant.closed_count <=
			    BW_QUOTA_CLOSED_MAX);
	} else if (message_.type == GATE_HELLO) {
		assert_true(message_.hello.demand_count <= GATE_DEMANDS_MAX);
		assert_true(message_.hello.load_count <= GATE_LOADS_MAX);
		assert_true(message_.hello.used.count <= GATE_DOMAIN_LIST_MAX);
	} else if (message_.type == GATE_STATUS) {
		assert_true(message_.status.control_count <= GATE_CONTROLS_MAX);
		assert_true(message_.status.evacuated_count <=
			    BW_EVACUATIONS_MAX);
		assert_true(message_.status.demand_count <= GATE_DEMANDS_MAX);
	} else if (message_.type == GATE_SERVERS) {
		assert_true(message_.servers.record_count <= GATE_BATCH_MAX);
		assert_true(message_.servers.heartbeat_count <= GATE_BATCH_MAX);
		for (i = 0; i < message_.servers.heartbeat_count; i++)
			assert_true(message_.servers.heartbeats[i].state <
				    BW_SERVER_STATE_COUNT);
	} else if (message_.type == GATE_FLEET) {
		assert_true(message_.fleet.host_count <= GATE_FLEET_HOSTS_MAX);
		assert_true(message_.fleet.demand_count <= GATE_DEMANDS_MAX);
		if (message_.fleet.host_count)
			assert_true(message_.fleet.hosts[0].name[0]);
	}
}

/* Changes, cuts or repeats bytes of valid messages. */
static void test_mutated_messages(void **state)
{
	uint32_t inputs = getenv("BW_INPUTS")
				  ? (uint32_t)atoi(getenv("BW_INPUTS"))
				  : DEFAULT_INPUTS;
	struct bw_random random;
	struct bw_buffer buffer;
	uint32_t valid = 0;
	uint32_t i;

	(void)state;
	bw_random_init(&random, 1);
	bw_buffer_init(&buffer);
	for (i = 0; i < inputs; i++) {
		uint64_t changes = bw_random_below(&random, 6);

		bw_buffer_clear(&buffer);
		writers[i % WRITER_COUNT](&buffer);
		while (changes--)
			buffer.data[bw_random_below(&random,
						    buffer.size_bytes)] =
				(uint8_t)bw_random_next(&random);
		if (!bw_random_below(&random, 4))
			buffer.size_bytes = (size_t)bw_random_below(
				&random, buffer.size_bytes);
		read_(buffer.data, buffer.size_bytes);
		assert_bounds_();
		valid += message_.type != 0;
	}
	bw_buffer_finish(&buffer);
	/* Some changes leave a valid message, most do not. */
	assert_in_range(valid, inputs / 20, inputs - inputs / 20);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_messages_are_read_as_written),
		cmocka_unit_test(test_quotas_are_read_as_written),
		cmocka_unit_test(test_earlier_status_is_understood),
		cmocka_unit_test(test_earlier_hello_is_understood),
		cmocka_unit_test(test_mutated_messages),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
