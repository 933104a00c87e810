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

/** Largest operators' token, with its final zero. */
#define SETTINGS_TOKEN_BYTES 128

/** An address and a port to listen on. */
struct settings_endpoint {
	char *address; /**< IPv4 address */
	uint16_t port;
	char *advertise; /**< address given to others; NULL: address */
	uint16_t advertise_port; /**< 0: port */
};

/** A host that this one may contact first. */
struct settings_seed {
	char *name;
	char *region;
	char *failure_domain;
	char *address; /**< IPv4 address of its fleet endpoint */
	uint16_t port;
	bool control;
};

/** Identity of the host. */
struct settings_host {
	char *name;
	char *region;
	char *failure_domain;
	bool control; /**< holds a replica of the replicated log */
};

/** TLS of the entry listener. */
struct settings_tls {
	char *certificate_file;
	char *key_file;
};

/** Bounds on what callers may ask of the host. */
struct settings_limits {
	uint32_t connections; /**< of callers */
	uint32_t body_kb; /**< largest request body */
	uint32_t queued_requests; /**< over all services */
	uint32_t request_records; /**< request keys kept, own and as backup */
	uint32_t response_pool_kb; /**< responses kept, own and as backup */
	uint32_t drain_s; /**< longest wait of a graceful shutdown */
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
	struct settings_tls *tls; /**< NULL: plain HTTP for callers */
	struct settings_limits limits;
	struct settings_log log;
	struct settings_seed *seeds;
	uint32_t seeds_count;

	uint8_t fleet_key[SETTINGS_KEY_BYTES]; /**< resolved */
	char operator_token[SETTINGS_TOKEN_BYTES]; /**< resolved */
	uint8_t log_level; /**< resolved, an enum bw_log_level */
};

/**
 * Loads and checks settings, and reads the key and token files.
 * @param settings receives the settings; free with settings_free
 * @param error receives the first error; its line is 0 when it concerns
 *	another file
 * @return BW_OK or another status
 */
enum bw_status settings_load(const char *path, struct settings **settings,
			     struct bw_yaml_error *error);

/** Frees settings and clears the keys; NULL is ignored. */
void settings_free(struct settings *settings);

#endif
