/**
 * @file
 * TCP proxy that injects faults between address pairs.
 */
#ifndef TOOLS_FAULT_H
#define TOOLS_FAULT_H

#include <netinet/in.h>
#include <stdbool.h>
#include <stdint.h>

#include "bwbase/buffer.h"
#include "bwbase/yaml.h"

#define FAULT_PAIRS_MAX 1024
#define FAULT_RULES_MAX 256

/** One forwarded address as written in the file. */
struct fault_pair {
	char *listen; /**< IP:PORT */
	char *target; /**< IP:PORT */
	uint32_t delay_ms; /**< each way, always */
	uint32_t rate_kbit_per_s; /**< each way, over all connections; 0: no
				   limit */
};

/** The file. */
struct fault_config {
	struct fault_pair *pairs;
	uint32_t pairs_count;
};

/** Loads the file; free with fault_config_free. */
enum bw_status fault_config_read(const char *path, struct fault_config **config,
				 struct bw_yaml_error *error);
void fault_config_free(struct fault_config *config);

/** Parses IP:PORT. @return whether it is valid and on loopback */
bool fault_address_parse(const char *text, struct sockaddr_in *address);

/** What a rule does. */
enum fault_action {
	FAULT_CUT, /**< resets connections and refuses new ones */
	FAULT_FREEZE, /**< forwards nothing, closes nothing */
	FAULT_DELAY, /**< value: ms each way */
	FAULT_RATE, /**< value: kbit/s each way */
	FAULT_ACTION_COUNT
};

/** Address range; bits 0 matches everything. */
struct fault_range {
	uint32_t address; /**< host byte order */
	uint32_t bits;
};

/** One rule. */
struct fault_rule {
	enum fault_action action;
	struct fault_range source;
	struct fault_range target;
	uint32_t value;
};

/** All rules in force. */
struct fault_rules {
	struct fault_rule rules[FAULT_RULES_MAX];
	uint32_t count;
};

/** What applies to one pair of addresses. */
struct fault_effect {
	bool cut;
	bool frozen;
	uint32_t delay_ms;
	uint32_t rate_kbit_per_s; /**< 0: no limit */
};

/**
 * Applies a command line:
 *   cut|freeze SOURCE TARGET
 *   delay|rate SOURCE TARGET VALUE
 *   heal SOURCE TARGET        removes the rules with these ranges
 *   heal                      removes all rules
 *   list
 * A range is "*", an IP, or IP/BITS.
 * @param out receives the answer
 * @return whether the rules may have changed
 */
bool fault_command(struct fault_rules *rules, const char *line,
		   struct bw_buffer *out);

/** Combines all matching rules; the last delay and rate win. */
struct fault_effect fault_effect_of(const struct fault_rules *rules,
				    const struct sockaddr_in *source,
				    const struct sockaddr_in *target);

#endif
