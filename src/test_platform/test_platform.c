/*
 * Tests of the platform adapter. They guard against fields that are decoded to
 * wrong values or units, against accepting input with a missing field, a field
 * of the wrong type or an unknown value, and against activating an invalid
 * configuration.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <cmocka.h>

#include "bwbase/random.h"
#include "platform.h"

static const char good_announcement[] =
	"{\"address\":\"10.0.0.9:80\",\"born\":1700000000123,\"extra\":1,"
	"\"info\":{\"service\":\"s\",\"version\":\"v1\",\"zone\":\"z\","
	"\"slots\":5},\"status\":{\"state\":\"ready\",\"seq\":4,"
	"\"coldLeftS\":1.5}}";

static const char good_configuration[] =
	"{\"version\":7,\"routes\":{\"r\":{\"host\":\"h.example\","
	"\"pathPrefix\":\"/p/\",\"kind\":\"safe\",\"timeoutS\":1.2,"
	"\"sloS\":0.3,\"priority\":1,\"split\":[{\"service\":\"s\","
	"\"weight\":90},{\"service\":\"t\",\"weight\":10}],\"attempts\":2,"
	"\"sticky\":true,\"homeRegions\":[\"here\"]},\"q\":{\"host\":"
	"\"h.example\",\"pathPrefix\":\"/q/\",\"kind\":\"unsafe\","
	"\"timeoutS\":2,\"service\":\"t\",\"attempts\":1}},\"services\":"
	"{\"s\":{\"healthPath\":\"/health\",\"maxConns\":360,"
	"\"coldStartS\":3.0,\"coldPerS\":9.8},\"t\":{}},\"limits\":"
	"{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,"
	"\"headerTimeoutS\":3,\"idleTimeoutS\":15}}";

/** What a configuration with customers adds, and its keys, rank and quota. */
static const char customers_text[] =
	"{\"tenants\":{\"one\":{\"apiKeys\":[\"k-1\",\"k-2\"],"
	"\"priority\":2,\"ratePerS\":8.5,\"burst\":9,"
	"\"homeRegions\":[\"here\"]},\"two\":{\"apiKeys\":[]},"
	"\"three\":{\"apiKeys\":[\"k-3\"],\"ratePerS\":0}},";

/* Replaces the first occurrence of old; the caller frees the result. */
static char *replace_(const char *text, const char *old,
		      const char *replacement)
{
	const char *match = strstr(text, old);
	char *changed = malloc(strlen(text) + strlen(replacement) + 1);

	assert_non_null(match);
	sprintf(changed, "%.*s%s%s", (int)(match - text), text, replacement,
		match + strlen(old));
	return changed;
}

static void test_announcement(void **state)
{
	struct bw_server_record record;
	char error[PLATFORM_ERROR_BYTES];

	(void)state;
	assert_int_equal(platform_announcement_read("i-1", good_announcement,
						    strlen(good_announcement),
						    &record, error),
			 BW_OK);
	assert_string_equal(record.id, "i-1");
	assert_string_equal(record.address, "10.0.0.9:80");
	assert_string_equal(record.service, "s");
	assert_string_equal(record.domain, "z");
	assert_int_equal(record.slots, 5);
	assert_int_equal(record.state, BW_SERVER_READY);
	assert_int_equal(record.sequence, 4);
	assert_true(record.started_wall_ms == 1700000000123);
	assert_int_equal(record.cold_ms, 1500);
}

