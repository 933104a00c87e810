#include "bwsteer/admission.h"

#include "private/admission.h"
#include "private/index.h"

#define US_PER_MS 1000.0

/** Credit that a grant takes; this much entitles a rank to the next grant. */
#define GRANT_COST_PERCENT 100

/**
 * Credit that a rank with an empty queue saves, in percent of its minimum
 * share. More than 100, because its callers return to only some of the hosts
 * and the credit saved on the others is lost.
 */
#define SAVED_SHARE_PERCENT 130

/** Grants of a service for which a rank with an empty queue saves credit. */
#define SAVED_GRANTS_MAX 300

/**
 * Saved credit that is added to the credit of a rank with each grant. Spending
 * it in parts leaves grants to the other ranks in the meantime.
 */
#define CATCH_UP_CREDIT_PERCENT 45

static uint64_t id_hash_(uint64_t id);
static int64_t service_time_ms_(const struct bw_admission *admission,
				uint32_t service, uint32_t rank);
static bool is_better_(const struct bw_admission_candidate *a,
		       const struct bw_admission_candidate *b);
static uint32_t add_credit_(uint32_t credit_percent, uint32_t added_percent,
			    bool granted);
static void save_credit_(const struct bw_admission *admission,
			 struct bw_admission_queue *queue, uint32_t rank,
			 uint32_t added_percent);
static uint32_t take_saved_credit_(struct bw_admission_queue *queue);

struct bw_admission_queue *bw_admission_queue_of(struct bw_admission *admission,
						 uint32_t service,
						 uint32_t rank)
{
	return &admission->services[service].queue[rank];
}

static uint64_t id_hash_(uint64_t id)
{
	return bw_index_hash(&id, sizeof(id));
}

uint32_t bw_admission_find(const struct bw_admission *admission, uint64_t id)
{
	struct bw_index_cursor cursor;
	uint32_t index =
		bw_index_first(admission->by_id, id_hash_(id), &cursor);

	while (index != BW_INDEX_NONE) {
		if (admission->entries[index].request.id == id)
			return index;
		index = bw_index_next(admission->by_id, &cursor);
	}
	return BW_ADMISSION_NONE;
}

void bw_admission_enqueue(struct bw_admission *admission,
			  const struct bw_admission_request *request)
{
	struct bw_admission_queue *queue = bw_admission_queue_of(
		admission, request->service, request->rank);
	uint32_t index = admission->free_head;
	struct bw_admission_entry *entry = &admission->entries[index];

	admission->free_head = entry->next;
	entry->request = *request;
	entry->arrival_number = ++admission->last_arrival_number;
	entry->expired = false;
	entry->next = BW_ADMISSION_NONE;
	entry->previous = queue->tail;
	if (queue->tail == BW_ADMISSION_NONE)
		queue->head = index;
	else
		admission->entries[queue->tail].next = index;
	queue->tail = index;
	queue->count++;
	queue->bytes += request->size_bytes;
	if (request->deadline.ms < queue->earliest_deadline_ms)
		queue->earliest_deadline_ms = request->deadline.ms;
	admission->services[request->service].queued++;
	admission->rank_queued[request->rank]++;
	admission->rank_queued_bytes[request->rank] += request->size_bytes;
	bw_index_add(admission->by_id, id_hash_(request->id), index);
}

void bw_admission_dequeue(struct bw_admission *admission, uint32_t index)
{
	struct bw_admission_entry *entry = &admission->entries[index];
	uint32_t rank = entry->request.rank;
	struct bw_admission_queue *queue =
		bw_admission_queue_of(admission, entry->request.service, rank);

	if (entry->previous == BW_ADMISSION_NONE)
		queue->head = entry->next;
	else
		admission->entries[entry->previous].next = entry->next;
	if (entry->next == BW_ADMISSION_NONE)
		queue->tail = entry->previous;
	else
		admission->entries[entry->next].previous = entry->previous;
	queue->count--;
	queue->bytes -= entry->request.size_bytes;
	admission->services[entry->request.service].queued--;
	admission->rank_queued[rank]--;
	admission->rank_queued_bytes[rank] -= entry->request.size_bytes;
	if (!queue->count) {
		save_credit_(admission, queue, rank, queue->credit_percent);
		queue->credit_percent = 0;
		queue->earliest_deadline_ms = INT64_MAX;
	}
	if (!admission->rank_queued[rank])
		admission->host_credit_percent[rank] = 0;
}

void bw_admission_release(struct bw_admission *admission, uint32_t index)
{
	struct bw_admission_entry *entry = &admission->entries[index];

	bw_index_remove(admission->by_id, id_hash_(entry->request.id), index);
	entry->next = admission->free_head;
	admission->free_head = index;
}

/*
 * Returns the expected service time of a request. It is zero while no request
 * of the rank runs: the average is not updated then, and an outdated one would
 * keep refusing the rank.
 */
static int64_t service_time_ms_(const struct bw_admission *admission,
				uint32_t service, uint32_t rank)
{
	const struct bw_admission_queue *queue =
		&admission->services[service].queue[rank];

	return queue->running ? (int64_t)(queue->service_time_us / US_PER_MS)
			      : 0;
}

bool bw_admission_misses_deadline(const struct bw_admission *admission,
				  const struct bw_admission_request *request,
				  struct bw_time now)
{
	int64_t time_ms =
		service_time_ms_(admission, request->service, request->rank);

