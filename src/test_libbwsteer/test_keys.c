#include <malloc.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "bwsteer/keys.h"
#include "private/keys_store.h"
#include "script.h"

#define HOSTS_MAX 8
#define KEYS_MAX 16
#define CAPTURED_MAX 256
#define START_MS 5000
#define STEP_MS 10
#define WALL_MS INT64_C(1796000000000)
#define BENCH_RECORDS 20000

struct named_key {
	char name[BW_NAME_MAX];
	char text[BW_KEYS_TEXT_MAX];
	struct bw_key key;
	uint64_t run;
};

struct captured {
	struct bw_packet packet;
	char to[BW_NAME_MAX];
};

struct fixture {
	struct bw_chart chart;
	struct bw_keys hosts[HOSTS_MAX];
	uint32_t host_count;
	struct named_key keys[KEYS_MAX];
	uint32_t key_count;
	struct bw_time now;
	struct bw_outbox out;
	char isolated[BW_NAME_MAX]; /* host whose packets are lost */
	bool capturing;
	struct captured captured[CAPTURED_MAX];
	uint32_t captured_count;
};

static const char *option_(int argc, char **argv, const char *name,
			   const char *fallback)
{
	size_t length = strlen(name);
	int i;

	for (i = 0; i < argc; i++) {
		if (!strncmp(argv[i], name, length) && argv[i][length] == '=')
			return argv[i] + length + 1;
	}
	return fallback;
}

static struct bw_keys *find_host_(struct fixture *fixture, const char *name)
{
	uint32_t i;

	for (i = 0; i < fixture->host_count; i++) {
		if (!strcmp(fixture->hosts[i].config.host, name))
			return &fixture->hosts[i];
	}
	return NULL;
}

static struct bw_keys *get_host_(struct fixture *fixture, const char *name)
{
	struct bw_keys *keys = find_host_(fixture, name);

	if (!keys)
		fail_msg("unknown host %s", name);
	return keys;
}

static struct named_key *get_key_(struct fixture *fixture, const char *name)
{
	uint32_t i;

	for (i = 0; i < fixture->key_count; i++) {
		if (!strcmp(fixture->keys[i].name, name))
			return &fixture->keys[i];
	}
	assert_true(fixture->key_count < KEYS_MAX);
	assert_true(bw_name_set(fixture->keys[i].name, name));
	fixture->key_count++;
	return &fixture->keys[i];
}

static void start_host_(struct fixture *fixture, int argc, char **argv)
{
	struct bw_keys *keys = find_host_(fixture, argv[1]);
	struct bw_keys_config config;

	if (keys)
		bw_keys_finish(keys);
	else
		keys = &fixture->hosts[fixture->host_count++];
	assert_true(fixture->host_count <= HOSTS_MAX);
	bw_keys_config_default(&config);
	bw_name_set(config.host, argv[1]);
	config.incarnation = strtoull(argv[2], NULL, 10);
	config.chart = &fixture->chart;
	config.wall_ms = WALL_MS + fixture->now.ms +
			 atoll(option_(argc, argv, "skew", "0"));
	config.records_max =
		(uint32_t)atol(option_(argc, argv, "records", "100"));
	config.responses_max_bytes =
		(uint64_t)atoll(option_(argc, argv, "bytes", "1000000"));
	config.backup_records_max =
		(uint32_t)atol(option_(argc, argv, "backup_records", "100"));
	config.horizon_ms = 20 * 60 * 1000;
	assert_int_equal(bw_keys_init(keys, &config, fixture->now), BW_OK);
}

static void receive_(struct fixture *fixture, const char *to,
		     const struct bw_packet *packet)
{
	struct bw_keys *keys = find_host_(fixture, to);

	if (keys && strcmp(to, fixture->isolated) &&
	    strcmp(packet->peer, fixture->isolated))
		bw_keys_receive(keys, packet, fixture->now, &fixture->out);
}

static void capture_(struct fixture *fixture, const char *to,
		     const struct bw_packet *packet)
{
	struct captured *captured = &fixture->captured[fixture->captured_count];

	if (!fixture->capturing || fixture->captured_count == CAPTURED_MAX)
		return;
	captured->packet = *packet;
	captured->packet.data = malloc(packet->size_bytes);
	memcpy(captured->packet.data, packet->data, packet->size_bytes);
	bw_name_set(captured->to, to);
	fixture->captured_count++;
}