static void test_bad_announcements(void **state)
{
	static const char *const changes[][2] = {
		{ "\"10.0.0.9:80\"", "10" },
		{ "\"10.0.0.9:80\"", "\"\"" },
		{ "\"address\"", "\"other\"" },
		{ "1700000000123", "17.5" },
		{ "1700000000123", "\"17\"" },
		{ "\"service\":\"s\"", "\"service\":7" },
		{ "\"zone\":\"z\"", "\"zone\":null" },
		{ "\"slots\":5", "\"slots\":\"5\"" },
		{ "\"slots\":5", "\"slots\":0" },
		{ "\"slots\":5", "\"slots\":-5" },
		{ "\"ready\"", "\"sleeping\"" },
		{ "\"ready\"", "3" },
		{ "\"seq\":4", "\"seq\":-4" },
		{ "\"seq\":4", "\"seq\":4.5" },
		{ "\"seq\":4", "\"no\":4" },
		{ "1.5", "\"soon\"" },
		{ "1.5", "-1" },
		{ "}}", "}" },
		{ "{", "[" },
	};
	struct bw_server_record record;
	char error[PLATFORM_ERROR_BYTES];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
		char *text = replace_(good_announcement, changes[i][0],
				      changes[i][1]);

		error[0] = '\0';
		if (platform_announcement_read("i-1", text, strlen(text),
					       &record, error) != BW_EINVAL)
			fail_msg("invalid announcement accepted: %s", text);
		assert_true(error[0]);
		free(text);
	}
	assert_int_equal(platform_announcement_read("i-1", "\xff\x00\x01", 3,
						    &record, error),
			 BW_EINVAL);
}

static enum bw_status read_configuration_(const char *text, size_t size_bytes,
					  struct bw_routing *previous,
					  struct bw_routing **routing,
					  char *error)
{
	struct platform_routing_reader reader;
	enum bw_status status;

	status = platform_routing_begin(&reader, text, size_bytes, previous);
	*routing = NULL;
	if (status == BW_OK)
		status = BW_EAGAIN;
	while (status == BW_EAGAIN)
		status = platform_routing_step(&reader, routing, error);
	platform_routing_end(&reader);
	return status;
}

static void test_configuration(void **state)
{
	struct bw_routing *routing;
	const struct bw_route *route;
	char error[PLATFORM_ERROR_BYTES];

	(void)state;
	assert_int_equal(read_configuration_(good_configuration,
					     strlen(good_configuration), NULL,
					     &routing, error),
			 BW_OK);
	assert_int_equal(routing->version, 7);
	assert_int_equal(routing->limits.head_timeout_ms, 3000);
	route = bw_routing_find(routing, "h.example", 9, "/p/x", 4);
	assert_non_null(route);
	assert_true(route->idempotent);
	assert_true(route->keyed_placement);
	assert_int_equal(route->timeout_ms, 1200);
	assert_int_equal(route->target_latency_ms, 300);
	assert_int_equal(route->choice_count, 2);
	assert_int_equal(route->choices[0].weight, 90);
	assert_int_equal(route->home_count, 1);
	route = bw_routing_find(routing, "h.example", 9, "/q/", 3);
	assert_false(route->idempotent);
	/* The target latency defaults to the timeout. */
	assert_int_equal(route->target_latency_ms, 2000);
	assert_string_equal(route->choices[0].service, "t");
	bw_routing_unref(routing);
}

static void test_customers(void **state)
{
	char *text = replace_(good_configuration, "{", customers_text);
	char *open = replace_(text, "\"kind\":\"unsafe\"",
			      "\"kind\":\"download\",\"public\":true");
	const struct bw_customer *customer;
	struct bw_routing *routing;
	const struct bw_route *route;
	char error[PLATFORM_ERROR_BYTES];

	(void)state;
	assert_int_equal(read_configuration_(open, strlen(open), NULL, &routing,
					     error),
			 BW_OK);
	assert_int_equal(routing->customers->count, 3);
	customer = bw_customers_find_key(routing->customers, "k-2");
	assert_string_equal(customer->name, "one");
	assert_true(customer->has_rank);
	assert_int_equal(customer->rank, 2);
	assert_true(customer->rate_per_s == 8.5 && customer->burst == 9.0);
	assert_int_equal(customer->home_count, 1);
	assert_string_equal(customer->homes[0], "here");
	customer = bw_customers_find_key(routing->customers, "k-3");
	assert_false(customer->has_rank);
	assert_true(customer->rate_per_s == 0.0);
	route = bw_routing_find(routing, "h.example", 9, "/q/", 3);
	assert_true(route->is_public);
	assert_true(route->idempotent);
	bw_routing_unref(routing);
	free(open);
	free(text);
}