	return bw_time_reached(bw_time_add(now, time_ms), request->deadline);
}

void bw_admission_expire_queue(struct bw_admission *admission, uint32_t service,
			       uint32_t rank, struct bw_time now)
{
	struct bw_admission_queue *queue =
		bw_admission_queue_of(admission, service, rank);
	struct bw_admission_entry *entry;
	int64_t earliest_ms = INT64_MAX;
	uint32_t index = queue->head;
	uint32_t next;

	if (!queue->count ||
	    queue->earliest_deadline_ms -
			    service_time_ms_(admission, service, rank) >
		    now.ms)
		return;
	for (; index != BW_ADMISSION_NONE; index = next) {
		entry = &admission->entries[index];
		next = entry->next;
		if (!bw_admission_misses_deadline(admission, &entry->request,
						  now)) {
			if (entry->request.deadline.ms < earliest_ms)
				earliest_ms = entry->request.deadline.ms;
			continue;
		}
		bw_admission_dequeue(admission, index);
		queue->expired_count++;
		entry->expired = true;
		entry->next = admission->expired_head;
		admission->expired_head = index;
	}
	queue->earliest_deadline_ms = earliest_ms;
}

void bw_admission_choose(const struct bw_admission *admission, uint32_t first,
			 uint32_t count, const uint32_t *free_slots,
			 bool host_limited, struct bw_admission_candidate *best)
{
	const struct bw_admission_queue *queue;
	struct bw_admission_candidate candidate;
	uint32_t i;

	for (i = 0; i < count * BW_SHEET_RANKS_MAX; i++) {
		candidate.service = first + i / BW_SHEET_RANKS_MAX;
		candidate.rank = i % BW_SHEET_RANKS_MAX;
		queue = &admission->services[candidate.service]
				 .queue[candidate.rank];
		if (!queue->count || !free_slots[i / BW_SHEET_RANKS_MAX])
			continue;
		candidate.found = true;
		candidate.arrival_number =
			admission->entries[queue->head].arrival_number;
		candidate.credit_percent = queue->credit_percent;
		if (host_limited &&
		    admission->host_credit_percent[candidate.rank] >
			    candidate.credit_percent)
			candidate.credit_percent =
				admission->host_credit_percent[candidate.rank];
		if (candidate.credit_percent < GRANT_COST_PERCENT)
			candidate.credit_percent = 0;
		if (is_better_(&candidate, best))
			*best = candidate;
	}
}

/* Prefers the largest credit, then the most urgent rank, then the first
 * arrival. */
static bool is_better_(const struct bw_admission_candidate *a,
		       const struct bw_admission_candidate *b)
{
	if (!b->found)
		return true;
	if (a->credit_percent != b->credit_percent)
		return a->credit_percent > b->credit_percent;
	if (a->rank != b->rank)
		return a->rank < b->rank;
	return a->arrival_number < b->arrival_number;
}

void bw_admission_update_credits(struct bw_admission *admission,
				 uint32_t service, uint32_t rank,
				 bool host_limited)
{
	const struct bw_admission_rank *ranks = admission->config.rank;
	struct bw_admission_queue *queue;
	uint32_t i;

	for (i = 0; i < admission->config.ranks_count; i++) {
		queue = bw_admission_queue_of(admission, service, i);
		if (queue->count)
			queue->credit_percent =
				add_credit_(queue->credit_percent,
					    ranks[i].min_share_percent +
						    take_saved_credit_(queue),
					    i == rank);
		else
			save_credit_(admission, queue, i,
				     SAVED_SHARE_PERCENT *
					     ranks[i].min_share_percent / 100);
		if (host_limited && admission->rank_queued[i])
			admission->host_credit_percent[i] = add_credit_(
				admission->host_credit_percent[i],
				ranks[i].min_share_percent, i == rank);
	}
}

double bw_admission_guaranteed_share(const struct bw_admission *admission,
				     const struct bw_admission_queue *queue,
				     uint32_t rank, double queued)
{
	double share = admission->config.rank[rank].min_share_percent / 100.0;
	double catch_up_share = CATCH_UP_CREDIT_PERCENT / 100.0;
	double grants =
		(double)queue->saved_credit_percent / CATCH_UP_CREDIT_PERCENT;

	return queued <= grants * (share + catch_up_share)
		       ? share + catch_up_share
		       : share;
}

static void save_credit_(const struct bw_admission *admission,
			 struct bw_admission_queue *queue, uint32_t rank,
			 uint32_t added_percent)
{
	uint32_t max_percent = SAVED_GRANTS_MAX *
			       admission->config.rank[rank].min_share_percent;

	queue->saved_credit_percent += added_percent;
	if (queue->saved_credit_percent > max_percent)
		queue->saved_credit_percent = max_percent;
}

static uint32_t take_saved_credit_(struct bw_admission_queue *queue)
{
	uint32_t taken_percent = queue->saved_credit_percent <
						 CATCH_UP_CREDIT_PERCENT
					 ? queue->saved_credit_percent
					 : CATCH_UP_CREDIT_PERCENT;

	queue->saved_credit_percent -= taken_percent;
	return taken_percent;
}

static uint32_t add_credit_(uint32_t credit_percent, uint32_t added_percent,
			    bool granted)
{
	credit_percent += added_percent;
	if (!granted)
		return credit_percent;
	return credit_percent > GRANT_COST_PERCENT
		       ? credit_percent - GRANT_COST_PERCENT
		       : 0;
}
