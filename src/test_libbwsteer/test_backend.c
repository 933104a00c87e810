#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/backend.h"
#include "script.h"

#define HANDLES_MAX 64

static struct bw_chart chart_;

/** Two hosts that replicate entries to each other. */
struct context {
	struct bw_backend_table host[2];
	struct bw_random random;
	struct bw_time now;
	struct {
		char id[BW_NAME_MAX];
		uint64_t handle;
	} started[2][HANDLES_MAX];
	uint32_t started_count[2];
};

static void context_init_(struct context *context)
{
	struct bw_backend_config config;
	int i;

	memset(context, 0, sizeof(*context));
	bw_backend_config_default(&config, &chart_);
	config.servers_max = 8;
	config.services_max = 2;
	bw_random_init(&context->random, 1);
	context->now = (struct bw_time){ 1000000 };
	for (i = 0; i < 2; i++)
		assert_int_equal(bw_backend_init(&context->host[i], &config),
				 BW_OK);
}

static void context_finish_(struct context *context)
{
	bw_backend_finish(&context->host[0]);
	bw_backend_finish(&context->host[1]);
}

static void announce_(struct context *context, struct bw_backend_table *table,
		      int argc, char **argv, struct bw_buffer *out)
{
	struct bw_backend_announcement announcement = { .port = 8080,
							.connections = 360 };
	enum bw_status status;

	assert_true(argc >= 5);
	bw_name_set(announcement.id, argv[1]);
	announcement.incarnation = strtoull(argv[2], NULL, 10);
	bw_name_set(announcement.service, argv[3]);
	bw_name_set(announcement.failure_domain, "khomas-a");
	strcpy(announcement.address, "127.0.0.1");
	announcement.slots = (uint32_t)strtoul(argv[4], NULL, 10);
	status = bw_backend_announce(table, &announcement, context->now);
	bw_buffer_printf(out, "%s\n", bw_status_string[status]);
}

static void advance_(struct context *context, int64_t ms)
{
	int64_t end = context->now.ms + ms;

	while (context->now.ms < end) {
		context->now.ms += 50;
		bw_backend_tick(&context->host[0], context->now);
		bw_backend_tick(&context->host[1], context->now);
	}
}

/* Advances with a heartbeat each second from the servers given in pairs of id
 * and incarnation. */
static void send_heartbeats_(struct context *context,
			     struct bw_backend_table *table, int argc,
			     char **argv)
{
	int64_t end = context->now.ms + strtoll(argv[1], NULL, 10);
	int i;

	while (context->now.ms < end) {
		for (i = 2; i + 1 < argc; i += 2)
			bw_backend_heartbeat(table, argv[i],
					     strtoull(argv[i + 1], NULL, 10), 0,
					     0, context->now);
		advance_(context, 1000);
	}
}

static void start_(struct context *context, int host, const char *service,
		   struct bw_buffer *out)
{
	struct bw_backend_table *table = &context->host[host];
	uint32_t *count = &context->started_count[host];
	struct bw_backend_choice choice;
	enum bw_status status = bw_backend_pick(table, service, context->now,
						&context->random, NULL, 0,
						&choice);

	if (status == BW_OK)
		status = bw_backend_request_start(table, choice.handle,
						  context->now);
	if (status != BW_OK) {
		bw_buffer_printf(out, "%s\n", bw_status_string[status]);
		return;
	}
	assert_true(*count < HANDLES_MAX);
	memcpy(context->started[host][*count].id, choice.id, BW_NAME_MAX);
	context->started[host][(*count)++].handle = choice.handle;
	bw_buffer_printf(out, "%s%s\n", choice.id,
			 choice.probe ? " probe" : "");
}

/* Ends all requests of one server. */
static void end_(struct context *context, int host, char **argv,
		 struct bw_buffer *out)
{
	uint64_t latency_us = strtoull(argv[3], NULL, 10);
	uint32_t kept = 0;
	uint32_t i;
	int outcome = 0;
	enum bw_status status;

