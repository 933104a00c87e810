#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fault.h"

#define FILE_LIMIT_BYTES 1048576
#define TEXT_BYTES 64
#define WORD_BYTES 32
#define ADDRESS_BITS 32

static bool parse_range_(const char *text, struct fault_range *range);
static bool range_contains_(const struct fault_range *range,
			    const struct sockaddr_in *address);
static bool ranges_equal_(const struct fault_range *a,
			  const struct fault_range *b);
static uint32_t remove_rules_(struct fault_rules *rules,
			      const struct fault_range *source,
			      const struct fault_range *target);
static void print_rules_(const struct fault_rules *rules,
			 struct bw_buffer *out);
static void print_range_(const struct fault_range *range,
			 struct bw_buffer *out);

static const char *const action_names_[FAULT_ACTION_COUNT] = { "cut", "freeze",
							       "delay",
							       "rate" };

static const cyaml_schema_field_t pair_fields_[] = {
	CYAML_FIELD_STRING_PTR("listen", CYAML_FLAG_POINTER, struct fault_pair,
			       listen, 1, TEXT_BYTES),
	CYAML_FIELD_STRING_PTR("target", CYAML_FLAG_POINTER, struct fault_pair,
			       target, 1, TEXT_BYTES),
	CYAML_FIELD_UINT("delay_ms", CYAML_FLAG_OPTIONAL, struct fault_pair,
			 delay_ms),
	CYAML_FIELD_UINT("rate_kbit_per_s", CYAML_FLAG_OPTIONAL,
			 struct fault_pair, rate_kbit_per_s),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t pair_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct fault_pair, pair_fields_) };
static const cyaml_schema_field_t config_fields_[] = {
	CYAML_FIELD_SEQUENCE("pairs", CYAML_FLAG_POINTER, struct fault_config,
			     pairs, &pair_schema_, 1, FAULT_PAIRS_MAX),
	CYAML_FIELD_END
};
static const cyaml_schema_value_t config_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct fault_config, config_fields_) };

enum bw_status fault_config_read(const char *path, struct fault_config **config,
				 struct bw_yaml_error *error)
{
	struct bw_buffer text = { 0 };
	void *loaded = NULL;
	enum bw_status status;

	status = bw_file_read(path, FILE_LIMIT_BYTES, &text, error);
	if (status == BW_OK)
		status = bw_yaml_load(text.data, text.size_bytes,
				      &config_schema_, &loaded, error);
	bw_buffer_finish(&text);
	*config = status == BW_OK ? loaded : NULL;
	return status;
}

void fault_config_free(struct fault_config *config)
{
	bw_yaml_free(&config_schema_, config);
}

bool fault_address_parse(const char *text, struct sockaddr_in *address)
{
	char ip[INET_ADDRSTRLEN];
	unsigned int port;

	memset(address, 0, sizeof(*address));
	address->sin_family = AF_INET;
	if (sscanf(text, "%15[0-9.]:%5u", ip, &port) != 2 || !port ||
	    port > UINT16_MAX ||
	    inet_pton(AF_INET, ip, &address->sin_addr) != 1)
		return false;
	address->sin_port = htons((uint16_t)port);
	return ntohl(address->sin_addr.s_addr) >> 24 == IN_LOOPBACKNET;
}

bool fault_command(struct fault_rules *rules, const char *line,
		   struct bw_buffer *out)
{
	char words[4][WORD_BYTES];
	struct fault_rule rule = { 0 };
	struct fault_range any = { 0 };
	int count = sscanf(line, "%31s %31s %31s %31s", words[0], words[1],
			   words[2], words[3]);
	int action;