/* Guards against customers that are read to a wrong limit, and against keys in
 * messages. */
static void test_bad_customers(void **state)
{
	static const char *const changes[][3] = {
		{ "\"ratePerS\":8.5", "\"ratePerS\":-1",
		  "invalid ratePerS of tenant one" },
		{ "\"ratePerS\":8.5", "\"ratePerS\":\"8\"",
		  "invalid ratePerS of tenant one" },
		{ "\"burst\":9", "\"burst\":[]",
		  "invalid burst of tenant one" },
		{ "\"priority\":2", "\"priority\":2.5",
		  "invalid priority of tenant one" },
		{ "\"k-1\"", "7", "invalid apiKeys of tenant one" },
		{ "[\"k-3\"]", "\"k-3\"", "invalid apiKeys of tenant three" },
		{ "[\"here\"]", "[4]", "invalid homeRegions of tenant one" },
		{ "k-3", "k-2", "customers one and three share a key" },
		{ "\"two\":{", "\"one\":{",
		  "a tenant is there twice or can't be read" },
		{ "\"two\":{\"apiKeys\":[]}", "\"two\":3",
		  "a tenant can't be read" },
		{ "{\"one\"", "[\"one\"", "tenants is not an object" },
	};
	char *good = replace_(good_configuration, "{", customers_text);
	struct bw_routing *routing;
	char error[PLATFORM_ERROR_BYTES];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
		char *text = replace_(good, changes[i][0], changes[i][1]);

		assert_int_equal(read_configuration_(text, strlen(text), NULL,
						     &routing, error),
				 BW_EINVAL);
		assert_string_equal(error, changes[i][2]);
		free(text);
	}
	free(good);
}

/* Guards against unchanged routes that are decoded again, and against changed
 * ones that are not. */
static void test_configuration_in_steps(void **state)
{
	char *changed = replace_(good_configuration, "\"version\":7",
				 "\"version\" : 8");
	char *text = replace_(changed, "\"sloS\":0.3", "\"sloS\": 0.4");
	struct bw_routing *first;
	struct bw_routing *second;
	const struct bw_route *route;
	char error[PLATFORM_ERROR_BYTES];

	(void)state;
	assert_int_equal(read_configuration_(good_configuration,
					     strlen(good_configuration), NULL,
					     &first, error),
			 BW_OK);
	assert_int_equal(first->version, 7);
	assert_int_equal(first->limits.head_timeout_ms, 3000);
	assert_int_equal(first->service_count, 2);
	route = bw_routing_find(first, "h.example", 9, "/p/x", 4);
	assert_non_null(route);
	assert_string_equal(route->name, "r");
	assert_int_equal(route->target_latency_ms, 300);
	assert_int_equal(read_configuration_(text, strlen(text), first, &second,
					     error),
			 BW_OK);
	assert_int_equal(second->version, 8);
	assert_int_equal(second->route_count, 2);
	route = bw_routing_find(second, "h.example", 9, "/p/x", 4);
	assert_int_equal(route->target_latency_ms, 400);
	assert_ptr_not_equal(route,
			     bw_routing_find(first, "h.example", 9, "/p/x", 4));
	assert_ptr_equal(bw_routing_find(second, "h.example", 9, "/q/x", 4),
			 bw_routing_find(first, "h.example", 9, "/q/x", 4));
	bw_routing_unref(first);
	route = bw_routing_find(second, "h.example", 9, "/q/x", 4);
	assert_string_equal(route->choices[0].service, "t");
	bw_routing_unref(second);
	free(text);
	free(changed);
}

