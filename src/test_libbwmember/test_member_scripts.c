#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "fleet.h"
#include "script.h"

#define SCRIPTS "src/test_libbwmember/scripts/"

/** Type of a delta packet of the distribute channel. */
#define DELTA_TYPE 4

/** Refresh intervals of both hops (5 s, 15 s) plus two report intervals. */
#define FRESH_ROW_MS 22000

/** Size of the event log of each pair of viewer and subject. */
#define EVENT_LOG_BYTES 512

/** State of a script and its fleet. */
struct script_run {
	struct fleet fleet;
	bool has_fleet;
	int confirming_host; /**< index of a control host, or -1 */
	uint32_t deltas_to_drop; /**< remaining deltas to drop */
	uint32_t documents[16]; /**< DOCUMENT events by host */
	uint32_t conflicts[16]; /**< CONFLICT events by host */
	struct bw_packet captured; /**< copy for a later replay */
	uint32_t capture_from; /**< index + 1 of the sender; 0: none */
	char event_log[16][16][EVENT_LOG_BYTES];
};

static bool filter_(struct fleet *fleet, uint32_t from, uint32_t to,
		    const struct bw_packet *packet)
{
	struct script_run *script_run = fleet->context;

	(void)to;
	if (packet->channel == BW_CHANNEL_DISTRIBUTE &&
	    packet->data[2] == DELTA_TYPE && script_run->deltas_to_drop) {
		script_run->deltas_to_drop--;
		return false;
	}
	if (packet->channel == BW_CHANNEL_MEMBER &&
	    script_run->capture_from == from + 1) {
		script_run->capture_from = 0;
		script_run->captured = *packet;
		script_run->captured.data = malloc(packet->size_bytes);
		assert_non_null(script_run->captured.data);
		memcpy(script_run->captured.data, packet->data,
		       packet->size_bytes);
		bw_name_set(script_run->captured.peer, fleet->hosts[from].name);
	}
	return true;
}

static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct script_run *script_run = fleet->context;
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_distribute_event document;
	struct bw_member_event event;
	uint32_t subject;
	char *event_log;

	while (bw_member_next_event(&host->member, &event)) {
		subject = fleet_find(fleet, event.record.host.name);
		event_log = script_run->event_log[index][subject];
		if (event.kind == BW_MEMBER_EVENT_SUPERSEDED)
			event_log = script_run->event_log[index][index];
		if (strlen(event_log) + 16 < EVENT_LOG_BYTES) {
			strcat(event_log, " ");
			strcat(event_log, bw_member_event_string[event.kind]);
		}
	}
	while (bw_distribute_next_event(&host->distribute, &document)) {
		if (document.kind == BW_DISTRIBUTE_EVENT_CONFLICT)
			script_run->conflicts[index]++;
		else
			script_run->documents[index]++;
	}
	if (script_run->confirming_host == (int)index)
		bw_distribute_confirm(&host->distribute, fleet->now);
}

static void finish_fleet_(struct script_run *script_run)
{
	if (script_run->has_fleet)
		fleet_finish(&script_run->fleet);
	free(script_run->captured.data);
	memset(script_run, 0, sizeof(*script_run));
	script_run->confirming_host = -1;
}

/* fleet DOMAINS HOSTS: in each domain, the first host is a control host. */
static void start_fleet_(struct script_run *script_run, uint32_t domains,
			 uint32_t hosts)
{
	uint32_t i;

	finish_fleet_(script_run);
	script_run->has_fleet = true;
	fleet_init(&script_run->fleet, 1, domains);
	script_run->fleet.context = script_run;
	script_run->fleet.after_event = after_event_;
	script_run->fleet.filter = filter_;
	for (i = 0; i < hosts; i++)
		fleet_add(&script_run->fleet, i % domains, i < domains,
			  i < 2 * domains);
	for (i = 0; i < hosts; i++)
		fleet_start(&script_run->fleet, i, 0);
}

static uint32_t argument_(char **argv, int argc, int index)
{
	return index < argc ? (uint32_t)strtoul(argv[index], NULL, 10) : 0;
}

static bool member_command_(struct script_run *script_run, int argc,
			    char **argv, struct bw_buffer *out)
{
	struct fleet *fleet = &script_run->fleet;
	uint32_t a = argument_(argv, argc, 1);
	uint32_t b = argument_(argv, argc, 2);
	const struct bw_member_record *record;

	if (!strcmp(argv[0], "state")) {
		record = bw_member_find(&fleet->hosts[a].member,
					fleet->hosts[b].name);
		bw_buffer_printf(out, "%s\n",
				 record ? bw_member_state_string[record->state]
					: "unknown");
	} else if (!strcmp(argv[0], "current")) {
		record = bw_member_find(&fleet->hosts[a].member,
					fleet->hosts[b].name);
		bw_buffer_printf(
			out, "%s\n",
			record && record->host.incarnation ==
						fleet->hosts[b].incarnation
				? "yes"
				: "no");
	} else if (!strcmp(argv[0], "events")) {
		bw_buffer_printf(out, "%s->%s:%s\n", argv[1], argv[2],
				 script_run->event_log[a][b]);
		script_run->event_log[a][b][0] = 0;
	} else if (!strcmp(argv[0], "capture")) {
		script_run->capture_from = a + 1;
	} else if (!strcmp(argv[0], "replay")) {
		struct bw_outbox responses;

		bw_outbox_init(&responses, 16);
		bw_buffer_printf(
			out, "%s\n",
			bw_status_string[bw_member_receive(
				&fleet->hosts[a].member, &script_run->captured,
				fleet->now, &responses)]);
		bw_outbox_finish(&responses);
	} else if (!strcmp(argv[0], "leave")) {
		bw_member_leave(&fleet->hosts[a].member, fleet->now);
	} else {
		return false;
	}
	return true;
}

