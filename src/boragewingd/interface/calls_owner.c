#include "calls_private.h"

#include <string.h>

#include "lookup.h"

/** Delay before the next look-up of a key during a handover. */
#define HANDOVER_WAIT_MS 50

/** Most hosts that one call queries for a record. */
#define QUERIED_HOSTS_MAX 16

static bool is_record_query_(const struct call *call);
static bool query_next_host_(struct call *call);
static const struct directory_host *record_candidate_(const struct call *call,
						      uint32_t index);
static void fail_record_absent_(struct call *call);

void call_refuse_key(struct call *call, const struct bw_keys_decision *decision)
{
	enum call_outcome outcome = decision->not_run ? CALL_NOT_RUN
						      : CALL_MAY_HAVE_RUN;

	switch (decision->kind) {
	case BW_KEYS_UNKNOWN:
		if (decision->reason == BW_KEYS_RESPONSE_NOT_KEPT)
			call_fail(call, 409, "response_not_kept", CALL_RAN, 0);
		else
			call_fail(call, 504, "outcome_unknown",
				  CALL_MAY_HAVE_RUN, 0);
		break;
	case BW_KEYS_FULL:
		call_fail(call, 503, "request_records_full", outcome, 1000);
		break;
	case BW_KEYS_CONFLICT:
		call_fail(call, 422, "request_key_reused", outcome, 0);
		break;
	case BW_KEYS_EXPIRED:
	case BW_KEYS_TOO_FAR:
		call_fail(call, 410, "request_key_expired", outcome, 0);
		break;
	default:
		call_fail(call, 503, bw_keys_decision_string[decision->kind],
			  outcome, 1000);
		break;
	}
}

/*
 * A sealed owner starts no new run. Its successor runs the key once the
 * handover is complete; until then no host does, and the call waits.
 */
void call_forward_key(struct call *call,
		      const struct bw_keys_decision *decision)
{
	struct host *host = call->calls->host;
	bool expired = bw_time_reached(host_now(host), call->deadline);

	if (!decision->host[0] || (decision->not_run && expired)) {
		call_fail(call, 503, "host_is_leaving",
			  decision->not_run ? CALL_NOT_RUN : CALL_MAY_HAVE_RUN,
			  500);
	} else if (decision->kind == BW_KEYS_SEALED && decision->not_run &&
		   call->request) {
		call_fire(call, CALL_EVENT_BACKOFF);
		ev_timer_set(&call->timer, HANDOVER_WAIT_MS / 1000.0, 0.);
		ev_timer_start(host->loop, &call->timer);
	} else if (decision->kind == BW_KEYS_NOT_OWNER &&
		   is_record_query_(call)) {
		call_recover_record(call);
	} else {
		bw_name_set(call->forward_host, decision->host);
		call_fire(call, CALL_EVENT_FORWARD);
	}
}

const struct directory_host *call_choose_owner(const struct call *call)
{
	struct host *host = call->calls->host;
	const char *domain = host->settings->host.failure_domain;
	struct lookup_result result = { .count = 0 };
	uint32_t i;

	if (call->region >= host->steering.sheet->regions_count ||
	    steering_has_servers(&host->steering, call->service,
				 host_now(host)))
		return NULL;
	lookup_choose(host, call->service, call->region, &result);
	for (i = 0; i < result.count; i++) {
		if (result.hosts[i]->incarnation &&
		    strcmp(result.domains[i], domain) != 0)
			return result.hosts[i];
	}
	return NULL;
}

void call_recover_record(struct call *call)
{
	struct host *host = call->calls->host;
	struct bw_keys_decision decision;

	bw_keys_lookup_backup(&host->steering.keys, &call->key, call->digest,
			      host_now(host), &decision);
	if (decision.kind == BW_KEYS_REPLAY)
		call_replay(call, &decision.response);
	else if (decision.kind != BW_KEYS_ABSENT || decision.not_run)
		call_refuse_key(call, &decision);
	else if (is_record_query_(call) || !query_next_host_(call))
		fail_record_absent_(call);
}

bool call_query_next_host(struct call *call, const struct call_attempt *attempt)
{
	struct bw_http_header headers[CALL_HEADERS_MAX];
	uint32_t count;
	uint32_t i;

	if (!call->owner_lost || attempt->streaming || !call->request)
		return false;
	count = call_read_headers(attempt->headers.data,
				  attempt->headers.size_bytes, headers,
				  CALL_HEADERS_MAX);
	for (i = 0; i < count; i++) {
		if (g_ascii_strcasecmp(headers[i].name, CALL_HEADER_RECORD))
			continue;
		if (!query_next_host_(call))
			fail_record_absent_(call);
		return true;
	}
	return false;
}

/*
 * Returns whether another host queries this one for a record. That host queries
 * the remaining hosts itself.
 */
static bool is_record_query_(const struct call *call)
{
	return call->request &&
	       bw_request_header(call->request, CALL_HEADER_OWNER_LOST);
}

/*
 * Queries the next host of the owner's region. The owner's backup, its
 * successor and all further successors are in that region.
 */
static bool query_next_host_(struct call *call)
{
	const struct directory_host *next;

	if (call->body_streamed || !call->request ||
	    call->hops >= CALL_HOPS_MAX ||
	    call->queried_count == QUERIED_HOSTS_MAX)
		return false;
	call->owner_lost = true;
	next = record_candidate_(call, call->queried_count++);
	if (!next)
		return false;
	bw_name_set(call->forward_host, next->name);
	call_fire(call, CALL_EVENT_FORWARD);
	return true;
}

static const struct directory_host *record_candidate_(const struct call *call,
						      uint32_t index)
{
	const struct host *host = call->calls->host;
	const struct directory *directory = &host->directory;
	const char *region = directory_region(directory, call->key.owner);
	const struct directory_domain *domain;
	uint32_t i;
	uint32_t j;

	for (i = 0; i < directory->domains_count; i++) {
		domain = &directory->domains[i];
		if (strcmp(domain->region, region))
			continue;
		for (j = 0; j < domain->hosts_count; j++) {
			if (strcmp(domain->hosts[j].name,
				   host->settings->host.name) &&
			    strcmp(domain->hosts[j].name, call->key.owner) &&
			    !index--)
				return &domain->hosts[j];
		}
	}
	return NULL;
}

/*
 * No host has a record. The owner may have run the request although no copy
 * exists, unless the sender marks this as the first attempt.
 */
static void fail_record_absent_(struct call *call)
{
	call_fail(call, 503, "absent",
		  is_record_query_(call) ? CALL_MAY_HAVE_RUN
					 : call_unclaimed_outcome(call),
		  1000);
}