static void test_bad_configurations(void **state)
{
	static const char *const changes[][2] = {
		{ "\"version\":7", "\"version\":0" },
		{ "\"version\":7", "\"version\":\"7\"" },
		{ "\"version\":7,", "" },
		{ "\"h.example\"", "\"\"" },
		{ "\"/p/\"", "\"/q/\"" },
		{ "\"/p/\"", "\"/p\"" },
		{ "\"safe\"", "\"maybe\"" },
		{ "\"timeoutS\":1.2", "\"timeoutS\":-1" },
		{ "\"timeoutS\":1.2,", "" },
		{ "\"weight\":90", "\"weight\":-90" },
		{ "\"weight\":90},{\"service\":\"t\",\"weight\":10}",
		  "\"weight\":0}" },
		{ "\"service\":\"s\"", "\"service\":\"unknown\"" },
		{ "\"service\":\"t\",\"attempts\"", "\"attempts\"" },
		{ "\"attempts\":2", "\"attempts\":0" },
		{ "[\"here\"]", "[3]" },
		{ "\"services\"", "\"other\"" },
		{ "\"limits\"", "\"other\"" },
		{ "\"version\":7", "\"version\":7,\"version\":7" },
		{ "\"version\":7", "\"version\":7,\"other\":[1,]" },
		{ "\"version\":7", "\"version\":7,\"\xff\":1" },
		{ "\"routes\":{", "\"routes\":{},\"routes\":{" },
		{ "\"routes\":{", "\"routes\":{},\"\\u0072outes\":{" },
		{ "\"q\":{", "\"r\":{" },
		{ "\"q\":{", "\"\\u0072\":{" },
		{ "\"q\":{", "\"\\u00\":{" },
		{ "\"idleTimeoutS\":15}}", "\"idleTimeoutS\":15}} x" },
		{ "{\"version\"", "{,\"version\"" },
		{ "{\"version\"", "[\"version\"" },
		{ "}}", "" },
	};
	struct bw_routing *routing;
	char error[PLATFORM_ERROR_BYTES];
	size_t i;

	(void)state;
	for (i = 0; i < sizeof(changes) / sizeof(changes[0]); i++) {
		char *text = replace_(good_configuration, changes[i][0],
				      changes[i][1]);

		error[0] = '\0';
		if (read_configuration_(text, strlen(text), NULL, &routing,
					error) != BW_EINVAL)
			fail_msg("invalid configuration accepted: %s", text);
		assert_null(routing);
		assert_true(error[0]);
		free(text);
	}
}

/* Guards against accepting truncated input, and against a crash on corrupted
 * input, which may be rejected or decoded. */
static void test_corrupted_input(void **state)
{
	struct bw_routing *routing;
	struct bw_server_record record;
	struct bw_random random;
	char error[PLATFORM_ERROR_BYTES];
	char text[sizeof(good_configuration)];
	size_t size = strlen(good_configuration);
	size_t i;

	(void)state;
	for (i = 0; i < size; i++)
		assert_int_equal(read_configuration_(good_configuration, i,
						     NULL, &routing, error),
				 BW_EINVAL);
	bw_random_init(&random, 5);
	for (i = 0; i < 20000; i++) {
		memcpy(text, good_configuration, sizeof(text));
		text[bw_random_below(&random, size)] =
			(char)bw_random_below(&random, 256);
		text[bw_random_below(&random, size)] =
			(char)bw_random_below(&random, 256);
		if (read_configuration_(text, size, NULL, &routing, error) ==
		    BW_OK)
			bw_routing_unref(routing);
		memcpy(text, good_announcement, sizeof(good_announcement));
		text[bw_random_below(&random, sizeof(good_announcement))] =
			(char)bw_random_below(&random, 256);
		platform_announcement_read("i", text,
					   sizeof(good_announcement) - 1,
					   &record, error);
	}
}

