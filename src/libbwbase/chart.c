#include "bwbase/chart.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define CHART_MAX_BYTES 65536
#define NAME_MAX_BYTES 48

/** One transition as written in the file. */
struct transition {
	char *from;
	char *event;
	char *to;
	char *action; /**< NULL when there is none */
};

/** A chart as written in the file. */
struct document {
	char *name;
	char *initial;
	char **states;
	uint32_t states_count;
	char **events;
	uint32_t events_count;
	char **final;
	uint32_t final_count;
	struct transition *transitions;
	uint32_t transitions_count;
};

static const cyaml_schema_field_t transition_fields_[] = {
	CYAML_FIELD_STRING_PTR("from", CYAML_FLAG_POINTER, struct transition,
			       from, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("event", CYAML_FLAG_POINTER, struct transition,
			       event, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("to", CYAML_FLAG_POINTER, struct transition, to,
			       1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("action",
			       CYAML_FLAG_POINTER | CYAML_FLAG_OPTIONAL,
			       struct transition, action, 1, NAME_MAX_BYTES),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t transition_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_DEFAULT, struct transition, transition_fields_) };

static const cyaml_schema_value_t name_schema_ = { CYAML_VALUE_STRING(
	CYAML_FLAG_POINTER, char, 1, NAME_MAX_BYTES) };

static const cyaml_schema_field_t document_fields_[] = {
	CYAML_FIELD_STRING_PTR("name", CYAML_FLAG_POINTER, struct document,
			       name, 1, NAME_MAX_BYTES),
	CYAML_FIELD_STRING_PTR("initial", CYAML_FLAG_POINTER, struct document,
			       initial, 1, NAME_MAX_BYTES),
	CYAML_FIELD_SEQUENCE("states", CYAML_FLAG_POINTER, struct document,
			     states, &name_schema_, 1, BW_CHART_NAMES_MAX),
	CYAML_FIELD_SEQUENCE("events", CYAML_FLAG_POINTER, struct document,
			     events, &name_schema_, 1, BW_CHART_NAMES_MAX),
	CYAML_FIELD_SEQUENCE("final", CYAML_FLAG_POINTER, struct document,
			     final, &name_schema_, 0, BW_CHART_NAMES_MAX),
	CYAML_FIELD_SEQUENCE("transitions", CYAML_FLAG_POINTER, struct document,
			     transitions, &transition_schema_, 1,
			     CYAML_UNLIMITED),
	CYAML_FIELD_END
};

static const cyaml_schema_value_t document_schema_ = { CYAML_VALUE_MAPPING(
	CYAML_FLAG_POINTER, struct document, document_fields_) };

static int find_name_(const char *const *names, uint8_t count,
		      const char *name);
static enum bw_status
check_names_(struct bw_yaml_lines *lines, const char *list, char **file_names,
	     uint32_t file_count, const char *const *program_names,
	     uint8_t program_count, struct bw_yaml_error *error);
static enum bw_status add_transition_(struct bw_chart *chart,
				      const struct document *document,
				      uint32_t index,
				      struct bw_yaml_lines *lines,
				      struct bw_yaml_error *error);
static enum bw_status build_table_(struct bw_chart *chart,
				   const struct document *document,
				   struct bw_yaml_lines *lines,
				   struct bw_yaml_error *error);
static enum bw_status check_graph_(const struct bw_chart *chart,
				   struct bw_yaml_lines *lines,
				   struct bw_yaml_error *error);
static void mark_reachable_(const struct bw_chart *chart, uint8_t state,
			    bool *reachable);
static enum bw_status set_error_(struct bw_yaml_error *error, uint32_t line,
				 const char *format, const char *name)
	__attribute__((format(printf, 3, 0)));

enum bw_status bw_chart_load(struct bw_chart *chart, const char *path,
			     const struct bw_chart_names *names,
			     struct bw_yaml_error *error)
{
	struct bw_buffer text;
	struct bw_yaml_lines lines = { 0 };
	struct document *document = NULL;
	void *loaded = NULL;
	enum bw_status status;

	memset(chart, 0, sizeof(*chart));
	chart->names = *names;
	bw_buffer_init(&text);
	status = bw_file_read(path, CHART_MAX_BYTES, &text, error);
	if (status != BW_OK)
		goto out;
	status = bw_yaml_load(text.data, text.size_bytes, &document_schema_,
			      &loaded, error);
	document = loaded;
	if (status != BW_OK)
		goto out;
	status = bw_yaml_lines_init(&lines, text.data, text.size_bytes);
	if (status != BW_OK)
		goto out;
	status = build_table_(chart, document, &lines, error);
	if (status != BW_OK)
		goto out;
	status = check_graph_(chart, &lines, error);
out:
	bw_yaml_lines_finish(&lines);
	bw_yaml_free(&document_schema_, document);
	bw_buffer_finish(&text);
	return status;
}

enum bw_status bw_chart_draw(const char *path, struct bw_buffer *out,
			     struct bw_yaml_error *error)
{
	const struct document *document;
	const struct transition *transition;
	struct bw_buffer text;
	void *loaded = NULL;
	enum bw_status status;
	uint32_t i;

	bw_buffer_init(&text);
	status = bw_file_read(path, CHART_MAX_BYTES, &text, error);
	if (status == BW_OK)
		status = bw_yaml_load(text.data, text.size_bytes,
				      &document_schema_, &loaded, error);
	if (status != BW_OK)
		goto out;
	document = loaded;
	bw_buffer_printf(out, "stateDiagram-v2\n    [*] --> %s\n",
			 document->initial);
	for (i = 0; i < document->transitions_count; i++) {
		transition = &document->transitions[i];
		bw_buffer_printf(out, "    %s --> %s : %s%s%s\n",
				 transition->from, transition->to,
				 transition->event,
				 transition->action ? " / " : "",
				 transition->action ? transition->action : "");
	}
	for (i = 0; i < document->final_count; i++)
		bw_buffer_printf(out, "    %s --> [*]\n", document->final[i]);
out:
	bw_yaml_free(&document_schema_, loaded);
	bw_buffer_finish(&text);
	return status;
}

enum bw_status bw_chart_next(const struct bw_chart *chart, uint8_t state,
			     uint8_t event, struct bw_chart_step *step)
{
	step->state = state;
	step->action = BW_CHART_NO_ACTION;
	if (state >= chart->names.state_count ||
	    event >= chart->names.event_count ||
	    !chart->table[state][event].defined)
		return BW_EINVAL;
	*step = chart->table[state][event].step;
	return BW_OK;
}

static enum bw_status build_table_(struct bw_chart *chart,
				   const struct document *document,
				   struct bw_yaml_lines *lines,
				   struct bw_yaml_error *error)
{
	const struct bw_chart_names *names = &chart->names;
	enum bw_status status;
	uint32_t i;
	int found;

	status = check_names_(lines, "states", document->states,
			      document->states_count, names->states,
			      names->state_count, error);
	if (status != BW_OK)
		return status;
	status = check_names_(lines, "events", document->events,
			      document->events_count, names->events,
			      names->event_count, error);
	if (status != BW_OK)
		return status;
	found = find_name_(names->states, names->state_count,
			   document->initial);
	if (found < 0)
		return set_error_(error, bw_yaml_line(lines, "initial"),
				  "unknown state '%s'", document->initial);
	chart->initial = (uint8_t)found;
	for (i = 0; i < document->final_count; i++) {
		found = find_name_(names->states, names->state_count,
				   document->final[i]);
		if (found < 0)
			return set_error_(error,
					  bw_yaml_line(lines, "final[%u]", i),
					  "unknown state '%s'",
					  document->final[i]);
		chart->final[found] = true;
	}
	for (i = 0; i < document->transitions_count; i++) {
		status = add_transition_(chart, document, i, lines, error);
		if (status != BW_OK)
			return status;
	}
	return BW_OK;
}

static enum bw_status add_transition_(struct bw_chart *chart,
				      const struct document *document,
				      uint32_t index,
				      struct bw_yaml_lines *lines,
				      struct bw_yaml_error *error)
{
	const struct bw_chart_names *names = &chart->names;
	const struct transition *transition = &document->transitions[index];
	uint32_t line = bw_yaml_line(lines, "transitions[%u]", index);
	int from =
		find_name_(names->states, names->state_count, transition->from);
	int to = find_name_(names->states, names->state_count, transition->to);
	int event = find_name_(names->events, names->event_count,
			       transition->event);
	int action = BW_CHART_NO_ACTION;

	if (from < 0)
		return set_error_(error, line, "unknown state '%s'",
				  transition->from);
	if (to < 0)
		return set_error_(error, line, "unknown state '%s'",
				  transition->to);
	if (event < 0)
		return set_error_(error, line, "unknown event '%s'",
				  transition->event);
	if (transition->action) {
		action = find_name_(names->actions, names->action_count,
				    transition->action);
		if (action < 0)
			return set_error_(error, line, "unknown action '%s'",
					  transition->action);
	}
	if (chart->table[from][event].defined)
		return set_error_(
			error, line,
			"duplicate transition for event '%s' from this state",
			transition->event);
	chart->table[from][event].defined = true;
	chart->table[from][event].step.state = (uint8_t)to;
	chart->table[from][event].step.action = (uint8_t)action;
	return BW_OK;
}

static enum bw_status
check_names_(struct bw_yaml_lines *lines, const char *list, char **file_names,
	     uint32_t file_count, const char *const *program_names,
	     uint8_t program_count, struct bw_yaml_error *error)
{
	bool seen[BW_CHART_NAMES_MAX] = { false };
	uint32_t i;
	int found;

	for (i = 0; i < file_count; i++) {
		found = find_name_(program_names, program_count, file_names[i]);
		if (found < 0)
			return set_error_(
				error, bw_yaml_line(lines, "%s[%u]", list, i),
				"'%s' is not defined by the program",
				file_names[i]);
		if (seen[found])
			return set_error_(
				error, bw_yaml_line(lines, "%s[%u]", list, i),
				"'%s' is listed twice", file_names[i]);
		seen[found] = true;
	}
	for (i = 0; i < program_count; i++) {
		if (!seen[i])
			return set_error_(error,
					  bw_yaml_line(lines, "%s", list),
					  "'%s' is missing", program_names[i]);
	}
	return BW_OK;
}

static enum bw_status check_graph_(const struct bw_chart *chart,
				   struct bw_yaml_lines *lines,
				   struct bw_yaml_error *error)
{
	bool reachable[BW_CHART_NAMES_MAX] = { false };
	uint32_t line = bw_yaml_line(lines, "transitions");
	bool has_transition;
	uint8_t state;
	uint8_t event;

	mark_reachable_(chart, chart->initial, reachable);
	for (state = 0; state < chart->names.state_count; state++) {
		if (!reachable[state])
			return set_error_(error, line,
					  "state '%s' cannot be reached",
					  chart->names.states[state]);
		has_transition = false;
		for (event = 0; event < chart->names.event_count; event++)
			has_transition |= chart->table[state][event].defined;
		if (!has_transition && !chart->final[state])
			return set_error_(
				error, line,
				"state '%s' is not final and has no transition",
				chart->names.states[state]);
	}
	return BW_OK;
}

static void mark_reachable_(const struct bw_chart *chart, uint8_t state,
			    bool *reachable)
{
	uint8_t event;

	if (reachable[state])
		return;
	reachable[state] = true;
	for (event = 0; event < chart->names.event_count; event++) {
		if (chart->table[state][event].defined)
			mark_reachable_(chart,
					chart->table[state][event].step.state,
					reachable);
	}
}

static int find_name_(const char *const *names, uint8_t count, const char *name)
{
	uint8_t i;

	for (i = 0; i < count; i++) {
		if (!strcmp(names[i], name))
			return i;
	}
	return -1;
}

static enum bw_status set_error_(struct bw_yaml_error *error, uint32_t line,
				 const char *format, const char *name)
{
	error->line = line;
	snprintf(error->text, sizeof(error->text), format, name);
	return BW_EINVAL;
}