/* Delivers the packets of the host and then those that the receivers send. */
static void deliver_(struct fixture *fixture, const struct bw_keys *from)
{
	struct bw_outbox sent = fixture->out;
	struct bw_packet packet;
	uint32_t i;

	bw_outbox_init(&fixture->out, 1000);
	for (i = 0; i < sent.count; i++) {
		packet = sent.packets[i];
		bw_name_set(packet.peer, from->config.host);
		packet.incarnation = from->config.incarnation;
		capture_(fixture, sent.packets[i].peer, &packet);
		receive_(fixture, sent.packets[i].peer, &packet);
		if (find_host_(fixture, sent.packets[i].peer))
			deliver_(fixture,
				 get_host_(fixture, sent.packets[i].peer));
	}
	bw_outbox_finish(&sent);
}

static void print_events_(struct fixture *fixture, struct bw_buffer *out)
{
	struct bw_keys_event event;
	const char *name;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < fixture->host_count; i++) {
		while (bw_keys_next_event(&fixture->hosts[i], &event)) {
			name = event.key.owner;
			for (j = 0; j < fixture->key_count; j++) {
				if (event.run &&
				    !memcmp(fixture->keys[j].key.id,
					    event.key.id, BW_KEYS_ID_BYTES))
					name = fixture->keys[j].name;
			}
			bw_buffer_printf(
				out, "%s: %s %s%s%s%s\n",
				fixture->hosts[i].config.host,
				bw_keys_event_string[event.kind], name,
				event.kind == BW_KEYS_EVENT_ENDED ? " " : "",
				event.kind == BW_KEYS_EVENT_ENDED
					? bw_keys_outcome_string[event.outcome]
					: "",
				event.successor);
		}
	}
}

static void advance_(struct fixture *fixture, int64_t ms, struct bw_buffer *out)
{
	int64_t end_ms = fixture->now.ms + ms;
	uint32_t i;

	while (fixture->now.ms < end_ms) {
		fixture->now.ms += STEP_MS;
		if (fixture->now.ms % 50)
			continue;
		for (i = 0; i < fixture->host_count; i++) {
			bw_keys_tick(&fixture->hosts[i], fixture->now,
				     &fixture->out);
			deliver_(fixture, &fixture->hosts[i]);
		}
	}
	print_events_(fixture, out);
}

static void mint_key_(struct fixture *fixture, char **argv)
{
	struct named_key *key = get_key_(fixture, argv[1]);
	struct bw_keys *keys = get_host_(fixture, argv[2]);

	assert_int_equal(
		bw_keys_mint(keys, argv[3],
			     get_host_(fixture, argv[3])->config.incarnation,
			     bw_keys_wall_ms(keys, fixture->now), key->text),
		BW_OK);
	assert_int_equal(bw_keys_parse(keys, key->text, 0, &key->key), BW_OK);
}

static void bind_key_(struct fixture *fixture, char **argv)
{
	struct named_key *key = get_key_(fixture, argv[1]);
	struct bw_keys *keys = get_host_(fixture, argv[2]);
	uint8_t id[BW_KEYS_ID_BYTES];

	assert_int_equal(bw_keys_hash_caller_key(keys, "closurehub", argv[3],
						 id),
			 BW_OK);
	assert_int_equal(
		bw_keys_from_binding(id, argv[2], keys->config.incarnation,
				     bw_keys_wall_ms(keys, fixture->now) +
					     atoll(argv[4]) * 1000,
				     &key->key),
		BW_OK);
}