	while (outcome < BW_BACKEND_OUTCOME_COUNT &&
	       strcmp(bw_backend_outcome_string[outcome], argv[2]))
		outcome++;
	assert_true(outcome < BW_BACKEND_OUTCOME_COUNT);
	for (i = 0; i < context->started_count[host]; i++) {
		if (strcmp(context->started[host][i].id, argv[1])) {
			context->started[host][kept++] =
				context->started[host][i];
			continue;
		}
		status = bw_backend_request_end(
			&context->host[host], context->started[host][i].handle,
			(enum bw_backend_outcome)outcome, latency_us,
			context->now);
		if (status != BW_OK)
			bw_buffer_printf(out, "%s\n", bw_status_string[status]);
	}
	context->started_count[host] = kept;
}

static void state_(struct context *context, int host, const char *id,
		   struct bw_buffer *out)
{
	enum bw_backend_state state;
	uint64_t incarnation;

	if (bw_backend_find(&context->host[host], id, &state, &incarnation) !=
	    BW_OK)
		bw_buffer_printf(out, "unknown\n");
	else
		bw_buffer_printf(out, "%s %llu\n",
				 bw_backend_state_string[state],
				 (unsigned long long)incarnation);
}

static void summary_(struct context *context, int host, const char *service,
		     struct bw_buffer *out)
{
	struct bw_backend_summary summary;

	bw_backend_summarise(&context->host[host], service, context->now,
			     &summary);
	bw_buffer_printf(out,
			 "healthy %u warming %u usable %u draining %u "
			 "ejected %u in_use %u free %u\n",
			 summary.healthy_slots, summary.warming_slots,
			 summary.usable_slots, summary.draining_slots,
			 summary.ejected_slots, summary.in_use_slots,
			 summary.free_slots);
}

static void replicate_(struct context *context, int from)
{
	struct bw_buffer packet;
	uint32_t cursor = 0;

	bw_buffer_init(&packet);
	do {
		bw_buffer_clear(&packet);
		assert_int_equal(bw_backend_encode(&context->host[from],
						   context->now, &cursor, 1,
						   &packet),
				 BW_OK);
		assert_int_equal(
			bw_backend_decode(&context->host[!from], packet.data,
					  packet.size_bytes, context->now),
			BW_OK);
	} while (cursor);
	bw_buffer_finish(&packet);
}

static void command_(void *pointer, int argc, char **argv,
		     struct bw_buffer *out)
{
	struct context *context = pointer;
	int host = argv[0][0] == 'b';
	struct bw_backend_table *table = &context->host[host];
	enum bw_status status = BW_OK;

	if (!strcmp(argv[0], "advance")) {
		advance_(context, strtoll(argv[1], NULL, 10));
		return;
	}
	/* "a" and "b" name the host. */
	argc--;
	argv++;
	if (!strcmp(argv[0], "announce")) {
		announce_(context, table, argc, argv, out);
		return;
	}
	if (!strcmp(argv[0], "start")) {
		start_(context, host, argv[1], out);
	} else if (!strcmp(argv[0], "heartbeats")) {
		send_heartbeats_(context, table, argc, argv);
	} else if (!strcmp(argv[0], "end")) {
		end_(context, host, argv, out);
	} else if (!strcmp(argv[0], "state")) {
		state_(context, host, argv[1], out);
	} else if (!strcmp(argv[0], "summary")) {
		summary_(context, host, argv[1], out);
	} else if (!strcmp(argv[0], "replicate")) {
		replicate_(context, host);
	} else if (!strcmp(argv[0], "heartbeat")) {
		status = bw_backend_heartbeat(
			table, argv[1], strtoull(argv[2], NULL, 10),
			(uint32_t)strtoul(argv[3], NULL, 10), 0, context->now);
	} else if (!strcmp(argv[0], "drain")) {
		status = bw_backend_drain(table, argv[1],
					  strtoull(argv[2], NULL, 10),
					  context->now);
	} else if (!strcmp(argv[0], "leave")) {
		status = bw_backend_leave(table, argv[1],
					  strtoull(argv[2], NULL, 10),
					  context->now);
	} else if (!strcmp(argv[0], "sheet_drain")) {
		status = bw_backend_set_sheet_drain(table, argv[1],
						    !strcmp(argv[2], "start"),
						    context->now);
	} else {
		fail_msg("unknown command %s", argv[0]);
	}
	if (status != BW_OK)
		bw_buffer_printf(out, "%s\n", bw_status_string[status]);
}

