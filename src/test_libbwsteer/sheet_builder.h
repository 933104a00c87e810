/**
 * @file
 * Generated sheets for tests, built without YAML.
 */
#ifndef TEST_SHEET_BUILDER_H
#define TEST_SHEET_BUILDER_H

#include "bwsteer/sheet.h"

/** Size of a generated sheet. */
struct sheet_size {
	uint32_t regions;
	uint32_t domains_per_region;
	uint32_t services;
	uint32_t placements_per_service; /**< spread over the failure domains */
	uint32_t targets; /**< per placement */
	uint32_t slots_per_target;
	uint32_t link_mbit_per_s;
};

/** Builds a sheet with a cap of 20 %, a window of 30 s and a TTL of 5 s. */
struct bw_sheet *sheet_build(const struct sheet_size *size);

/**
 * Adds a drain of a failure domain; a sheet holds at most 8.
 * @param service the service to drain; NULL for all
 */
void sheet_add_drain(struct bw_sheet *sheet, const char *failure_domain,
		     const char *service, int64_t start_ms, int64_t stop_ms);

/** Removes the last placement of a service and increments the revision. */
void sheet_remove_last_placement(struct bw_sheet *sheet, uint32_t service);

/** Frees a built sheet. */
void sheet_destroy(struct bw_sheet *sheet);

#endif
