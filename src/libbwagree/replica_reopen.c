#include <stdlib.h>
#include <string.h>

#include "private/replica.h"

/** Delay of the first attempt, and the limit up to which it doubles. */
#define REOPEN_DELAY_MIN_MS 250
#define REOPEN_DELAY_MAX_MS 1000

/** Time without a failure after which the delay starts at the minimum again. */
#define REOPEN_STABLE_MS 10000

static void delay_next_attempt_(struct bw_replica *replica);
static enum bw_status open_again_(struct bw_replica *replica,
				  struct bw_time now,
				  struct bw_replica **opened);
static void replace_(struct bw_replica *replica, struct bw_replica *opened,
		     struct bw_replica *spare);
static void report_reopened_(struct bw_replica *replica);

void replica_schedule_reopen(struct bw_replica *replica)
{
	if (!replica->reopen_delay_ms ||
	    replica->now_ms - replica->reopened_ms > REOPEN_STABLE_MS)
		replica->reopen_delay_ms = REOPEN_DELAY_MIN_MS;
	replica->reopen_due_ms = replica->now_ms + replica->reopen_delay_ms;
}

void replica_tick_failed(struct bw_replica *replica, struct bw_time now)
{
	struct bw_replica *opened = NULL;
	struct bw_replica *spare;

	if (replica->now_ms < replica->reopen_due_ms)
		return;
	spare = malloc(sizeof(*spare));
	if (!spare || open_again_(replica, now, &opened) != BW_OK) {
		free(spare);
		delay_next_attempt_(replica);
		replica->reopen_due_ms =
			replica->now_ms + replica->reopen_delay_ms;
		return;
	}
	delay_next_attempt_(replica);
	replica_handle_event(replica, REPLICA_DISK_REOPENED);
	replace_(replica, opened, spare);
	report_reopened_(replica);
}

/* A disk that fails soon after it was opened is not opened at once again. */
static void delay_next_attempt_(struct bw_replica *replica)
{
	replica->reopen_delay_ms *= 2;
	if (replica->reopen_delay_ms > REOPEN_DELAY_MAX_MS)
		replica->reopen_delay_ms = REOPEN_DELAY_MAX_MS;
}

/* The failed replica stays as it is: its state can still be read. */
static enum bw_status open_again_(struct bw_replica *replica,
				  struct bw_time now,
				  struct bw_replica **opened)
{
	struct bw_replica_config config = replica->config;
	char error[BW_WAL_ERROR_BYTES];

	config.initial_hosts =
		(const char(*)[BW_NAME_MAX])replica->initial_hosts;
	config.seed = bw_random_next(&replica->random);
	return replica_create(opened, &config, now, true, error);
}

/*
 * Moves the content of opened into replica, whose address the caller keeps, and
 * frees the old content. Events that the caller has not read are kept.
 */
static void replace_(struct bw_replica *replica, struct bw_replica *opened,
		     struct bw_replica *spare)
{
	GQueue events = opened->events;

	*spare = *replica;
	opened->events = replica->events;
	spare->events = events;
	opened->out = replica->out;
	opened->dropped_packets = replica->dropped_packets;
	opened->elections_started = replica->elections_started;
	opened->snapshots_installed = replica->snapshots_installed;
	opened->reopen_delay_ms = replica->reopen_delay_ms;
	opened->reopened_ms = replica->now_ms;
	memcpy(opened->reported_leader, replica->reported_leader, BW_NAME_MAX);
	opened->reported_term = replica->reported_term;
	*replica = *opened;
	free(opened);
	bw_replica_free(spare);
}

static void report_reopened_(struct bw_replica *replica)
{
	struct bw_replica_event event = {
		.kind = BW_REPLICA_STORAGE_REOPENED,
		.index = bw_wal_last_index(&replica->wal),
		.term = replica->meta.term,
	};

	replica_queue_event(replica, &event);
}
