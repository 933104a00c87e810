/**
 * @file
 * Sheets for tests, filled without the loader.
 */
#ifndef TEST_SHEET_BUILDER_H
#define TEST_SHEET_BUILDER_H

#include "bwsteer/sheet.h"

/** Size of a generated sheet. */
struct sheet_size {
	uint32_t regions;
	uint32_t domains_per_region;
	uint32_t services;
	uint32_t placements_per_service; /**< spread over all domains */
	uint32_t targets;
	uint32_t slots_per_target;
	uint32_t link_mbit_per_s;
};

/** Builds a sheet with cap 20 %, window 30 s and time to live 5 s. */
struct bw_sheet *sheet_build(const struct sheet_size *size);

/** Adds one placement drain for service, or for all when it is NULL. */
void sheet_add_drain(struct bw_sheet *sheet, const char *failure_domain,
		     const char *service, int64_t start_ms, int64_t stop_ms);

/** Removes the last placement of a service and raises the revision. */
void sheet_remove_last_placement(struct bw_sheet *sheet, uint32_t service);

/** Frees a built sheet. */
void sheet_destroy(struct bw_sheet *sheet);

#endif
