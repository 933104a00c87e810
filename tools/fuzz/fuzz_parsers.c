/*
 * Fuzz target for all decoders of external input. The first byte selects the
 * decoder, the rest is its input.
 */
#include <stdlib.h>
#include <string.h>

#include "bwagree/replica.h"
#include "bwmember/distribute.h"
#include "bwsteer/backend.h"
#include "bwsteer/credit.h"
#include "bwsteer/keys.h"
#include "bwsteer/plan.h"
#include "bwsteer/poison.h"
#include "bwsteer/sheet.h"

#include "../../src/boragewingd/interface/report.h"
#include "fuzz_parsers.h"
#include "platform.h"

#define OUTBOX_LIMIT 256

/** Decoders, selected by the first byte modulo DECODER_COUNT. */
enum decoder {
	DECODER_SHEET,
	DECODER_MEMBER,
	DECODER_AGGREGATOR,
	DECODER_DISTRIBUTE,
	DECODER_REPLICA,
	DECODER_STATE,
	DECODER_REPORT,
	DECODER_PLAN,
	DECODER_KEYS,
	DECODER_BACKEND,
	DECODER_POISON,
	DECODER_CREDIT,
	DECODER_ANNOUNCEMENT,
	DECODER_CONFIGURATION,
	DECODER_HTTP,
	DECODER_COUNT
};

static const struct bw_time now_ = { 1000000 };

static void fuzz_sheet_(const uint8_t *data, size_t size_bytes);
static void fuzz_member_(const struct bw_packet *packet, enum decoder decoder,
			 struct bw_outbox *out);
static void fuzz_replica_(const struct bw_packet *packet,
			  struct bw_outbox *out);
static void fuzz_state_(const uint8_t *data, size_t size_bytes);
static void fuzz_report_(const uint8_t *data, size_t size_bytes);
static void fuzz_plan_(const uint8_t *data, size_t size_bytes);
static void fuzz_keys_(const struct bw_packet *packet, struct bw_outbox *out);
static void fuzz_backend_(const uint8_t *data, size_t size_bytes);
static void fuzz_poison_(const uint8_t *data, size_t size_bytes);
static void fuzz_credit_(const struct bw_packet *packet, struct bw_outbox *out);
static void fuzz_announcement_(const uint8_t *data, size_t size_bytes);
static void fuzz_configuration_(const uint8_t *data, size_t size_bytes);
static void fuzz_http_(const uint8_t *data, size_t size_bytes);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct bw_packet packet = { .incarnation = 7 };
	struct bw_outbox out;
	enum decoder decoder;

	if (!size)
		return 0;
	decoder = (enum decoder)(data[0] % DECODER_COUNT);
	data++;
	size--;
	bw_name_set(packet.peer, "b");
	packet.data = (uint8_t *)data;
	packet.size_bytes = (uint32_t)size;
	bw_outbox_init(&out, OUTBOX_LIMIT);
	switch (decoder) {
	case DECODER_SHEET:
		fuzz_sheet_(data, size);
		break;
	case DECODER_MEMBER:
	case DECODER_AGGREGATOR:
	case DECODER_DISTRIBUTE:
		fuzz_member_(&packet, decoder, &out);
		break;
	case DECODER_REPLICA:
		fuzz_replica_(&packet, &out);
		break;
	case DECODER_STATE:
		fuzz_state_(data, size);
		break;
	case DECODER_REPORT:
		fuzz_report_(data, size);
		break;
	case DECODER_PLAN:
		fuzz_plan_(data, size);
		break;
	case DECODER_KEYS:
		fuzz_keys_(&packet, &out);
		break;
	case DECODER_BACKEND:
		fuzz_backend_(data, size);
		break;
	case DECODER_POISON:
		fuzz_poison_(data, size);
		break;
	case DECODER_CREDIT:
		fuzz_credit_(&packet, &out);
		break;
	case DECODER_ANNOUNCEMENT:
		fuzz_announcement_(data, size);
		break;
	case DECODER_CONFIGURATION:
		fuzz_configuration_(data, size);
		break;
	case DECODER_HTTP:
		fuzz_http_(data, size);
		break;
	case DECODER_COUNT:
		break;
	}
	bw_outbox_finish(&out);
	return 0;
}

static void fuzz_sheet_(const uint8_t *data, size_t size_bytes)
{
	struct bw_sheet_errors errors;
	struct bw_sheet *sheet = NULL;

	bw_sheet_errors_init(&errors);
	bw_sheet_load(data, size_bytes, &sheet, &errors);
	bw_sheet_free(sheet);
	bw_sheet_errors_finish(&errors);
}

