/**
 * @file
 * Settings of the daemon, read from a YAML file.
 */
#ifndef BORAGEWINGD_SETTINGS_H
#define BORAGEWINGD_SETTINGS_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/packet.h"
#include "bwbase/status.h"
#include "bwbase/yaml.h"

/** Size of the fleet key and of keys derived from it, in bytes. */
#define SETTINGS_KEY_BYTES 32

/** Buffer size of the operators' token, with its NUL. */
#define SETTINGS_TOKEN_BYTES 128

/** A listening address and the address advertised for it. */
struct settings_endpoint {
	char *address; /**< IPv4 address */
	uint16_t port;
	char *advertise; /**< advertised address; NULL: same as address */
	uint16_t advertise_port; /**< advertised port; 0: same as port */
};

/** A host to contact at start in order to join the fleet. */
struct settings_seed {
	char *name;
	char *region;
	char *failure_domain;
	char *address; /**< IPv4 address of its fleet endpoint */
	uint16_t port;
	bool control; /**< whether it is a control host */
};

/** Identity of the host. */
struct settings_host {
	char *name;
	char *region;
	char *failure_domain;
	bool control; /**< runs a replica of the replicated log */
};

/** TLS of the entry listener. */
struct settings_tls {
	char *certificate_file;
	char *key_file;
};

/** Resource and time limits of the host. */
struct settings_limits {
	uint32_t connections; /**< connections of the entry listener */
	uint32_t body_kb; /**< size of a request body */
	uint32_t queued_requests; /**< over all services */
	uint32_t request_records; /**< request keys stored, owned and backup */
	uint32_t response_pool_kb; /**< size of each pool of stored responses,
				      owned and backup */
	uint32_t drain_s; /**< timeout of a graceful shutdown */
};

/** Log output. */
struct settings_log {
	char *level; /**< debug, info, warning or error */
	char *file; /**< NULL: standard error */
};

/** All settings of one daemon. */
struct settings {
	struct settings_host host;
	struct settings_endpoint fleet; /**< ZeroMQ, other hosts */
	struct settings_endpoint entry; /**< HTTP, callers and backends */
	struct settings_endpoint operators; /**< HTTP, operators */
	char *data_folder; /**< control hosts only */
	char *charts_folder;
	char *fleet_key_file;
	char *operator_token_file;
	struct settings_tls *tls; /**< NULL: entry listener without TLS */
	struct settings_limits limits;
	struct settings_log log;
	struct settings_seed *seeds;
	uint32_t seeds_count;

	uint8_t fleet_key[SETTINGS_KEY_BYTES]; /**< from fleet_key_file */
	char operator_token[SETTINGS_TOKEN_BYTES]; /**< from
						      operator_token_file */
	uint8_t log_level; /**< from log.level, an enum bw_log_level */
};

/**
 * Loads and checks settings, and reads the key and token files.
 * @param settings receives the settings; free with settings_free
 * @param error receives the first error; its line is 0 when no line of the
 *	settings file applies
 * @return BW_OK or another status
 */
enum bw_status settings_load(const char *path, struct settings **settings,
			     struct bw_yaml_error *error);

/** Frees settings and clears the keys; NULL is ignored. */
void settings_free(struct settings *settings);

#endif