static struct gate_call decode_call_(enum http_method method,
				     const char *target)
{
	struct bw_http_message message = { .method = (uint8_t)method };
	struct gate_call call;

	bw_buffer_append(&message.text, target, strlen(target));
	message.target.size_bytes = (uint32_t)strlen(target);
	platform_call_read(&message, &call);
	bw_buffer_finish(&message.text);
	return call;
}

static void test_calls(void **state)
{
	struct gate_call call;

	(void)state;
	assert_int_equal(decode_call_(HTTP_GET, "/-/ready").kind,
			 GATE_CALL_READY);
	assert_int_equal(decode_call_(HTTP_POST, "/-/ready").kind,
			 GATE_CALL_UNKNOWN);
	assert_int_equal(decode_call_(HTTP_POST, "/-/config/put").kind,
			 GATE_CALL_SUBMIT);
	assert_int_equal(decode_call_(HTTP_GET, "/-/config/get").kind,
			 GATE_CALL_READ);
	call = decode_call_(HTTP_GET, "/-/resolve?name=x&region=r&zone=z-a");
	assert_int_equal(call.kind, GATE_CALL_LOOK_UP);
	assert_string_equal(call.domain, "z-a");
	assert_string_equal(call.region, "r");
	call = decode_call_(HTTP_POST, "/-/instances/i-1/heartbeat");
	assert_int_equal(call.kind, GATE_CALL_ANNOUNCE);
	assert_string_equal(call.server, "i-1");
	call = decode_call_(HTTP_POST, "/-/instances/i-1/leave");
	assert_int_equal(call.kind, GATE_CALL_LEAVE);
	call = decode_call_(HTTP_POST, "/-/evacuations/z-a/start");
	assert_int_equal(call.kind, GATE_CALL_EVACUATE);
	assert_string_equal(call.domain, "z-a");
	assert_int_equal(decode_call_(HTTP_POST, "/-/evacuations/z-a/end").kind,
			 GATE_CALL_REINSTATE);
	assert_int_equal(decode_call_(HTTP_POST, "/-/instances/a/b/leave").kind,
			 GATE_CALL_UNKNOWN);
	assert_int_equal(decode_call_(HTTP_POST, "/-/instances//leave").kind,
			 GATE_CALL_UNKNOWN);
}

static void test_load_report(void **state)
{
	struct bw_load_report load;

	(void)state;
	assert_true(platform_load_read("3,0,8", &load));
	assert_int_equal(load.running, 3);
	assert_int_equal(load.slots, 8);
	assert_false(platform_load_read("3,0", &load));
	assert_false(platform_load_read("many", &load));
}

/* A speed that can't be read must not cost the other figures. */
static void test_load_report_with_speed(void **state)
{
	static const char *const unreadable[] = { "3,0,8,",	"3,0,8,fast",
						  "3,0,8,-5",	"3,0,8,nan",
						  "3,0,8,100%", "3,0,8,0",
						  "3,0,8,1e999" };
	struct bw_load_report load;
	size_t i;

	(void)state;
	assert_true(platform_load_read("3,0,8", &load));
	assert_int_equal(load.time_percent, 0);
	assert_false(load.time_unreadable);
	assert_true(platform_load_read("3,0,8,250", &load));
	assert_int_equal(load.time_percent, 250);
	assert_false(load.time_unreadable);
	assert_true(platform_load_read("3,0,8,1e30", &load));
	assert_in_range(load.time_percent, 2000, UINT32_MAX);
	for (i = 0; i < sizeof(unreadable) / sizeof(unreadable[0]); i++) {
		assert_true(platform_load_read(unreadable[i], &load));
		assert_int_equal(load.running, 3);
		assert_int_equal(load.slots, 8);
		assert_int_equal(load.time_percent, 0);
		assert_true(load.time_unreadable);
	}
}

