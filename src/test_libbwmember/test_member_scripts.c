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

/** Refresh intervals of both hops (5 s, 15 s) and two report intervals. */
#define FRESH_ROW_MS 22000

/** Events kept for each pair of viewer and subject. */
#define SEEN_BYTES 512

/** A fleet under control of a script. */
struct scripted {
	struct fleet fleet;
	bool is_open;
	int confirming; /**< control host that confirms, or -1 */
	uint32_t lose_deltas; /**< deltas still to be dropped */
	uint32_t documents[16]; /**< DOCUMENT events by host */
	uint32_t conflicts[16]; /**< CONFLICT events by host */
	struct bw_packet kept; /**< copy of a packet for a later replay */
	uint32_t keep_from; /**< index + 1 of the sender to copy from */
	char seen[16][16][SEEN_BYTES];
};

static bool filter_(struct fleet *fleet, uint32_t from, uint32_t to,
		    const struct bw_packet *packet)
{
	struct scripted *scripted = fleet->context;

	(void)to;
	if (packet->channel == BW_CHANNEL_DISTRIBUTE &&
	    packet->data[2] == DELTA_TYPE && scripted->lose_deltas) {
		scripted->lose_deltas--;
		return false;
	}
	if (packet->channel == BW_CHANNEL_MEMBER &&
	    scripted->keep_from == from + 1) {
		scripted->keep_from = 0;
		scripted->kept = *packet;
		scripted->kept.data = malloc(packet->size_bytes);
		assert_non_null(scripted->kept.data);
		memcpy(scripted->kept.data, packet->data, packet->size_bytes);
		bw_name_set(scripted->kept.peer, fleet->hosts[from].name);
	}
	return true;
}

static void after_event_(struct fleet *fleet, uint32_t index)
{
	struct scripted *scripted = fleet->context;
	struct fleet_host *host = &fleet->hosts[index];
	struct bw_distribute_event document;
	struct bw_member_event event;
	uint32_t about;
	char *seen;

	while (bw_member_next_event(&host->member, &event)) {
		about = fleet_find(fleet, event.record.host.name);
		seen = scripted->seen[index][about];
		if (event.kind == BW_MEMBER_EVENT_SUPERSEDED)
			seen = scripted->seen[index][index];
		if (strlen(seen) + 16 < SEEN_BYTES) {
			strcat(seen, " ");
			strcat(seen, bw_member_event_string[event.kind]);
		}
	}
	while (bw_distribute_next_event(&host->distribute, &document)) {
		if (document.kind == BW_DISTRIBUTE_EVENT_CONFLICT)
			scripted->conflicts[index]++;
		else
			scripted->documents[index]++;
	}
	if (scripted->confirming == (int)index)
		bw_distribute_confirm(&host->distribute, fleet->now);
}

static void close_(struct scripted *scripted)
{
	if (scripted->is_open)
		fleet_finish(&scripted->fleet);
	free(scripted->kept.data);
	memset(scripted, 0, sizeof(*scripted));
	scripted->confirming = -1;
}

/* fleet DOMAINS HOSTS: in each domain, the first host is a control host. */
static void open_(struct scripted *scripted, uint32_t domains, uint32_t hosts)
{
	uint32_t i;

	close_(scripted);
	scripted->is_open = true;
	fleet_init(&scripted->fleet, 1, domains);
	scripted->fleet.context = scripted;
	scripted->fleet.after_event = after_event_;
	scripted->fleet.filter = filter_;
	for (i = 0; i < hosts; i++)
		fleet_add(&scripted->fleet, i % domains, i < domains,
			  i < 2 * domains);
	for (i = 0; i < hosts; i++)
		fleet_start(&scripted->fleet, i, 0);
}

static uint32_t number_(char **argv, int argc, int index)
{
	return index < argc ? (uint32_t)strtoul(argv[index], NULL, 10) : 0;
}

static bool member_command_(struct scripted *scripted, int argc, char **argv,
			    struct bw_buffer *out)
{
	struct fleet *fleet = &scripted->fleet;
	uint32_t a = number_(argv, argc, 1);
	uint32_t b = number_(argv, argc, 2);
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
				 scripted->seen[a][b]);
		scripted->seen[a][b][0] = 0;
	} else if (!strcmp(argv[0], "keep")) {
		scripted->keep_from = a + 1;
	} else if (!strcmp(argv[0], "replay")) {
		struct bw_outbox answers;

		bw_outbox_init(&answers, 16);
		bw_buffer_printf(
			out, "%s\n",
			bw_status_string[bw_member_receive(
				&fleet->hosts[a].member, &scripted->kept,
				fleet->now, &answers)]);
		bw_outbox_finish(&answers);
	} else if (!strcmp(argv[0], "leave")) {
		bw_member_leave(&fleet->hosts[a].member, fleet->now);
	} else {
		return false;
	}
	return true;
}

static bool document_command_(struct scripted *scripted, int argc, char **argv,
			      struct bw_buffer *out)
{
	struct fleet *fleet = &scripted->fleet;
	uint32_t a = number_(argv, argc, 1);
	uint32_t b = number_(argv, argc, 2);
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
		scripted->confirming = strcmp(argv[1], "off") ? (int)a : -1;
	} else if (!strcmp(argv[0], "lose-deltas")) {
		scripted->lose_deltas = a;
	} else if (!strcmp(argv[0], "conflicts")) {
		bw_buffer_printf(out, "%u\n", scripted->conflicts[a]);
	} else if (!strcmp(argv[0], "documents")) {
		bw_buffer_printf(out, "%u\n", scripted->documents[a]);
		scripted->documents[a] = 0;
	} else if (!strcmp(argv[0], "aggregator")) {
		bw_buffer_printf(
			out, "%s\n",
			bw_aggregator_current(&fleet->hosts[a].aggregator));
	} else if (!strcmp(argv[0], "row")) {
		const struct bw_summary *row = bw_aggregator_find(
			&fleet->hosts[a].aggregator, argv[2]);

		if (!row)
			bw_buffer_printf(out, "none\n");
		else
			bw_buffer_printf(out, "%s living=%u entries=%u\n",
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
	struct scripted *scripted = context;
	struct fleet *fleet = &scripted->fleet;
	uint32_t a = number_(argv, argc, 1);
	uint32_t b = number_(argv, argc, 2);

	if (!strcmp(argv[0], "fleet"))
		open_(scripted, a, b);
	else if (!strcmp(argv[0], "run"))
		fleet_run(fleet, a);
	else if (!strcmp(argv[0], "crash"))
		fleet_crash(fleet, a);
	else if (!strcmp(argv[0], "start"))
		fleet_start(fleet, a,
			    argc > 2 ? strtoll(argv[2], NULL, 10) : 0);
	else if (!strcmp(argv[0], "cut"))
		fleet->hosts[a].cut_with = b + 1;
	else if (!strcmp(argv[0], "group"))
		fleet->hosts[a].group = b;
	else if (!strcmp(argv[0], "heal"))
		fleet_heal(fleet);
	else if (!member_command_(scripted, argc, argv, out) &&
		 !document_command_(scripted, argc, argv, out))
		fail_msg("unknown command %s", argv[0]);
}

static void run_script_(const char *path)
{
	struct scripted *scripted = calloc(1, sizeof(*scripted));

	assert_non_null(scripted);
	scripted->confirming = -1;
	script_check(path, command_, scripted);
	close_(scripted);
	free(scripted);
}

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
