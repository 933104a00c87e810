/*
 * Submitted configurations. The check of a large one takes longer than the
 * lease of the leader, so that it is done in slices, one submission after the
 * other.
 */
#include <sodium.h>
#include <string.h>

#include "gate_control_private.h"

/** Time of a check before other events are handled, in us. */
#define CHECK_SLICE_US 5000

/** Limit of the texts that are checked or wait for it. */
#define WAITING_MAX_BYTES (4 * (size_t)BW_SHEET_TEXT_MAX_BYTES)

/** A submission that is not checked yet. */
struct submission {
	struct bw_server_connection *connection; /**< NULL: closed */
	struct platform_routing_reader reader; /**< has a copy of the text */
	struct bw_time received_at;
	uint64_t used_us; /**< time spent on the check */
	uint32_t slice_count;
};

static void check_slice_(struct gate_control *control);
static void on_slice_(struct ev_loop *loop, ev_timer *timer, int events);
static void end_check_(struct gate_control *control, enum bw_status status,
		       struct bw_routing *routing, const char *error);
static void end_submission_(struct gate_control *control,
			    struct submission *submission,
			    enum bw_status status, struct bw_routing *routing,
			    const char *error, struct bw_time now);
static void reject_(struct gate_control *control,
		    struct bw_server_connection *connection, const char *error);
static void propose_(struct gate_control *control,
		     const struct submission *submission,
		     struct bw_routing *routing, struct bw_time now);
static void free_submission_(struct submission *submission);

void gate_control_submit(struct gate_control *control,
			 struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 struct bw_time now)
{
	struct gate_submissions *submissions = &control->submissions;
	const struct bw_buffer *body = &request->body;
	struct submission *submission;
	enum bw_status status;

	if (gate_control_redirect_to_leader(control, connection, now))
		return;
	if (submissions->waiting_bytes + body->size_bytes > WAITING_MAX_BYTES) {
		gate_control_refuse(control, connection, 503,
				    "too many submissions are being checked");
		return;
	}
	submission = g_new0(struct submission, 1);
	status = platform_routing_begin(&submission->reader, body->data,
					body->size_bytes,
					submissions->committed);
	if (status != BW_OK) {
		gate_respond_error(connection, 503, bw_status_string[status]);
		free_submission_(submission);
		return;
	}
	submission->connection = connection;
	submission->received_at = now;
	submissions->waiting_bytes += body->size_bytes;
	g_queue_push_tail(&submissions->waiting, submission);
	/* A small one is checked at once. */
	if (submissions->waiting.length == 1)
		check_slice_(control);
}

void gate_control_submissions_finish(struct gate_control *control)
{
	struct gate_submissions *submissions = &control->submissions;
	struct submission *submission;

	ev_timer_stop(control->node->loop, &submissions->timer);
	while ((submission = g_queue_pop_head(&submissions->waiting)))
		free_submission_(submission);
	bw_routing_unref(submissions->proposed);
	bw_routing_unref(submissions->committed);
}

void gate_control_note_committed(struct gate_control *control,
				 struct bw_time now)
{
	const struct bw_state *state = bw_replica_state(control->replica);
	struct gate_submissions *submissions = &control->submissions;
	struct bw_routing *before = submissions->committed;
	struct bw_routing *after = submissions->proposed;

	if (before && before->version == state->revision)
		return;
	if (after &&
	    memcmp(submissions->proposed_hash, state->hash, BW_HASH_BYTES) != 0)
		after = NULL;
	if (before && after)
		bw_retired_routes_note(&submissions->retired, before, after,
				       now);
	else
		submissions->retired.count = 0;
	bw_routing_unref(before);
	submissions->committed = after;
	if (after)
		submissions->proposed = NULL;
}

void gate_control_submission_closed(
	struct gate_control *control,
	const struct bw_server_connection *connection)
{
	GList *link;

	for (link = control->submissions.waiting.head; link;
	     link = link->next) {
		struct submission *submission = link->data;

		if (submission->connection == connection)
			submission->connection = NULL;
	}
}