static bool document_command_(struct script_run *script_run, int argc,
			      char **argv, struct bw_buffer *out)
{
	struct fleet *fleet = &script_run->fleet;
	uint32_t a = argument_(argv, argc, 1);
	uint32_t b = argument_(argv, argc, 2);
	struct bw_distribute *distribute = &fleet->hosts[a].distribute;

	if (!strcmp(argv[0], "publish")) {
		bw_buffer_printf(
			out, "%s\n",
			bw_status_string[bw_distribute_publish(
				distribute, BW_DOCUMENT_SHEET, b, argv[3],
				strlen(argv[3]), fleet->now)]);
	} else if (!strcmp(argv[0], "number")) {
		bw_buffer_printf(out, "%llu\n",
				 (unsigned long long)bw_distribute_number(
					 distribute, BW_DOCUMENT_SHEET));
	} else if (!strcmp(argv[0], "stale")) {
		bw_buffer_printf(out, "%s\n",
				 bw_distribute_is_stale(distribute, fleet->now)
					 ? "yes"
					 : "no");
	} else if (!strcmp(argv[0], "confirm")) {
		script_run->confirming_host = strcmp(argv[1], "off") ? (int)a
								     : -1;
	} else if (!strcmp(argv[0], "drop-deltas")) {
		script_run->deltas_to_drop = a;
	} else if (!strcmp(argv[0], "conflicts")) {
		bw_buffer_printf(out, "%u\n", script_run->conflicts[a]);
	} else if (!strcmp(argv[0], "documents")) {
		bw_buffer_printf(out, "%u\n", script_run->documents[a]);
		script_run->documents[a] = 0;
	} else if (!strcmp(argv[0], "aggregator")) {
		bw_buffer_printf(
			out, "%s\n",
			bw_aggregator_current(&fleet->hosts[a].aggregator));
	} else if (!strcmp(argv[0], "summary")) {
		const struct bw_summary *row = bw_aggregator_find(
			&fleet->hosts[a].aggregator, argv[2]);

		if (!row)
			bw_buffer_printf(out, "none\n");
		else
			bw_buffer_printf(out, "%s up=%u hosts=%u\n",
					 row->aggregator, row->up_count,
					 row->host_count);
	} else if (!strcmp(argv[0], "fresh")) {
		const struct bw_summary *row = bw_aggregator_find(
			&fleet->hosts[a].aggregator, argv[2]);

		bw_buffer_printf(out, "%s\n",
				 row && bw_summary_age_ms(row, fleet->now) <
							 FRESH_ROW_MS
					 ? "yes"
					 : "no");
	} else {
		return false;
	}
	return true;
}

static void command_(void *context, int argc, char **argv,
		     struct bw_buffer *out)
{
	struct script_run *script_run = context;
	struct fleet *fleet = &script_run->fleet;
	uint32_t a = argument_(argv, argc, 1);
	uint32_t b = argument_(argv, argc, 2);

	if (!strcmp(argv[0], "fleet"))
		start_fleet_(script_run, a, b);
	else if (!strcmp(argv[0], "run"))
		fleet_run(fleet, a);
	else if (!strcmp(argv[0], "crash"))
		fleet_crash(fleet, a);
	else if (!strcmp(argv[0], "start"))
		fleet_start(fleet, a,
			    argc > 2 ? strtoll(argv[2], NULL, 10) : 0);
	else if (!strcmp(argv[0], "block"))
		fleet->hosts[a].blocked_peer = b + 1;
	else if (!strcmp(argv[0], "group"))
		fleet->hosts[a].group = b;
	else if (!strcmp(argv[0], "clear-faults"))
		fleet_clear_faults(fleet);
	else if (!member_command_(script_run, argc, argv, out) &&
		 !document_command_(script_run, argc, argv, out))
		fail_msg("unknown command %s", argv[0]);
}

static void run_script_(const char *path)
{
	struct script_run *script_run = calloc(1, sizeof(*script_run));

	assert_non_null(script_run);
	script_run->confirming_host = -1;
	script_check(path, command_, script_run);
	finish_fleet_(script_run);
	free(script_run);
}

/* Each script states at its head which failure it guards against. */
#define SCRIPT_TEST(name)                             \
	static void test_##name(void **state)         \
	{                                             \
		(void)state;                          \
		run_script_(SCRIPTS #name ".script"); \
	}

SCRIPT_TEST(suspicion)
SCRIPT_TEST(incarnation)
SCRIPT_TEST(partition)
SCRIPT_TEST(leave)
SCRIPT_TEST(aggregator)
SCRIPT_TEST(fallback)
SCRIPT_TEST(documents)
SCRIPT_TEST(stale)
SCRIPT_TEST(recovery)

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_suspicion),
		cmocka_unit_test(test_incarnation),
		cmocka_unit_test(test_partition),
		cmocka_unit_test(test_leave),
		cmocka_unit_test(test_aggregator),
		cmocka_unit_test(test_fallback),
		cmocka_unit_test(test_documents),
		cmocka_unit_test(test_stale),
		cmocka_unit_test(test_recovery),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