	if (count <= 0)
		return false;
	if (count == 1 && !strcmp(words[0], "list")) {
		print_rules_(rules, out);
		return false;
	}
	if (count == 1 && !strcmp(words[0], "heal")) {
		rules->count = 0;
		bw_buffer_printf(out, "ok\n");
		return true;
	}
	rule.source = rule.target = any;
	if (count < 3 || !parse_range_(words[1], &rule.source) ||
	    !parse_range_(words[2], &rule.target))
		goto bad;
	if (!strcmp(words[0], "heal")) {
		bw_buffer_printf(out, "ok removed %u\n",
				 remove_rules_(rules, &rule.source,
					       &rule.target));
		return true;
	}
	for (action = 0; action < FAULT_ACTION_COUNT; action++) {
		if (!strcmp(action_names_[action], words[0]))
			break;
	}
	if (action == FAULT_ACTION_COUNT ||
	    count != (action >= FAULT_DELAY ? 4 : 3))
		goto bad;
	if (rules->count == FAULT_RULES_MAX) {
		bw_buffer_printf(out, "error too many rules\n");
		return false;
	}
	rule.action = (enum fault_action)action;
	if (count == 4)
		rule.value = (uint32_t)strtoul(words[3], NULL, 10);
	rules->rules[rules->count++] = rule;
	bw_buffer_printf(out, "ok\n");
	return true;
bad:
	bw_buffer_printf(out, "error bad command\n");
	return false;
}

struct fault_effect fault_effect_of(const struct fault_rules *rules,
				    const struct sockaddr_in *source,
				    const struct sockaddr_in *target)
{
	struct fault_effect effect = { 0 };
	uint32_t i;

	for (i = 0; i < rules->count; i++) {
		const struct fault_rule *rule = &rules->rules[i];

		if (!range_contains_(&rule->source, source) ||
		    !range_contains_(&rule->target, target))
			continue;
		switch (rule->action) {
		case FAULT_CUT:
			effect.cut = true;
			break;
		case FAULT_FREEZE:
			effect.frozen = true;
			break;
		case FAULT_DELAY:
			effect.delay_ms = rule->value;
			break;
		case FAULT_RATE:
			effect.rate_kbit_per_s = rule->value;
			break;
		case FAULT_ACTION_COUNT:
			break;
		}
	}
	return effect;
}

static bool parse_range_(const char *text, struct fault_range *range)
{
	char ip[INET_ADDRSTRLEN];
	struct in_addr address;
	unsigned int bits = ADDRESS_BITS;

	memset(range, 0, sizeof(*range));
	if (!strcmp(text, "*"))
		return true;
	if (sscanf(text, "%15[0-9.]/%2u", ip, &bits) < 1 ||
	    bits > ADDRESS_BITS || inet_pton(AF_INET, ip, &address) != 1)
		return false;
	range->address = ntohl(address.s_addr);
	range->bits = bits;
	return true;
}

static bool range_contains_(const struct fault_range *range,
			    const struct sockaddr_in *address)
{
	uint32_t value = ntohl(address->sin_addr.s_addr);

	if (!range->bits)
		return true;
	return (value ^ range->address) >> (ADDRESS_BITS - range->bits) == 0;
}

static bool ranges_equal_(const struct fault_range *a,
			  const struct fault_range *b)
{
	return a->address == b->address && a->bits == b->bits;
}

static uint32_t remove_rules_(struct fault_rules *rules,
			      const struct fault_range *source,
			      const struct fault_range *target)
{
	uint32_t kept_count = 0;
	uint32_t removed;
	uint32_t i;

	for (i = 0; i < rules->count; i++) {
		if (!ranges_equal_(&rules->rules[i].source, source) ||
		    !ranges_equal_(&rules->rules[i].target, target))
			rules->rules[kept_count++] = rules->rules[i];
	}
	removed = rules->count - kept_count;
	rules->count = kept_count;
	return removed;
}

static void print_rules_(const struct fault_rules *rules, struct bw_buffer *out)
{
	uint32_t i;

	for (i = 0; i < rules->count; i++) {
		bw_buffer_printf(out, "%s ",
				 action_names_[rules->rules[i].action]);
		print_range_(&rules->rules[i].source, out);
		print_range_(&rules->rules[i].target, out);
		bw_buffer_printf(out, "%u\n", rules->rules[i].value);
	}
	bw_buffer_printf(out, "ok\n");
}

static void print_range_(const struct fault_range *range, struct bw_buffer *out)
{
	struct in_addr address = { .s_addr = htonl(range->address) };
	char ip[INET_ADDRSTRLEN];

	inet_ntop(AF_INET, &address, ip, sizeof(ip));
	if (range->bits)
		bw_buffer_printf(out, "%s/%u ", ip, range->bits);
	else
		bw_buffer_printf(out, "* ");
}
