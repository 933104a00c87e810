#include "bwsteer/credit.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "private/credit_internal.h"

/* Clock rates differ by up to 1 %; 2 % also covers rounding. */
#define DRIFT_PERCENT 2

/* Requests whose send times are kept; a grant for an older one is stale. */
#define RECENT_REQUESTS 8

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
static enum bw_status receive_request_(struct bw_credit *credit,
				       const struct bw_packet *packet,
				       struct bw_reader *reader,
				       struct bw_time now,
				       struct bw_outbox *out);
static enum bw_status apply_grant_(struct bw_credit *credit, const char *from,
				   uint64_t incarnation,
				   const struct bw_credit_grant *grant,
				   struct bw_time now);
static void limit_grants_to_fallback_(struct bw_credit *credit);
static bool is_committed_(const struct bw_credit *credit, struct bw_time now);

int64_t bw_credit_add_drift(int64_t ms)
{
	return ms + ms * DRIFT_PERCENT / 100 + 1;
}

int64_t bw_credit_subtract_drift(int64_t ms)
{
	return ms - ms * DRIFT_PERCENT / 100 - 1;
}

uint32_t bw_credit_fallback_share(const struct bw_credit *credit,
				  uint32_t slots)
{
	uint32_t hosts = credit->config.host_count;

	return slots / (credit->live_host_count > hosts
				? credit->live_host_count
				: hosts);
}