static void print_decision_(const struct bw_keys_decision *decision,
			    struct bw_buffer *out)
{
	bw_buffer_printf(out, "%s", bw_keys_decision_string[decision->kind]);
	if (decision->reason)
		bw_buffer_printf(out, " %s",
				 bw_keys_reason_string[decision->reason]);
	if (decision->ready)
		bw_buffer_printf(out, " ready");
	if (decision->not_run)
		bw_buffer_printf(out, " not_run");
	if (decision->host[0])
		bw_buffer_printf(out, " to=%s/%u", decision->host,
				 (uint32_t)decision->incarnation);
	if (decision->kind == BW_KEYS_REPLAY)
		bw_buffer_printf(out, " %u %.*s", decision->response.status,
				 (int)decision->response.body_bytes,
				 (const char *)decision->response.body);
	bw_buffer_printf(out, "\n");
}

static void begin_or_lookup_(struct fixture *fixture, int argc, char **argv,
			     struct bw_buffer *out)
{
	struct bw_keys *keys = get_host_(fixture, argv[1]);
	struct named_key *key = get_key_(fixture, argv[2]);
	struct bw_keys_decision decision;
	uint8_t digest[BW_KEYS_ID_BYTES];

	bw_keys_request_digest("s", "POST", argc > 3 ? argv[3] : "/", NULL, 0,
			       digest);
	if (!strcmp(argv[0], "lookup"))
		bw_keys_lookup_backup(keys, &key->key, digest, fixture->now,
				      &decision);
	else
		bw_keys_begin(keys, &key->key, digest, fixture->now,
			      &fixture->out, &decision);
	if (decision.kind == BW_KEYS_RUN)
		key->run = decision.run;
	print_decision_(&decision, out);
	deliver_(fixture, keys);
}

static void finish_run_(struct fixture *fixture, int argc, char **argv,
			struct bw_buffer *out)
{
	struct bw_keys *keys = get_host_(fixture, argv[1]);
	struct named_key *key = get_key_(fixture, argv[2]);
	struct bw_keys_response response = { .status = 201 };
	uint8_t *large = calloc(1, BW_KEYS_BODY_MAX_BYTES + 1);
	enum bw_keys_outcome outcome = BW_KEYS_OUTCOME_DONE;
	enum bw_status status;

	while (strcmp(bw_keys_outcome_string[outcome], argv[3]))
		assert_true(++outcome < BW_KEYS_OUTCOME_COUNT);
	response.body = large;
	response.body_bytes = BW_KEYS_BODY_MAX_BYTES + 1;
	if (argc > 4 && strcmp(argv[4], "large")) {
		response.body = (const uint8_t *)argv[4];
		response.body_bytes = (uint32_t)strlen(argv[4]);
	}
	status = bw_keys_finish_run(keys, &key->key, key->run, outcome,
				    argc > 4 ? &response : NULL, fixture->now,
				    &fixture->out);
	if (status != BW_OK)
		bw_buffer_printf(out, "%s\n", bw_status_string[status]);
	deliver_(fixture, keys);
	free(large);
}

/* Replaces one character of the text, or truncates it, then parses it. */
static void parse_key_(struct fixture *fixture, int argc, char **argv,
		       struct bw_buffer *out)
{
	struct bw_keys *keys = get_host_(fixture, argv[1]);
	struct named_key *key = get_key_(fixture, argv[2]);
	char text[BW_KEYS_TEXT_MAX + 1];
	struct bw_key parsed;
	size_t position;

	memcpy(text, key->text, sizeof(key->text));
	position = argc > 3 ? (size_t)atol(argv[3]) : strlen(text);
	assert_true(position <= strlen(text));
	if (argc > 4)
		text[position] = argv[4][0];
	else
		text[position] = 0;
	bw_buffer_printf(
		out, "%s\n",
		bw_status_string[bw_keys_parse(
			keys, text, bw_keys_wall_ms(keys, fixture->now),
			&parsed)]);
}

static void set_peer_(struct fixture *fixture, char **argv)
{
	struct bw_keys *keys = get_host_(fixture, argv[1]);
	struct bw_keys *peer = find_host_(fixture, argv[2]);
	const char *name = peer ? argv[2] : "";
	uint64_t incarnation = peer ? peer->config.incarnation : 0;

	if (!strcmp(argv[0], "seal"))
		assert_int_equal(bw_keys_seal(keys, name, incarnation), BW_OK);
	else
		assert_int_equal(bw_keys_set_backup(keys, name, incarnation,
						    fixture->now),
				 BW_OK);
}

