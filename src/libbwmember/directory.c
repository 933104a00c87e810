#include "bwmember/directory.h"

#include <string.h>

/** Fraction of the hosts of an area that have to be ready. */
#define READY_FRACTION 0.75

/** Areas of the fleet, nearest to the caller first. */
enum area { AREA_DOMAIN, AREA_REGION, AREA_FLEET, AREA_COUNT };

/** Hosts of an area. */
struct area_hosts {
	uint32_t ready;
	uint32_t expected; /**< ready or starting */
};

static struct area_hosts count_hosts_(const struct bw_directory *directory,
				      const GPtrArray *hosts,
				      const struct bw_directory_query *query,
				      enum area area);
static bool is_in_(const struct bw_roster_host *host,
		   const struct bw_directory_query *query, enum area area);
static bool most_are_ready_(const struct area_hosts *hosts);
static bool waits_(struct bw_directory *directory,
		   const struct area_hosts *fleet, struct bw_time now);
static uint32_t list_(const struct bw_directory *directory,
		      const GPtrArray *hosts,
		      const struct bw_directory_query *query, enum area area,
		      char (*addresses)[BW_NAME_MAX], uint32_t addresses_max);

void bw_directory_init(struct bw_directory *directory,
		       const struct bw_directory_states *states)
{
	memset(directory, 0, sizeof(*directory));
	directory->states = *states;
}

uint32_t bw_directory_choose(struct bw_directory *directory,
			     struct bw_roster *roster,
			     const struct bw_directory_query *query,
			     struct bw_time now, char (*addresses)[BW_NAME_MAX],
			     uint32_t addresses_max)
{
	const GPtrArray *hosts = bw_roster_sorted(roster);
	struct area_hosts fleet =
		count_hosts_(directory, hosts, query, AREA_FLEET);
	int area;

	if (waits_(directory, &fleet, now))
		return 0;
	for (area = AREA_DOMAIN; area < AREA_FLEET; area++) {
		struct area_hosts counts =
			count_hosts_(directory, hosts, query, (enum area)area);

		if (most_are_ready_(&counts))
			break;
	}
	return list_(directory, hosts, query, (enum area)area, addresses,
		     addresses_max);
}

static struct area_hosts count_hosts_(const struct bw_directory *directory,
				      const GPtrArray *hosts,
				      const struct bw_directory_query *query,
				      enum area area)
{
	struct area_hosts counts = { 0 };
	uint32_t i;

	for (i = 0; i < hosts->len; i++) {
		const struct bw_roster_host *host = hosts->pdata[i];

		if (!is_in_(host, query, area))
			continue;
		counts.ready += host->state == directory->states.ready;
		counts.expected += host->state != directory->states.leaving;
	}
	return counts;
}

static bool is_in_(const struct bw_roster_host *host,
		   const struct bw_directory_query *query, enum area area)
{
	switch (area) {
	case AREA_DOMAIN:
		return !strcmp(host->domain, query->domain);
	case AREA_REGION:
		return !strcmp(host->region, query->region);
	case AREA_FLEET:
	case AREA_COUNT:
		break;
	}
	return true;
}

static bool most_are_ready_(const struct area_hosts *hosts)
{
	return hosts->ready && hosts->ready >= READY_FRACTION * hosts->expected;
}

/* The wait is bounded, because some hosts may never become ready. */
static bool waits_(struct bw_directory *directory,
		   const struct area_hosts *fleet, struct bw_time now)
{
	if (!fleet->ready) {
		directory->ready_since.ms = 0;
		return true;
	}
	if (!directory->ready_since.ms)
		directory->ready_since = now;
	return !most_are_ready_(fleet) &&
	       bw_time_diff_ms(now, directory->ready_since) <
		       BW_DIRECTORY_WAIT_MAX_MS;
}

static uint32_t list_(const struct bw_directory *directory,
		      const GPtrArray *hosts,
		      const struct bw_directory_query *query, enum area area,
		      char (*addresses)[BW_NAME_MAX], uint32_t addresses_max)
{
	uint32_t count = 0;
	uint32_t i;

	for (i = 0; i < hosts->len && count < addresses_max; i++) {
		const struct bw_roster_host *host =
			hosts->pdata[(query->first + i) % hosts->len];

		if (host->state == directory->states.ready &&
		    is_in_(host, query, area))
			bw_name_set(addresses[count++], host->name);
	}
	return count;
}
