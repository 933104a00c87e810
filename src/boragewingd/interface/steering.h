/**
 * @file
 * Steering state of a host: sheet and plan in force, block table, backend
 * servers, slot leases, admission, retry budgets, crash fingerprints and
 * request keys.
 */
#ifndef BORAGEWINGD_STEERING_H
#define BORAGEWINGD_STEERING_H

#include <stdbool.h>
#include <stdint.h>

#include <jansson.h>

#include "bwbase/chart.h"
#include "bwbase/yaml.h"
#include "bwsteer/admission.h"
#include "bwsteer/backend.h"
#include "bwsteer/blocks.h"
#include "bwsteer/credit.h"
#include "bwsteer/keys.h"
#include "bwsteer/plan.h"
#include "bwsteer/poison.h"
#include "bwsteer/retry.h"
#include "bwsteer/sheet.h"

#include "report.h"

struct host;

/** The steering state of a host. */
struct steering {
	struct host *host;
	struct bw_chart backend_chart;
	struct bw_chart shift_chart;
	struct bw_chart key_chart;
	struct bw_sheet *sheet; /**< NULL until one is in force */
	int64_t sheet_since_wall_ms;
	struct bw_plan plan;
	int64_t plan_since_wall_ms;
	struct bw_blocks blocks;
	struct bw_backend_table backends;
	struct bw_credit credit;
	struct bw_admission admission;
	struct bw_retry retry;
	struct bw_poison poison;
	struct bw_keys keys;
	struct report_table reports; /**< load of this host and, on the
					aggregator, of the domain's hosts */
	struct bw_time next_report;
	struct bw_time next_gossip;
	struct bw_time next_check;
	bool gossip_now; /**< the state of a backend server changed */
	uint32_t poison_cursor;
};

/**
 * Initialises the steering state.
 * @return BW_OK, or another status with error filled
 */
enum bw_status steering_init(struct steering *steering, struct host *host,
			     struct bw_yaml_error *error);

/** Frees the steering state. */
void steering_finish(struct steering *steering);

/** Puts the sheet with this text in force. */
void steering_set_sheet(struct steering *steering, const void *text,
			size_t size_bytes);

/** Puts an encoded plan in force. */
void steering_set_plan(struct steering *steering, const void *data,
		       size_t size_bytes);

/** Handles packets of the channels CREDIT, KEYS, POISON, BACKEND and PLAN. */
void steering_receive(struct steering *steering, const struct bw_packet *packet,
		      struct bw_time now);

/** Runs timers; called every 50 ms. */
void steering_tick(struct steering *steering, struct bw_time now);

/**
 * Finds the region of a caller by its address.
 * @param address IPv4 address as text; with any other text, the host's own
 *	region is returned
 * @return index into the sheet's regions; BW_SHEET_NONE without a sheet
 */
uint32_t steering_caller_region(const struct steering *steering,
				const char *address);

/**
 * Returns whether this domain has a backend server of the service that accepts
 * new requests now or will when its ejection ends. Without one, there is no
 * point in queueing a request.
 */
bool steering_has_servers(struct steering *steering, const char *service,
			  struct bw_time now);

/**
 * Returns how many more requests of a service this host may start now.
 * @param running requests of the service that are running on this host
 */
uint32_t steering_free_slots(struct steering *steering, const char *service,
			     uint32_t running, struct bw_time now);

/** Writes the state dump. */
void steering_dump(const struct steering *steering, json_t *into);

#endif