static void resend_captured_(struct fixture *fixture)
{
	uint32_t i;

	fixture->capturing = false;
	for (i = 0; i < fixture->captured_count; i++) {
		receive_(fixture, fixture->captured[i].to,
			 &fixture->captured[i].packet);
		free(fixture->captured[i].packet.data);
		deliver_(fixture, get_host_(fixture, fixture->captured[i].to));
	}
	fixture->captured_count = 0;
}

static void dump_(struct fixture *fixture, char **argv, struct bw_buffer *out)
{
	json_t *dump = json_object();
	char *text;

	assert_int_equal(bw_keys_dump(get_host_(fixture, argv[1]), dump),
			 BW_OK);
	text = json_dumps(json_object_get(dump, argv[2]),
			  JSON_COMPACT | JSON_SORT_KEYS | JSON_ENCODE_ANY);
	bw_buffer_printf(out, "%s\n", text);
	free(text);
	json_decref(dump);
}

static void keys_command_(void *context, int argc, char **argv,
			  struct bw_buffer *out)
{
	struct fixture *fixture = context;
	const char *name = argv[0];

	if (!strcmp(name, "host"))
		start_host_(fixture, argc, argv);
	else if (!strcmp(name, "mint"))
		mint_key_(fixture, argv);
	else if (!strcmp(name, "bind"))
		bind_key_(fixture, argv);
	else if (!strcmp(name, "parse"))
		parse_key_(fixture, argc, argv, out);
	else if (!strcmp(name, "begin") || !strcmp(name, "lookup"))
		begin_or_lookup_(fixture, argc, argv, out);
	else if (!strcmp(name, "finish"))
		finish_run_(fixture, argc, argv, out);
	else if (!strcmp(name, "backup") || !strcmp(name, "seal"))
		set_peer_(fixture, argv);
	else if (!strcmp(name, "isolate"))
		bw_name_set(fixture->isolated, argc > 1 ? argv[1] : "");
	else if (!strcmp(name, "capture"))
		fixture->capturing = !fixture->capturing;
	else if (!strcmp(name, "dump"))
		dump_(fixture, argv, out);
	else if (!strcmp(name, "resend"))
		resend_captured_(fixture);
	else if (!strcmp(name, "wait"))
		advance_(fixture, atoll(argv[1]), out);
	else
		fail_msg("unknown command %s", name);
}

static void load_chart_(struct bw_chart *chart)
{
	struct bw_yaml_error error;

	assert_int_equal(bw_chart_load(chart, "charts/request_key.yaml",
				       &bw_keys_chart_names, &error),
			 BW_OK);
}

static void run_script_(const char *path)
{
	struct fixture *fixture = calloc(1, sizeof(*fixture));
	uint32_t i;

	assert_non_null(fixture);
	load_chart_(&fixture->chart);
	fixture->now.ms = START_MS;
	bw_outbox_init(&fixture->out, 1000);
	script_check(path, keys_command_, fixture);
	resend_captured_(fixture);
	for (i = 0; i < fixture->host_count; i++)
		bw_keys_finish(&fixture->hosts[i]);
	bw_outbox_finish(&fixture->out);
	free(fixture);
}

/*
 * Guards against all callers' keys getting the same id, which happens if the
 * key is cleared before its id is read: the daemon passes key.id as the id of
 * the same key.
 */
static void test_binding_in_place(void **state)
{
	struct bw_key key = { .id = { 1, 2, 3 } };
	const uint8_t id[BW_KEYS_ID_BYTES] = { 1, 2, 3 };

	(void)state;
	assert_int_equal(bw_keys_from_binding(key.id, "a", 1, 1000, &key),
			 BW_OK);
	assert_memory_equal(key.id, id, sizeof(id));
}

/* Guards against running a key twice at its owner, and against a resent request
 * that does not get the stored response. */
static void test_owner_script(void **state)
{
	(void)state;
	run_script_("src/test_libbwsteer/scripts/keys_owner.script");
}

/* Guards against a backup that allows a run or loses the first response. */
static void test_backup_script(void **state)
{
	(void)state;
	run_script_("src/test_libbwsteer/scripts/keys_backup.script");
}