struct bw_credit_service *bw_credit_find_service(const struct bw_credit *credit,
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
	credit->grant_until = now;
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
			  uint32_t live_host_count)
{
	bw_name_set(credit->aggregator, aggregator);
	if (live_host_count > credit->live_host_count)
		credit->live_host_count = live_host_count;
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
		old = bw_credit_find_service(credit, services[i].service);
		/*
		 * A service that was removed and added again may have been
		 * granted under an earlier lease. It gets no slots until the
		 * next grant or the end of the commitment.
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
	struct bw_credit_service *entry =
		bw_credit_find_service(credit, service);

	if (!entry)
		return BW_ENOTFOUND;
	entry->demand = demand;
	return BW_OK;
}

uint32_t bw_credit_available(const struct bw_credit *credit,
			     const char *service, struct bw_time now)
{
	const struct bw_credit_service *entry =
		bw_credit_find_service(credit, service);
	uint32_t fallback;

	if (!entry || bw_time_diff_ms(now, credit->started) <
			      bw_credit_add_drift(BW_CREDIT_LEASE_MS))
		return 0;
	fallback = bw_credit_fallback_share(credit, entry->slots);
	if (!entry->granted || !is_committed_(credit, now))
		return fallback;
	if (!bw_time_reached(now, credit->grant_until))
		return entry->grant < entry->slots ? entry->grant
						   : entry->slots;
	return entry->grant < fallback ? entry->grant : fallback;
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
		status = receive_request_(credit, packet, &reader, now, out);
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
		const struct bw_credit_service *entry = &credit->services[i];

		json_array_append_new(
			services,
			json_pack("{s:s, s:I, s:I, s:b, s:I}", "service",
				  entry->name, "capacity_slots",
				  (json_int_t)entry->slots, "demand_slots",
				  (json_int_t)entry->demand, "granted",
				  entry->granted, "grant_slots",
				  (json_int_t)entry->grant));
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

	credit->request_seq++;
	credit->request_sent[credit->request_seq % RECENT_REQUESTS] = now;
	fill_request_(credit, &request);
	if (!strcmp(credit->aggregator, credit->config.self)) {
		status = bw_credit_handle_request(credit, credit->config.self,
						  credit->config.incarnation,
						  &request, now, &grant);
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

	request->seq = credit->request_seq;
	request->aggregator_incarnation = credit->committed_incarnation;
	request->applied_seq = credit->applied_seq;
	request->count = credit->service_count;
	for (i = 0; i < credit->service_count; i++) {
		const struct bw_credit_service *entry = &credit->services[i];

		memcpy(request->services[i].name, entry->name, BW_NAME_MAX);
		request->services[i].demand = entry->demand;
		request->services[i].fallback =
			bw_credit_fallback_share(credit, entry->slots);
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
	bw_write_uint(&writer, request->seq);
	bw_write_uint(&writer, request->aggregator_incarnation);
	bw_write_uint(&writer, request->applied_seq);
	bw_write_array(&writer, request->count);
	for (i = 0; i < request->count; i++) {
		bw_write_array(&writer, 3);
		bw_write_str(&writer, request->services[i].name);
		bw_write_uint(&writer, request->services[i].demand);
		bw_write_uint(&writer, request->services[i].fallback);
	}
	return writer.status;
}

static void read_request_(struct bw_reader *reader,
			  struct bw_credit_request *request)
{
	uint32_t i;

	request->seq = bw_read_uint(reader);
	request->aggregator_incarnation = bw_read_uint(reader);
	request->applied_seq = bw_read_uint(reader);
	request->count = bw_read_array(reader);
	if (request->count > BW_CREDIT_SERVICES_MAX)
		reader->failed = true;
	for (i = 0; i < request->count && !reader->failed; i++) {
		bw_read_array(reader);
		bw_read_name(reader, request->services[i].name);
		request->services[i].demand = (uint32_t)bw_read_uint(reader);
		request->services[i].fallback = (uint32_t)bw_read_uint(reader);
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
	bw_write_uint(&writer, grant->request_seq);
	bw_write_uint(&writer, grant->host_incarnation);
	bw_write_uint(&writer, grant->seq);
	bw_write_uint(&writer, grant->valid_ms);
	bw_write_array(&writer, grant->count);
	for (i = 0; i < grant->count; i++) {
		bw_write_array(&writer, 2);
		bw_write_str(&writer, grant->services[i].name);
		bw_write_uint(&writer, grant->services[i].slots);
	}
	return writer.status;
}

static void read_grant_(struct bw_reader *reader, struct bw_credit_grant *grant)
{
	uint64_t valid_ms;
	uint32_t i;

	grant->request_seq = bw_read_uint(reader);
	grant->host_incarnation = bw_read_uint(reader);
	grant->seq = bw_read_uint(reader);
	valid_ms = bw_read_uint(reader);
	grant->valid_ms = valid_ms < BW_CREDIT_LEASE_MS ? (uint32_t)valid_ms
							: BW_CREDIT_LEASE_MS;
	grant->count = bw_read_array(reader);
	if (grant->count > BW_CREDIT_SERVICES_MAX)
		reader->failed = true;
	for (i = 0; i < grant->count && !reader->failed; i++) {
		bw_read_array(reader);
		bw_read_name(reader, grant->services[i].name);
		grant->services[i].slots = (uint32_t)bw_read_uint(reader);
		bw_read_end(reader);
	}
}

static enum bw_status receive_request_(struct bw_credit *credit,
				       const struct bw_packet *packet,
				       struct bw_reader *reader,
				       struct bw_time now,
				       struct bw_outbox *out)
{
	struct bw_credit_request request;
	struct bw_credit_grant grant;
	struct bw_buffer buffer;
	enum bw_status status;

	read_request_(reader, &request);
	if (bw_reader_status(reader) != BW_OK)
		return BW_EINVAL;
	/* Only a host that considers itself the aggregator issues grants. */
	if (strcmp(credit->aggregator, credit->config.self) != 0)
		return BW_ESTALE;
	status = bw_credit_handle_request(credit, packet->peer,
					  packet->incarnation, &request, now,
					  &grant);
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
 * Applies a grant. Its validity counts from the sending of the request, which
 * is before the aggregator issued the grant. The commitment counts from now,
 * which is after it. The host thus stops using the grant before the aggregator
 * expects it to, and stays committed for longer than the aggregator assumes.
 */
static enum bw_status apply_grant_(struct bw_credit *credit, const char *from,
				   uint64_t incarnation,
				   const struct bw_credit_grant *grant,
				   struct bw_time now)
{
	struct bw_credit_service *entry;
	struct bw_time request_sent;
	uint32_t i;

	if (grant->host_incarnation != credit->config.incarnation ||
	    grant->request_seq > credit->request_seq ||
	    credit->request_seq - grant->request_seq >= RECENT_REQUESTS ||
	    !grant->request_seq)
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
	request_sent =
		credit->request_sent[grant->request_seq % RECENT_REQUESTS];
	credit->grant_until = bw_time_add(
		request_sent, bw_credit_subtract_drift(grant->valid_ms));
	credit->commit_until =
		bw_time_add(now, bw_credit_add_drift(BW_CREDIT_LEASE_MS));
	limit_grants_to_fallback_(credit);
	for (i = 0; i < grant->count; i++) {
		entry = bw_credit_find_service(credit, grant->services[i].name);
		if (!entry)
			continue;
		entry->granted = true;
		entry->grant = grant->services[i].slots;
	}
	return BW_OK;
}

/*
 * Limits every granted service to its fallback share. A service that the new
 * grant omits keeps the smaller of its previous grant and its fallback share,
 * because the aggregator may still rely on either limit.
 */
static void limit_grants_to_fallback_(struct bw_credit *credit)
{
	uint32_t i, fallback;

	for (i = 0; i < credit->service_count; i++) {
		struct bw_credit_service *entry = &credit->services[i];

		fallback = bw_credit_fallback_share(credit, entry->slots);
		if (entry->granted && entry->grant > fallback)
			entry->grant = fallback;
	}
}

static bool is_committed_(const struct bw_credit *credit, struct bw_time now)
{
	return credit->committed_to[0] &&
	       !bw_time_reached(now, credit->commit_until);
}