/* Checks the first submission for a short time. */
static void check_slice_(struct gate_control *control)
{
	struct gate_submissions *submissions = &control->submissions;
	struct submission *submission =
		g_queue_peek_head(&submissions->waiting);
	uint64_t started_us = bw_clock_us();
	struct bw_routing *routing = NULL;
	char error[PLATFORM_ERROR_BYTES] = "";
	enum bw_status status;
	uint64_t used_us;

	do {
		status = platform_routing_step(&submission->reader, &routing,
					       error);
		used_us = bw_clock_us() - started_us;
	} while (status == BW_EAGAIN && used_us < CHECK_SLICE_US);
	submission->used_us += used_us;
	submission->slice_count++;
	if (status != BW_EAGAIN)
		end_check_(control, status, routing, error);
	if (!submissions->waiting.length)
		return;
	ev_timer_init(&submissions->timer, on_slice_, 0.0, 0.0);
	submissions->timer.data = control;
	ev_timer_start(control->node->loop, &submissions->timer);
}

static void on_slice_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gate_control *control = timer->data;

	(void)loop;
	(void)events;
	gate_node_refresh(control->node);
	check_slice_(control);
}

/* Ends the check of the first submission. */
static void end_check_(struct gate_control *control, enum bw_status status,
		       struct bw_routing *routing, const char *error)
{
	struct gate_submissions *submissions = &control->submissions;
	struct submission *submission = g_queue_pop_head(&submissions->waiting);
	struct bw_time now = gate_node_now(control->node);

	submissions->waiting_bytes -= submission->reader.text.size_bytes;
	bw_log_event(control->node->log, BW_LOG_INFO, "configuration",
		     "submission_checked", "{s:I,s:s,s:I,s:f,s:i,s:I,s:b}",
		     "version", (json_int_t)(routing ? routing->version : 0),
		     "status", bw_status_string[status], "text_bytes",
		     (json_int_t)submission->reader.text.size_bytes, "check_ms",
		     (double)submission->used_us / 1000.0, "slices",
		     (int)submission->slice_count, "age_ms",
		     (json_int_t)bw_time_diff_ms(now, submission->received_at),
		     "closed", !submission->connection);
	if (submission->connection)
		end_submission_(control, submission, status, routing, error,
				now);
	bw_routing_unref(routing);
	free_submission_(submission);
}

static void end_submission_(struct gate_control *control,
			    struct submission *submission,
			    enum bw_status status, struct bw_routing *routing,
			    const char *error, struct bw_time now)
{
	struct bw_server_connection *connection = submission->connection;

	switch (status) {
	case BW_OK:
		/* The lease may have ended during the check. */
		if (!gate_control_redirect_to_leader(control, connection, now))
			propose_(control, submission, routing, now);
		break;
	case BW_EINVAL:
		reject_(control, connection, error);
		break;
	default:
		gate_respond_error(connection, 503, bw_status_string[status]);
		break;
	}
}

static void reject_(struct gate_control *control,
		    struct bw_server_connection *connection, const char *error)
{
	const struct bw_state *state = bw_replica_state(control->replica);

	bw_log_event(control->node->log, BW_LOG_WARNING, "configuration",
		     "submission_invalid", "{s:s,s:I}", "cause", error,
		     "version_in_force", (json_int_t)state->revision);
	gate_refusals_count_call(&control->refusals, 400);
	gate_respond_error(connection, 400, error);
}

static void propose_(struct gate_control *control,
		     const struct submission *submission,
		     struct bw_routing *routing, struct bw_time now)
{
	struct bw_server_connection *connection = submission->connection;
	struct bw_submit submit = { .accept_wall_ms = bw_wall_ms() };
	struct bw_buffer command;
	enum bw_status status;

	submit.revision = routing->version;
	submit.text = submission->reader.text.data;
	submit.text_size_bytes = submission->reader.text.size_bytes;
	crypto_generichash(submit.hash, BW_HASH_BYTES, submit.text,
			   submit.text_size_bytes, NULL, 0);
	sodium_bin2hex(submit.id, sizeof(submit.id), submit.hash,
		       BW_HASH_BYTES);
	bw_buffer_init(&command);
	status = bw_command_submit(&command, &submit);
	if (status == BW_OK) {
		bw_routing_unref(control->submissions.proposed);
		control->submissions.proposed = bw_routing_ref(routing);
		memcpy(control->submissions.proposed_hash, submit.hash,
		       BW_HASH_BYTES);
		gate_control_propose(control, connection, &command, now);
	} else if (status == BW_EFULL)
		gate_control_refuse(
			control, connection, 413,
			"the configuration is larger than 8 MiB, or than "
			"700 KiB when it is compressed");
	else
		gate_control_refuse(control, connection, 503,
				    bw_status_string[status]);
	bw_buffer_finish(&command);
}

static void free_submission_(struct submission *submission)
{
	platform_routing_end(&submission->reader);
	g_free(submission);
}