/* Guards against a handover after which no host or two hosts run a key. */
static void test_handover_script(void **state)
{
	(void)state;
	run_script_("src/test_libbwsteer/scripts/keys_handover.script");
}

static void init_(struct bw_keys *keys, const struct bw_chart *chart,
		  const char *host, uint64_t incarnation)
{
	struct bw_keys_config config;
	struct bw_time now = { START_MS };

	bw_keys_config_default(&config);
	bw_name_set(config.host, host);
	config.incarnation = incarnation;
	config.chart = chart;
	config.wall_ms = WALL_MS;
	assert_int_equal(bw_keys_init(keys, &config, now), BW_OK);
}

/* Prints throughput and memory; guards only against records lost under load. */
static void test_throughput(void **state)
{
	struct bw_chart chart;
	struct bw_keys a;
	struct bw_keys b;
	struct bw_outbox out;
	struct bw_outbox replies;
	struct bw_time now = { START_MS };
	struct bw_keys_decision decision;
	struct bw_keys_response response = { .status = 200 };
	struct bw_key key;
	char text[BW_KEYS_TEXT_MAX];
	uint8_t digest[BW_KEYS_ID_BYTES] = { 1 };
	uint64_t start_us = bw_clock_us();
	uint64_t elapsed_us;
	size_t heap_bytes;
	uint32_t i;

	(void)state;
	load_chart_(&chart);
	init_(&a, &chart, "khomas-a-1", UINT64_C(0x9123456789abcdef));
	init_(&b, &chart, "khomas-b-1", UINT64_C(0x8123456789abcdef));
	a.config.backup_bytes_per_s = UINT32_MAX;
	bw_outbox_init(&out, 1000);
	bw_outbox_init(&replies, 1000);
	heap_bytes = mallinfo2().uordblks;
	bw_keys_set_backup(&a, "khomas-b-1", b.config.incarnation, now);
	for (i = 0; i < BENCH_RECORDS; i++) {
		now.ms = START_MS + i / 10;
		bw_keys_mint(&b, "khomas-a-1", a.config.incarnation, WALL_MS,
			     text);
		assert_int_equal(bw_keys_parse(&a, text, WALL_MS, &key), BW_OK);
		bw_keys_begin(&a, &key, digest, now, &out, &decision);
		assert_int_equal(decision.kind, BW_KEYS_RUN);
		bw_keys_finish_run(&a, &key, decision.run, BW_KEYS_OUTCOME_DONE,
				   &response, now, &out);
		while (out.count) {
			out.count--;
			bw_name_set(out.packets[out.count].peer, "khomas-a-1");
			out.packets[out.count].incarnation =
				a.config.incarnation;
			bw_keys_receive(&b, &out.packets[out.count], now,
					&replies);
			free(out.packets[out.count].data);
		}
		bw_outbox_clear(&replies);
	}
	elapsed_us = bw_clock_us() - start_us;
	assert_int_equal(a.owned_pool.records, BENCH_RECORDS);
	assert_int_equal(b.backup_pool.records, BENCH_RECORDS);
	heap_bytes = mallinfo2().uordblks - heap_bytes;
	printf("record: %zu bytes, %.0f with its empty response, hash table "
	       "entry and heap overhead\n",
	       sizeof(struct bw_keys_record),
	       (double)heap_bytes / (2 * BENCH_RECORDS));
	printf("%.0f requests/s at owner and backup together (mint, parse, "
	       "begin, copy, finish, copy)\n",
	       BENCH_RECORDS * 1e6 / (double)elapsed_us);
	printf("%.1f bytes a request to the backup, %.1f back (empty "
	       "response)\n",
	       (double)a.counts.bytes_sent / BENCH_RECORDS,
	       (double)b.counts.bytes_sent / BENCH_RECORDS);
	bw_outbox_finish(&out);
	bw_outbox_finish(&replies);
	bw_keys_finish(&a);
	bw_keys_finish(&b);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_binding_in_place),
		cmocka_unit_test(test_owner_script),
		cmocka_unit_test(test_backup_script),
		cmocka_unit_test(test_handover_script),
		cmocka_unit_test(test_throughput),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
