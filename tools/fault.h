/**
 * @file
 * Configuration, rules and commands of the TCP fault-injection proxy.
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

/** Listening address and its target in the configuration file. */
struct fault_pair {
	char *listen; /**< IP:PORT */
	char *target; /**< IP:PORT */
	uint32_t delay_ms; /**< in each direction; added to that of a rule */
	uint32_t rate_kbit_per_s; /**< in each direction, shared by all
				   connections; 0: no limit */
};

/** Configuration file. */
struct fault_config {
	struct fault_pair *pairs;
	uint32_t pairs_count;
};

/** Loads the configuration file; free with fault_config_free. */
enum bw_status fault_config_read(const char *path, struct fault_config **config,
				 struct bw_yaml_error *error);
void fault_config_free(struct fault_config *config);

/** Parses IP:PORT. @return whether it is valid and on loopback */
bool fault_address_parse(const char *text, struct sockaddr_in *address);

/** Fault that a rule injects. */
enum fault_action {
	FAULT_CUT, /**< resets connections and refuses new ones */
	FAULT_FREEZE, /**< stops forwarding, keeps connections open */
	FAULT_DELAY, /**< value: ms in each direction */
	FAULT_RATE, /**< value: kbit/s in each direction */
	FAULT_ACTION_COUNT
};

/** Address range; a prefix length of 0 matches every address. */
struct fault_range {
	uint32_t address; /**< host byte order */
	uint32_t bits; /**< prefix length */
};

/** Fault on connections from source to target. */
struct fault_rule {
	enum fault_action action;
	struct fault_range source;
	struct fault_range target;
	uint32_t value;
};

/** All active rules. */
struct fault_rules {
	struct fault_rule rules[FAULT_RULES_MAX];
	uint32_t count;
};

/** Combined effect of the rules on one pair of addresses. */
struct fault_effect {
	bool cut;
	bool frozen;
	uint32_t delay_ms;
	uint32_t rate_kbit_per_s; /**< 0: no limit */
};

/**
 * Executes a command line:
 *   cut|freeze SOURCE TARGET
 *   delay|rate SOURCE TARGET VALUE
 *   heal SOURCE TARGET        removes the rules with these ranges
 *   heal                      removes all rules
 *   list
 * A range is "*", an IP, or IP/BITS.
 * @param out receives the reply
 * @return whether the rules may have changed
 */
bool fault_command(struct fault_rules *rules, const char *line,
		   struct bw_buffer *out);

/** Combines all matching rules; the last delay and the last rate apply. */
struct fault_effect fault_effect_of(const struct fault_rules *rules,
				    const struct sockaddr_in *source,
				    const struct sockaddr_in *target);

#endif