static void run_script_(const char *name)
{
	struct context context;
	char path[128];

	snprintf(path, sizeof(path), "src/test_libbwsteer/scripts/%s", name);
	context_init_(&context);
	script_check(path, command_, &context);
	context_finish_(&context);
}

/* Guards against requests sent to servers that drain, have left or are lost. */
static void test_lifecycle(void **state)
{
	(void)state;
	run_script_("backend_lifecycle.script");
}

/* Guards against requests sent to failing servers, and against ejecting all
 * servers. */
static void test_ejection(void **state)
{
	(void)state;
	run_script_("backend_ejection.script");
}

/* Guards against hosts that disagree on a server after replication. */
static void test_replication(void **state)
{
	(void)state;
	run_script_("backend_replication.script");
}

/* Guards against a crash or growth of the table by malformed packets. */
static void test_decode_is_robust(void **state)
{
	static char *argv[] = { "announce", "one", "7", "certdesk", "3" };
	struct context context;
	struct bw_buffer packet;
	struct bw_buffer out;
	uint32_t cursor = 0;
	uint8_t saved;
	size_t i;

	(void)state;
	context_init_(&context);
	bw_buffer_init(&packet);
	bw_buffer_init(&out);
	announce_(&context, &context.host[0], 5, argv, &out);
	bw_backend_encode(&context.host[0], context.now, &cursor, 8, &packet);
	for (i = 0; i < packet.size_bytes; i++) {
		assert_int_not_equal(bw_backend_decode(&context.host[1],
						       packet.data, i,
						       context.now),
				     BW_OK);
	}
	for (i = 0; i < packet.size_bytes * 256; i++) {
		saved = packet.data[i / 256];
		packet.data[i / 256] = (uint8_t)i;
		bw_backend_decode(&context.host[1], packet.data,
				  packet.size_bytes, context.now);
		packet.data[i / 256] = saved;
		assert_true(context.host[1].servers_count <= 8);
	}
	bw_buffer_finish(&packet);
	bw_buffer_finish(&out);
	context_finish_(&context);
}

/* Guards against a selection that ignores the slots of servers. */
static void test_weights(void **state)
{
	static char *big[] = { "announce", "big", "7", "certdesk", "9" };
	static char *small[] = { "announce", "small", "8", "certdesk", "3" };
	struct context context;
	struct bw_buffer out;
	uint32_t count = 0;
	uint32_t i;

	(void)state;
	context_init_(&context);
	bw_buffer_init(&out);
	for (i = 0; i < 5; i++) { /* repetitions count as heartbeats */
		announce_(&context, &context.host[0], 5, big, &out);
		announce_(&context, &context.host[0], 5, small, &out);
		advance_(&context, 3000);
	}
	for (i = 0; i < 12; i++) {
		start_(&context, 0, "certdesk", &out);
		count += i < 6 && !strcmp(context.started[0][i].id, "big");
	}
	assert_int_equal(context.started_count[0], 12);
	assert_true(count >= 4);
	start_(&context, 0, "certdesk", &out);
	assert_int_equal(context.started_count[0], 12);
	bw_buffer_finish(&out);
	context_finish_(&context);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_lifecycle),
		cmocka_unit_test(test_ejection),
		cmocka_unit_test(test_replication),
		cmocka_unit_test(test_decode_is_robust),
		cmocka_unit_test(test_weights),
	};
	struct bw_yaml_error error;

	if (bw_chart_load(&chart_, "charts/backend.yaml",
			  &bw_backend_chart_names, &error) != BW_OK) {
		fprintf(stderr, "charts/backend.yaml:%u: %s\n", error.line,
			error.text);
		return EXIT_FAILURE;
	}
	return cmocka_run_group_tests(tests, NULL, NULL);
}