static void fuzz_member_(const struct bw_packet *packet, enum decoder decoder,
			 struct bw_outbox *out)
{
	struct bw_member_seed seed = { .name = "b",
				       .domain = "d",
				       .address = "127.0.0.1:2",
				       .is_control = true };
	struct bw_member_config config = {
		.self = { .name = "a",
			  .domain = "d",
			  .region = "r",
			  .address = "127.0.0.1:1",
			  .entry_address = "127.0.0.1",
			  .entry_port = 1,
			  .start_wall_ms = 1,
			  .incarnation = 1 },
		.seeds = &seed,
		.seed_count = 1,
		.random_seed = 1,
	};
	struct bw_aggregator_config aggregator_config = { .random_seed = 1,
							  .wall_ms = 1 };
	struct bw_distribute_config distribute_config = { .random_seed = 1 };
	struct bw_member member;
	struct bw_aggregator aggregator;
	struct bw_distribute distribute;

	if (bw_member_init(&member, &config, now_) != BW_OK)
		abort();
	aggregator_config.member = &member;
	if (bw_aggregator_init(&aggregator, &aggregator_config, now_) != BW_OK)
		abort();
	distribute_config.member = &member;
	distribute_config.aggregator = &aggregator;
	if (bw_distribute_init(&distribute, &distribute_config, now_) != BW_OK)
		abort();
	if (decoder == DECODER_MEMBER)
		bw_member_receive(&member, packet, now_, out);
	else if (decoder == DECODER_AGGREGATOR)
		bw_aggregator_receive(&aggregator, packet, now_, out);
	else
		bw_distribute_receive(&distribute, packet, now_, out);
	bw_distribute_finish(&distribute);
	bw_aggregator_finish(&aggregator);
	bw_member_finish(&member);
}

static void fuzz_replica_(const struct bw_packet *packet, struct bw_outbox *out)
{
	static const char hosts[2][BW_NAME_MAX] = { "a", "b" };
	struct bw_replica_config config = { .initial_hosts = hosts,
					    .initial_count = 2,
					    .seed = 1 };
	char error[BW_WAL_ERROR_BYTES];
	struct bw_yaml_error chart_error;
	struct bw_storage storage;
	struct bw_chart chart;
	struct bw_replica *replica = NULL;

	if (bw_replica_chart_load(&chart, BW_REPLICA_CHART, &chart_error) !=
	    BW_OK)
		abort();
	bw_storage_init_memory(&storage);
	bw_name_set(config.host, "a");
	config.chart = &chart;
	config.storage = &storage;
	if (bw_replica_new(&replica, &config, now_, error) != BW_OK)
		abort();
	bw_replica_receive(replica, packet, now_, out);
	bw_replica_free(replica);
	bw_storage_finish(&storage);
}

static void fuzz_state_(const uint8_t *data, size_t size_bytes)
{
	struct bw_outcome outcome;
	struct bw_state state;

	bw_state_init(&state, 8, 8);
	bw_state_apply(&state, 1, data, size_bytes, &outcome);
	bw_state_restore(&state, data, size_bytes);
	bw_state_finish(&state);
}

static void fuzz_report_(const uint8_t *data, size_t size_bytes)
{
	struct report_domain *domain = malloc(sizeof(*domain));
	struct report_host *host = malloc(sizeof(*host));

	if (domain && host) {
		report_domain_decode(data, size_bytes, domain);
		report_host_decode(data, size_bytes, host);
	}
	free(domain);
	free(host);
}

static void fuzz_plan_(const uint8_t *data, size_t size_bytes)
{
	struct bw_yaml_error error;
	struct bw_chart chart;
	struct bw_plan plan;

	if (bw_chart_load(&chart, "charts/shift.yaml", &bw_shift_chart_names,
			  &error) != BW_OK)
		abort();
	bw_plan_init(&plan, &chart);
	bw_plan_decode(&plan, data, size_bytes);
	bw_plan_finish(&plan);
}

