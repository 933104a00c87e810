#include "dispatch_fixture.h"

#include <stdio.h>
#include <string.h>

/** Origin of the times; 0 means never in the dispatcher. */
#define ORIGIN_MS 50000

struct bw_time fixture_time(int64_t ms)
{
	struct bw_time time = { ORIGIN_MS + ms };

	return time;
}

void fixture_update(struct bw_dispatch *dispatch, uint32_t count,
		    uint32_t slots, const uint32_t *place, int64_t ms)
{
	static struct bw_server servers[FIXTURE_SERVERS_MAX];
	uint32_t i;

	bw_dispatch_begin_update(dispatch);
	for (i = 0; i < count; i++) {
		struct bw_server *server = &servers[i];
		struct bw_target_update update = { .server = server,
						   .accepts = true };

		snprintf(server->record.id, sizeof(server->record.id), "i-%u",
			 i);
		strcpy(server->record.address, "127.0.0.1:1");
		strcpy(server->record.service, "s");
		server->record.slots = slots;
		server->id_hash = bw_registry_hash(server->record.id);
		if (place) {
			update.domain = place[i];
			update.region = place[i];
			update.distance = place[i] ? BW_DISTANCE_FAR
						   : BW_DISTANCE_DOMAIN;
		}
		bw_dispatch_update(dispatch, &update, fixture_time(ms));
	}
	bw_dispatch_end_update(dispatch, fixture_time(ms));
}

void fixture_job(struct bw_dispatch *dispatch, struct bw_job *job,
		 const char *key, uint32_t rank, int64_t ms)
{
	memset(job, 0, sizeof(*job));
	job->owner = job;
	job->service = bw_dispatch_service(dispatch, "s");
	job->rank = rank;
	job->object = bw_dispatch_object_hash("s", key);
	job->arrived = fixture_time(ms);
	job->objective = fixture_time(ms + 500);
	job->deadline = fixture_time(ms + 1000);
}
