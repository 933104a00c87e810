#include "bwsteer/credit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/credit_internal.h"

/* Clocks differ by up to 1 %; 2 % on either side covers rounding as well. */
#define DRIFT_PERCENT 2

#define NONCES 8

static enum bw_status send_request_(struct bw_credit *credit,
				    struct bw_time now, struct bw_outbox *out);
static void fill_request_(const struct bw_credit *credit,
			  struct bw_credit_request *request);
static enum bw_status encode_request_(const struct bw_credit_request *request,
				      struct bw_buffer *buffer);
static enum bw_status encode_grant_(const struct bw_credit_grant *grant,
				    struct bw_buffer *buffer);
static void read_request_(struct bw_reader *reader,
			  struct bw_credit_request *request);
static void read_grant_(struct bw_reader *reader,
			struct bw_credit_grant *grant);
static enum bw_status answer_(struct bw_credit *credit,
			      const struct bw_packet *packet,
			      struct bw_reader *reader, struct bw_time now,
			      struct bw_outbox *out);
static enum bw_status apply_grant_(struct bw_credit *credit, const char *from,
				   uint64_t incarnation,
				   const struct bw_credit_grant *grant,
				   struct bw_time now);
static void restrict_services_(struct bw_credit *credit);
static bool is_committed_(const struct bw_credit *credit, struct bw_time now);

int64_t bw_credit_longer(int64_t ms)
{
	return ms + ms * DRIFT_PERCENT / 100 + 1;
}

int64_t bw_credit_shorter(int64_t ms)
{
	return ms - ms * DRIFT_PERCENT / 100 - 1;
}

uint32_t bw_credit_fallback(const struct bw_credit *credit, uint32_t slots)
{
	uint32_t hosts = credit->config.host_count;

	return slots /
	       (credit->living_count > hosts ? credit->living_count : hosts);
}

struct bw_credit_service *bw_credit_find(const struct bw_credit *credit,
					 const char *service)
{
	uint32_t i;

	for (i = 0; i < credit->service_count; i++) {
		if (!strcmp(credit->services[i].name, service))
			return &credit->services[i];
	}
	return NULL;
}

enum bw_status bw_credit_init(struct bw_credit *credit,
			      const struct bw_credit_config *config,
			      struct bw_time now)
{
	memset(credit, 0, sizeof(*credit));
	if (!config->host_count || !config->incarnation ||
	    config->host_count > BW_CREDIT_HOSTS_MAX)
		return BW_EINVAL;
	credit->config = *config;
	credit->started = now;
	credit->next_request = now;
	credit->use_until = now;
	credit->commit_until = now;
	return BW_OK;
}

void bw_credit_finish(struct bw_credit *credit)
{
	uint32_t i;

	for (i = 0; i < credit->host_count; i++)
		free(credit->hosts[i].accounts);
	free(credit->hosts);
	free(credit->services);
	memset(credit, 0, sizeof(*credit));
}

void bw_credit_set_domain(struct bw_credit *credit, const char *aggregator,
			  uint32_t living_count)
{
	bw_name_set(credit->aggregator, aggregator);
	if (living_count > credit->living_count)
		credit->living_count = living_count;
}

enum bw_status bw_credit_set_services(struct bw_credit *credit,
				      const struct bw_credit_capacity *services,
				      uint32_t count)
{
	struct bw_credit_service *list;
	struct bw_credit_service *old;
	uint32_t i;

	if (count > BW_CREDIT_SERVICES_MAX)
		return BW_EINVAL;
	list = calloc(count + 1, sizeof(*list));
	if (!list)
		return BW_ENOMEM;
	for (i = 0; i < count; i++) {
		old = bw_credit_find(credit, services[i].service);
		/*
		 * An earlier lease may have granted a service that returns, so
		 * that it waits for a grant or the end of the commitment.
		 */
		if (old)
			list[i] = *old;
		else
			list[i].granted = true;
		bw_name_set(list[i].name, services[i].service);
		list[i].changed |= list[i].slots != services[i].slots;
		list[i].slots = services[i].slots;
		list[i].demand = services[i].demand;
	}
	free(credit->services);
	credit->services = list;
	credit->service_count = count;
	return BW_OK;
}