static void write_settings_(const char *path, const char *text)
{
	FILE *file = fopen(path, "w");

	assert_non_null(file);
	fputs(text, file);
	fclose(file);
}

static void test_limit_of_server(void **state)
{
	double limit_per_s = 7.0;

	(void)state;
	assert_true(platform_limit_read("12.5", &limit_per_s));
	assert_true(limit_per_s > 12.4 && limit_per_s < 12.6);
	assert_true(platform_limit_read("0", &limit_per_s));
	assert_false(platform_limit_read("", &limit_per_s));
	assert_false(platform_limit_read("-1", &limit_per_s));
	assert_false(platform_limit_read("nan", &limit_per_s));
	assert_false(platform_limit_read("1e999", &limit_per_s));
	assert_false(platform_limit_read("5 a second", &limit_per_s));
}

static void test_settings(void **state)
{
	static const char text[] =
		"node: \"front-a-1\"\nip: \"10.0.0.1\"\nzone: \"a\"\n"
		"region: \"r\"\nzones:\n  a: \"r\"\n  b: \"r\"\n"
		"listen:\n  front: \"10.0.0.1:80\"\n"
		"  readinessAddr: \"10.0.0.1:81\"\n"
		"innerPorts:\n  - 7540\n  - 7555\n"
		"seeds:\n  - \"10.0.0.2:90\"\nbootstrap: true\n"
		"dataDir: null\nnew: {field: [1, 2]}\n"
		"limits:\n  maxFds: 4100\n  memoryMb: 160\n"
		"bounds:\n  graceS: 6\n  shiftMost: 0.15\n  drainS: 2.5\n";
	struct gate_settings settings;
	char path[] = "/tmp/test-platform-XXXXXX";
	char error[PLATFORM_ERROR_BYTES];
	char *changed;

	(void)state;
	close(mkstemp(path));
	write_settings_(path, text);
	assert_int_equal(platform_settings_load(path, &settings, error), BW_OK);
	assert_string_equal(settings.host, "front-a-1");
	assert_string_equal(settings.entry_address, "10.0.0.1:80");
	assert_string_equal(settings.control_address, "");
	assert_string_equal(settings.data_folder, "");
	assert_int_equal(settings.domain_count, 2);
	assert_int_equal(settings.internal_port, 7540);
	assert_int_equal(settings.seed_count, 1);
	assert_true(settings.first_start);
	assert_int_equal(settings.memory_max_mb, 160);
	assert_int_equal(settings.grace_ms, 6000);
	assert_int_equal(settings.drain_ms, 2500);
	/* A control host needs a data directory. */
	changed = replace_(text, "front: ", "control: ");
	write_settings_(path, changed);
	free(changed);
	assert_int_equal(platform_settings_load(path, &settings, error),
			 BW_EINVAL);
	assert_string_equal(error, "dataDir is missing");
	write_settings_(path, "node: [\n");
	assert_int_equal(platform_settings_load(path, &settings, error),
			 BW_EINVAL);
	unlink(path);
	assert_int_not_equal(platform_settings_load(path, &settings, error),
			     BW_OK);
}

int main(void)
{
	const struct CMUnitTest tests[] = {
		cmocka_unit_test(test_announcement),
		cmocka_unit_test(test_bad_announcements),
		cmocka_unit_test(test_configuration),
		cmocka_unit_test(test_configuration_in_steps),
		cmocka_unit_test(test_customers),
		cmocka_unit_test(test_bad_customers),
		cmocka_unit_test(test_bad_configurations),
		cmocka_unit_test(test_corrupted_input),
		cmocka_unit_test(test_calls),
		cmocka_unit_test(test_load_report),
		cmocka_unit_test(test_load_report_with_speed),
		cmocka_unit_test(test_limit_of_server),
		cmocka_unit_test(test_settings),
	};

	return cmocka_run_group_tests(tests, NULL, NULL);
}
