/**
 * @file
 * Settings of a gateway host, independent of the format of the file.
 */
#ifndef BORAGEWINGD_GATE_SETTINGS_H
#define BORAGEWINGD_GATE_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/packet.h"

/** Maximum number of failure domains and of seeds in the settings. */
#define GATE_DOMAINS_MAX 64
#define GATE_SEEDS_MAX 8

/** Size of an address in text form, including the terminating NUL. */
#define GATE_ADDRESS_BYTES 32

/** Size of the path of the data folder with its terminating NUL. */
#define GATE_PATH_BYTES 256

/** A failure domain and its region. */
struct gate_domain {
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
};

/** Settings of one process. */
struct gate_settings {
	char host[64]; /**< host name in log lines */
	char ip[16];
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	struct gate_domain domains[GATE_DOMAINS_MAX];
	uint32_t domain_count;
	char entry_address[GATE_ADDRESS_BYTES]; /**< empty: no entry role */
	char ready_address[GATE_ADDRESS_BYTES];
	char control_address[GATE_ADDRESS_BYTES]; /**< empty: no control role */
	char directory_address[GATE_ADDRESS_BYTES]; /**< may be empty */
	char metrics_address[GATE_ADDRESS_BYTES]; /**< may be empty */
	uint16_t internal_port; /**< traffic between hosts, the same on all */
	char seeds[GATE_SEEDS_MAX][BW_NAME_MAX]; /**< control addresses */
	uint32_t seed_count;
	bool first_start; /**< first start of the whole system,
			     with empty data folders */
	char data_folder[GATE_PATH_BYTES];
	uint32_t descriptors_max;
	uint32_t memory_max_mb; /**< a process above it is ended */
	uint32_t announce_interval_ms; /**< of a backend server */
	uint32_t answer_ttl_max_ms; /**< of directory answers */
	uint32_t grace_ms; /**< from SIGTERM to SIGKILL */
	uint32_t drain_ms; /**< time for which a leaving server still
			      receives requests */
	double region_step_max; /**< largest fraction of a region's requests
				   that moves to another region within two
				   seconds; 0: no limit */
	double retry_ratio; /**< retries allowed per request, over all hosts */
	uint32_t retry_window_ms;
	uint32_t retry_extra; /**< retries allowed per window on top of the
				 ratio */
	uint32_t quota_window_ms; /**< in which requests of a customer are
				     counted */
	double quota_over; /**< tolerated fraction beyond a quota */
	double quota_slack; /**< requests tolerated on top of it */
	uint32_t losses_max; /**< control hosts that may be lost at the same
				time with their disks */
};

#endif