enum bw_status bw_credit_set_demand(struct bw_credit *credit,
				    const char *service, uint32_t demand)
{
	struct bw_credit_service *of = bw_credit_find(credit, service);

	if (!of)
		return BW_ENOTFOUND;
	of->demand = demand;
	return BW_OK;
}

uint32_t bw_credit_available(const struct bw_credit *credit,
			     const char *service, struct bw_time now)
{
	const struct bw_credit_service *of = bw_credit_find(credit, service);
	uint32_t fallback;

	if (!of || bw_time_diff_ms(now, credit->started) <
			   bw_credit_longer(BW_CREDIT_LEASE_MS))
		return 0;
	fallback = bw_credit_fallback(credit, of->slots);
	if (!of->granted || !is_committed_(credit, now))
		return fallback;
	if (!bw_time_reached(now, credit->use_until))
		return of->grant < of->slots ? of->grant : of->slots;
	return of->grant < fallback ? of->grant : fallback;
}

enum bw_status bw_credit_receive(struct bw_credit *credit,
				 const struct bw_packet *packet,
				 struct bw_time now, struct bw_outbox *out)
{
	struct bw_reader reader;
	struct bw_credit_grant grant;
	enum bw_status status;
	uint64_t version, type;

	status = bw_reader_init(&reader, packet->data, packet->size_bytes);
	bw_read_array(&reader);
	version = bw_read_uint(&reader);
	type = bw_read_uint(&reader);
	if (status != BW_OK || bw_reader_status(&reader) != BW_OK) {
		status = BW_EINVAL;
	} else if (version == BW_CREDIT_VERSION && type == BW_CREDIT_REQUEST) {
		status = answer_(credit, packet, &reader, now, out);
	} else if (version == BW_CREDIT_VERSION && type == BW_CREDIT_GRANT) {
		read_grant_(&reader, &grant);
		status = bw_reader_status(&reader);
		if (status == BW_OK)
			status = apply_grant_(credit, packet->peer,
					      packet->incarnation, &grant, now);
	} else {
		status = BW_EVERSION;
	}
	bw_reader_finish(&reader);
	if (status != BW_OK)
		credit->rejected_count++;
	return status;
}

enum bw_status bw_credit_tick(struct bw_credit *credit, struct bw_time now,
			      struct bw_outbox *out)
{
	bw_credit_expire(credit, now);
	if (!bw_time_reached(now, credit->next_request))
		return BW_OK;
	credit->next_request = bw_time_add(now, BW_CREDIT_RENEW_MS);
	if (!credit->aggregator[0])
		return BW_OK;
	return send_request_(credit, now, out);
}

enum bw_status bw_credit_dump(const struct bw_credit *credit, json_t *into)
{
	json_t *services = json_array();
	uint32_t i;

	for (i = 0; i < credit->service_count; i++) {
		const struct bw_credit_service *of = &credit->services[i];

		json_array_append_new(
			services,
			json_pack("{s:s, s:I, s:I, s:b, s:I}", "service",
				  of->name, "capacity_slots",
				  (json_int_t)of->slots, "demand_slots",
				  (json_int_t)of->demand, "granted",
				  of->granted, "grant_slots",
				  (json_int_t)of->grant));
	}
	if (json_object_set_new(into, "services", services) ||
	    json_object_set_new(into, "aggregator",
				json_string(credit->aggregator)) ||
	    json_object_set_new(into, "committed_to",
				json_string(credit->committed_to)) ||
	    json_object_set_new(into, "accounted_hosts",
				json_integer(credit->host_count)) ||
	    json_object_set_new(
		    into, "rejected_packets",
		    json_integer((json_int_t)credit->rejected_count)))
		return BW_ENOMEM;
	return BW_OK;
}

static enum bw_status send_request_(struct bw_credit *credit,
				    struct bw_time now, struct bw_outbox *out)
{
	struct bw_credit_request request;
	struct bw_credit_grant grant;
	struct bw_buffer buffer;
	enum bw_status status;