static void fuzz_keys_(const struct bw_packet *packet, struct bw_outbox *out)
{
	char text[BW_KEYS_TEXT_MAX + 8];
	struct bw_keys_config config;
	struct bw_yaml_error error;
	struct bw_chart chart;
	struct bw_keys keys;
	struct bw_key key;
	size_t length = packet->size_bytes;

	if (bw_chart_load(&chart, "charts/request_key.yaml",
			  &bw_keys_chart_names, &error) != BW_OK)
		abort();
	bw_keys_config_default(&config);
	bw_name_set(config.host, "a");
	config.incarnation = 1;
	config.chart = &chart;
	config.wall_ms = 1;
	if (bw_keys_init(&keys, &config, now_) != BW_OK)
		abort();
	bw_keys_receive(&keys, packet, now_, out);
	if (length >= sizeof(text))
		length = sizeof(text) - 1;
	memcpy(text, packet->data, length);
	text[length] = '\0';
	bw_keys_parse(&keys, text, 1, &key);
	bw_keys_finish(&keys);
}

static void fuzz_backend_(const uint8_t *data, size_t size_bytes)
{
	struct bw_backend_config config;
	struct bw_backend_table table;
	struct bw_yaml_error error;
	struct bw_chart chart;

	if (bw_chart_load(&chart, "charts/backend.yaml",
			  &bw_backend_chart_names, &error) != BW_OK)
		abort();
	bw_backend_config_default(&config, &chart);
	config.servers_max = 16;
	config.services_max = 4;
	if (bw_backend_init(&table, &config) != BW_OK)
		abort();
	bw_backend_decode(&table, data, size_bytes, now_);
	bw_backend_tick(&table, now_);
	bw_backend_finish(&table);
}

static void fuzz_poison_(const uint8_t *data, size_t size_bytes)
{
	struct bw_poison_config config;
	struct bw_poison poison;

	bw_poison_config_default(&config, "a");
	if (bw_poison_init(&poison, &config) != BW_OK)
		abort();
	bw_poison_decode(&poison, data, size_bytes, now_);
	bw_poison_tick(&poison, now_);
	bw_poison_finish(&poison);
}

static void fuzz_credit_(const struct bw_packet *packet, struct bw_outbox *out)
{
	struct bw_credit_config config = {
		.self = "a", .domain = "d", .incarnation = 1, .host_count = 2
	};
	struct bw_credit_capacity capacity = { .service = "s", .slots = 9 };
	struct bw_credit credit;

	if (bw_credit_init(&credit, &config, now_) != BW_OK)
		abort();
	bw_credit_set_services(&credit, &capacity, 1);
	bw_credit_set_domain(&credit, "a", 2);
	bw_credit_receive(&credit, packet, now_, out);
	bw_credit_finish(&credit);
}

static void fuzz_announcement_(const uint8_t *data, size_t size_bytes)
{
	struct bw_server_record record;
	char error[PLATFORM_ERROR_BYTES];

	platform_announcement_read("i", data, size_bytes, &record, error);
}

static void fuzz_configuration_(const uint8_t *data, size_t size_bytes)
{
	struct platform_routing_reader reader;
	struct bw_routing *routing = NULL;
	char error[PLATFORM_ERROR_BYTES];
	enum bw_status status =
		platform_routing_begin(&reader, data, size_bytes, NULL);

	if (status == BW_OK)
		status = BW_EAGAIN;
	while (status == BW_EAGAIN)
		status = platform_routing_step(&reader, &routing, error);
	bw_routing_unref(routing);
	platform_routing_end(&reader);
}

/* The first byte selects request or response and the size of the chunks. */
static void fuzz_http_(const uint8_t *data, size_t size_bytes)
{
	const struct bw_http_limits limits = { .head_max_bytes = 4096,
					       .body_max_bytes = 4096 };
	struct bw_http_reader reader;
	struct gate_call call;
	size_t chunk_max_bytes;
	size_t used;

	if (!size_bytes)
		return;
	chunk_max_bytes = 1 + data[0] / 2;
	bw_http_reader_init(&reader, data[0] % 2 ? HTTP_REQUEST : HTTP_RESPONSE,
			    &limits);
	data++;
	size_bytes--;
	while (size_bytes) {
		size_t chunk_bytes = size_bytes < chunk_max_bytes
					     ? size_bytes
					     : chunk_max_bytes;
		enum bw_http_progress progress =
			bw_http_reader_feed(&reader, data, chunk_bytes, &used);

		if (progress == BW_HTTP_COMPLETE) {
			/* Anything else is no response. */
			if (reader.parser.type == HTTP_RESPONSE &&
			    (reader.message.status_code < 100 ||
			     reader.message.status_code > 599))
				abort();
			platform_call_read(&reader.message, &call);
			bw_http_reader_next(&reader);
		} else if (progress != BW_HTTP_INCOMPLETE) {
			break;
		}
		data += used;
		size_bytes -= used;
	}
	bw_http_reader_end(&reader);
	bw_http_reader_finish(&reader);
}
