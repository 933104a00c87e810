/**
 * @file
 * State charts that are read from YAML files and interpreted at run time.
 */
#ifndef BWBASE_CHART_H
#define BWBASE_CHART_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/status.h"
#include "bwbase/yaml.h"

/** Maximum number of states, events or actions of a chart. */
#define BW_CHART_NAMES_MAX 32

/** Value of bw_chart_step.action when a transition has no action. */
#define BW_CHART_NO_ACTION 0xff

/** Names defined by the program; the index of a name is its enum value. */
struct bw_chart_names {
	const char *const *states;
	uint8_t state_count;
	const char *const *events;
	uint8_t event_count;
	const char *const *actions;
	uint8_t action_count;
};

/** Result of applying an event. */
struct bw_chart_step {
	uint8_t state; /**< state after the event */
	uint8_t action; /**< action to carry out, or BW_CHART_NO_ACTION */
};

/** A loaded chart. */
struct bw_chart {
	struct bw_chart_names names;
	uint8_t initial;
	bool final[BW_CHART_NAMES_MAX];
	struct {
		bool defined;
		struct bw_chart_step step;
	} table[BW_CHART_NAMES_MAX][BW_CHART_NAMES_MAX]; /**< state, event */
};

/**
 * Loads and checks a chart. The file must name exactly the states and events
 * of names; every state must be reachable from the initial one; every state
 * that is not final must have a transition; a pair of state and event has at
 * most one transition.
 * @param path YAML file
 * @param names names defined by the program; must outlive the chart
 * @return BW_OK, or another status with error filled
 */
enum bw_status bw_chart_load(struct bw_chart *chart, const char *path,
			     const struct bw_chart_names *names,
			     struct bw_yaml_error *error);

/**
 * Appends a Mermaid state diagram of a chart file to out. The file is checked
 * against the schema only, because the names that the program defines are not
 * available here.
 * @return BW_OK, or another status with error filled
 */
enum bw_status bw_chart_draw(const char *path, struct bw_buffer *out,
			     struct bw_yaml_error *error);

/**
 * Applies an event.
 * @return BW_OK; BW_EINVAL when the chart has no such transition (step then
 *	keeps the state and has no action)
 */
enum bw_status bw_chart_next(const struct bw_chart *chart, uint8_t state,
			     uint8_t event, struct bw_chart_step *step);

#endif