	credit->nonce++;
	credit->nonce_sent[credit->nonce % NONCES] = now;
	fill_request_(credit, &request);
	if (!strcmp(credit->aggregator, credit->config.self)) {
		status = bw_credit_answer(credit, credit->config.self,
					  credit->config.incarnation, &request,
					  now, &grant);
		if (status == BW_OK)
			status = apply_grant_(credit, credit->config.self,
					      credit->config.incarnation,
					      &grant, now);
		return status == BW_ENOMEM ? status : BW_OK;
	}
	bw_buffer_init(&buffer);
	status = encode_request_(&request, &buffer);
	if (status == BW_OK)
		status = bw_outbox_add(out, credit->aggregator,
				       BW_CHANNEL_CREDIT, buffer.data,
				       buffer.size_bytes);
	bw_buffer_finish(&buffer);
	return status;
}

static void fill_request_(const struct bw_credit *credit,
			  struct bw_credit_request *request)
{
	uint32_t i;

	request->nonce = credit->nonce;
	request->aggregator_incarnation = credit->committed_incarnation;
	request->applied_seq = credit->applied_seq;
	request->count = credit->service_count;
	for (i = 0; i < credit->service_count; i++) {
		const struct bw_credit_service *of = &credit->services[i];

		memcpy(request->wants[i].name, of->name, BW_NAME_MAX);
		request->wants[i].demand = of->demand;
		request->wants[i].fallback =
			bw_credit_fallback(credit, of->slots);
	}
}

static enum bw_status encode_request_(const struct bw_credit_request *request,
				      struct bw_buffer *buffer)
{
	struct bw_writer writer;
	uint32_t i;

	bw_writer_init(&writer, buffer);
	bw_write_array(&writer, 6);
	bw_write_uint(&writer, BW_CREDIT_VERSION);
	bw_write_uint(&writer, BW_CREDIT_REQUEST);
	bw_write_uint(&writer, request->nonce);
	bw_write_uint(&writer, request->aggregator_incarnation);
	bw_write_uint(&writer, request->applied_seq);
	bw_write_array(&writer, request->count);
	for (i = 0; i < request->count; i++) {
		bw_write_array(&writer, 3);
		bw_write_str(&writer, request->wants[i].name);
		bw_write_uint(&writer, request->wants[i].demand);
		bw_write_uint(&writer, request->wants[i].fallback);
	}
	return writer.status;
}

static void read_request_(struct bw_reader *reader,
			  struct bw_credit_request *request)
{
	uint32_t i;

	request->nonce = bw_read_uint(reader);
	request->aggregator_incarnation = bw_read_uint(reader);
	request->applied_seq = bw_read_uint(reader);
	request->count = bw_read_array(reader);
	if (request->count > BW_CREDIT_SERVICES_MAX)
		reader->failed = true;
	for (i = 0; i < request->count && !reader->failed; i++) {
		bw_read_array(reader);
		bw_read_name(reader, request->wants[i].name);
		request->wants[i].demand = (uint32_t)bw_read_uint(reader);
		request->wants[i].fallback = (uint32_t)bw_read_uint(reader);
		bw_read_end(reader);
	}
}

static enum bw_status encode_grant_(const struct bw_credit_grant *grant,
				    struct bw_buffer *buffer)
{
	struct bw_writer writer;
	uint32_t i;

	bw_writer_init(&writer, buffer);
	bw_write_array(&writer, 7);
	bw_write_uint(&writer, BW_CREDIT_VERSION);
	bw_write_uint(&writer, BW_CREDIT_GRANT);
	bw_write_uint(&writer, grant->nonce);
	bw_write_uint(&writer, grant->host_incarnation);
	bw_write_uint(&writer, grant->seq);
	bw_write_uint(&writer, grant->use_ms);
	bw_write_array(&writer, grant->count);
	for (i = 0; i < grant->count; i++) {
		bw_write_array(&writer, 2);
		bw_write_str(&writer, grant->slots[i].name);
		bw_write_uint(&writer, grant->slots[i].slots);
	}
	return writer.status;
}

static void read_grant_(struct bw_reader *reader, struct bw_credit_grant *grant)
{
	uint64_t use_ms;
	uint32_t i;

	grant->nonce = bw_read_uint(reader);
	grant->host_incarnation = bw_read_uint(reader);
	grant->seq = bw_read_uint(reader);
	use_ms = bw_read_uint(reader);
	grant->use_ms = use_ms < BW_CREDIT_LEASE_MS ? (uint32_t)use_ms
						    : BW_CREDIT_LEASE_MS;
	grant->count = bw_read_array(reader);
	if (grant->count > BW_CREDIT_SERVICES_MAX)
		reader->failed = true;
	for (i = 0; i < grant->count && !reader->failed; i++) {
		bw_read_array(reader);
		bw_read_name(reader, grant->slots[i].name);
		grant->slots[i].slots = (uint32_t)bw_read_uint(reader);
		bw_read_end(reader);
	}
}

static enum bw_status answer_(struct bw_credit *credit,
			      const struct bw_packet *packet,
			      struct bw_reader *reader, struct bw_time now,
			      struct bw_outbox *out)
{
	struct bw_credit_request request;
	struct bw_credit_grant grant;
	struct bw_buffer buffer;
	enum bw_status status;

	read_request_(reader, &request);
	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	/* Only a host that believes itself to be the aggregator grants. */
	if (strcmp(credit->aggregator, credit->config.self) != 0)
		return BW_ESTALE;
	status = bw_credit_answer(credit, packet->peer, packet->incarnation,
				  &request, now, &grant);
	if (status != BW_OK)
		return status;
	bw_buffer_init(&buffer);
	status = encode_grant_(&grant, &buffer);
	if (status == BW_OK)
		status = bw_outbox_add(out, packet->peer, BW_CHANNEL_CREDIT,
				       buffer.data, buffer.size_bytes);
	bw_buffer_finish(&buffer);
	return status;
}

/*
 * Puts a grant into force. Its use period counts from the request, before
 * the aggregator sent the grant; the commitment counts from now, after it.
 */
static enum bw_status apply_grant_(struct bw_credit *credit, const char *from,
				   uint64_t incarnation,
				   const struct bw_credit_grant *grant,
				   struct bw_time now)
{
	struct bw_credit_service *of;
	struct bw_time asked;
	uint32_t i;

	if (grant->host_incarnation != credit->config.incarnation ||
	    grant->nonce > credit->nonce ||
	    credit->nonce - grant->nonce >= NONCES || !grant->nonce)
		return BW_ESTALE;
	if (strcmp(credit->committed_to, from) != 0 ||
	    credit->committed_incarnation != incarnation) {
		if (is_committed_(credit, now))
			return BW_ESTALE;
		bw_name_set(credit->committed_to, from);
		credit->committed_incarnation = incarnation;
		credit->applied_seq = 0;
	}
	if (!is_committed_(credit, now)) {
		for (i = 0; i < credit->service_count; i++)
			credit->services[i].granted = false;
	}
	if (grant->seq <= credit->applied_seq)
		return BW_ESTALE;
	credit->applied_seq = grant->seq;
	asked = credit->nonce_sent[grant->nonce % NONCES];
	credit->use_until =
		bw_time_add(asked, bw_credit_shorter(grant->use_ms));
	credit->commit_until =
		bw_time_add(now, bw_credit_longer(BW_CREDIT_LEASE_MS));
	restrict_services_(credit);
	for (i = 0; i < grant->count; i++) {
		of = bw_credit_find(credit, grant->slots[i].name);
		if (!of)
			continue;
		of->granted = true;
		of->grant = grant->slots[i].slots;
	}
	return BW_OK;
}

/*
 * A service that the next grant leaves out keeps the smaller of its grant and
 * its fallback share: the aggregator may still count on either.
 */
static void restrict_services_(struct bw_credit *credit)
{
	uint32_t i, fallback;

	for (i = 0; i < credit->service_count; i++) {
		struct bw_credit_service *of = &credit->services[i];

		fallback = bw_credit_fallback(credit, of->slots);
		if (of->granted && of->grant > fallback)
			of->grant = fallback;
	}
}

static bool is_committed_(const struct bw_credit *credit, struct bw_time now)
{
	return credit->committed_to[0] &&
	       !bw_time_reached(now, credit->commit_until);
}
