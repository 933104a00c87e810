#include "gate.h"

#include <malloc.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "gate_control.h"
#include "gate_entry.h"
#include "gate_node.h"
#include "platform.h"

#define EXIT_SETTINGS 2

/**
 * Memory blocks from this size go back to the system when they are freed. Set
 * because the C library otherwise raises it to the size of freed bodies.
 */
#define MMAP_THRESHOLD_BYTES (128 * 1024)

/** Maximum size of the buffered log lines. */
#define LOG_PENDING_MAX_BYTES (256 * 1024)

/** Interval of writes of the log buffer. */
#define LOG_FLUSH_S 0.25

/** Interval of checks for changed settings. */
#define SETTINGS_CHECK_S 1.0

/**
 * Fraction of the grace time after which an idle process exits. Until then,
 * clients with an outdated directory response still connect.
 */
#define LINGER_FRACTION 0.5

/** Fraction of the grace time after which requests in progress are ended. */
#define REQUESTS_END_FRACTION 0.9

/**
 * Fraction of the grace time after which the process exits in any case. Until
 * then, responses that clients read slowly are sent.
 */
#define EXIT_FRACTION 0.97

/** A gateway host. */
struct gate {
	struct gate_node node;
	struct gate_control control;
	struct gate_entry entry;
	struct bw_log log;
	const char *settings_path;
	bool has_control;
	bool has_entry;
	ev_timer tick_timer;
	ev_timer log_timer;
	ev_timer settings_timer;
	ev_prepare before_wait;
	ev_signal terminate;
	ev_signal interrupt;
	ev_signal reload;
	ev_signal dump;
	struct bw_time stop_started_at;
	bool requests_ended;
};

static enum bw_status load_settings_(const char *path, int metrics_port,
				     struct gate_settings *settings,
				     char *error);
static enum bw_status start_host_(struct gate *gate,
				  const struct gate_settings *settings,
				  struct ev_loop *loop);
static void start_timers_(struct gate *gate);
static void start_signals_(struct gate *gate);
static void on_packet_(void *context, const struct bw_packet *packet);
static void on_tick_(struct ev_loop *loop, ev_timer *timer, int events);
static void on_log_flush_(struct ev_loop *loop, ev_timer *timer, int events);
static void on_settings_check_(struct ev_loop *loop, ev_timer *timer,
			       int events);
static void on_before_wait_(struct ev_loop *loop, ev_prepare *watcher,
			    int events);
static void on_stop_(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_reload_(struct ev_loop *loop, ev_signal *watcher, int events);
static void on_dump_(struct ev_loop *loop, ev_signal *watcher, int events);
static void stop_entry_(struct gate *gate, double age_ms);
static void exit_if_due_(struct gate *gate, struct bw_time now);
static void reload_settings_(struct gate *gate, const char *cause);

int gate_run(const char *settings_path, int metrics_port, bool check_only)
{
	const char *path = settings_path ? settings_path
					 : platform_settings_path();
	struct ev_loop *loop = ev_default_loop(EVFLAG_AUTO);
	struct gate_settings settings;
	struct gate *gate;
	char error[PLATFORM_ERROR_BYTES] = "";
	int code = EXIT_FAILURE;

	if (load_settings_(path, metrics_port, &settings, error) != BW_OK) {
		fprintf(stderr, "boragewingd: %s: %s\n", path, error);
		return EXIT_SETTINGS;
	}
	if (check_only) {
		printf("%s: ok\n", path);
		return EXIT_SUCCESS;
	}
	/* One arena returns more freed memory to the system after a peak,
	 * which matters on small hosts. */
	mallopt(M_ARENA_MAX, 1);
	mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES);
	signal(SIGPIPE, SIG_IGN);
	gate = calloc(1, sizeof(*gate));
	if (!gate || !loop) {
		fprintf(stderr, "boragewingd: no memory\n");
		free(gate);
		return EXIT_FAILURE;
	}
	gate->settings_path = path;
	bw_log_init_buffered(&gate->log, STDOUT_FILENO, LOG_PENDING_MAX_BYTES,
			     BW_LOG_INFO, settings.host);
	if (start_host_(gate, &settings, loop) == BW_OK) {
		ev_run(loop, 0);
		code = EXIT_SUCCESS;
		bw_log_event(&gate->log, BW_LOG_INFO, "host", "stopped", NULL);
	}
	gate_entry_finish(&gate->entry);
	gate_control_finish(&gate->control);
	gate_node_finish(&gate->node);
	bw_log_flush(&gate->log);
	bw_log_finish(&gate->log);
	free(gate);
	return code;
}

static enum bw_status load_settings_(const char *path, int metrics_port,
				     struct gate_settings *settings,
				     char *error)
{
	enum bw_status status = platform_settings_load(path, settings, error);

	if (status == BW_OK && metrics_port > 0)
		snprintf(settings->metrics_address,
			 sizeof(settings->metrics_address), "%.15s:%u",
			 settings->ip, (unsigned int)metrics_port);
	return status;
}

static enum bw_status start_host_(struct gate *gate,
				  const struct gate_settings *settings,
				  struct ev_loop *loop)
{
	enum bw_status status;

	status = gate_node_init(&gate->node, settings, loop, &gate->log,
				on_packet_, gate);
	if (status == BW_OK && settings->control_address[0]) {
		status = gate_control_init(&gate->control, &gate->node);
		gate->has_control = status == BW_OK;
	}
	if (status == BW_OK && settings->entry_address[0]) {
		status = gate_entry_init(&gate->entry, &gate->node);
		gate->has_entry = status == BW_OK;
	}
	if (status != BW_OK)
		return status;
	start_timers_(gate);
	start_signals_(gate);
	bw_log_event(&gate->log, BW_LOG_INFO, "host", "started",
		     "{s:s,s:s,s:b,s:b,s:b,s:s}", "name", gate->node.name,
		     "domain", settings->domain, "entry", gate->has_entry,
		     "control", gate->has_control, "first_start",
		     settings->first_start, "transport_key", "none");
	return BW_OK;
}

static void start_timers_(struct gate *gate)
{
	struct ev_loop *loop = gate->node.loop;

	ev_timer_init(&gate->tick_timer, on_tick_, GATE_TICK_S, GATE_TICK_S);
	gate->tick_timer.data = gate;
	ev_timer_start(loop, &gate->tick_timer);
	ev_timer_init(&gate->log_timer, on_log_flush_, LOG_FLUSH_S,
		      LOG_FLUSH_S);
	gate->log_timer.data = gate;
	ev_timer_start(loop, &gate->log_timer);
	ev_timer_init(&gate->settings_timer, on_settings_check_,
		      SETTINGS_CHECK_S, SETTINGS_CHECK_S);
	gate->settings_timer.data = gate;
	ev_timer_start(loop, &gate->settings_timer);
	ev_prepare_init(&gate->before_wait, on_before_wait_);
	gate->before_wait.data = gate;
	ev_prepare_start(loop, &gate->before_wait);
}

static void start_signals_(struct gate *gate)
{
	struct ev_loop *loop = gate->node.loop;

	ev_signal_init(&gate->terminate, on_stop_, SIGTERM);
	gate->terminate.data = gate;
	ev_signal_start(loop, &gate->terminate);
	ev_signal_init(&gate->interrupt, on_stop_, SIGINT);
	gate->interrupt.data = gate;
	ev_signal_start(loop, &gate->interrupt);
	ev_signal_init(&gate->reload, on_reload_, SIGHUP);
	gate->reload.data = gate;
	ev_signal_start(loop, &gate->reload);
	ev_signal_init(&gate->dump, on_dump_, SIGUSR1);
	gate->dump.data = gate;
	ev_signal_start(loop, &gate->dump);
}

static void on_packet_(void *context, const struct bw_packet *packet)
{
	struct gate *gate = context;
	struct bw_time now = gate->has_control ? gate_node_refresh(&gate->node)
					       : gate_node_now(&gate->node);

	if (gate->has_control)
		gate_control_receive(&gate->control, packet, now);
	if (gate->has_entry)
		gate_entry_receive(&gate->entry, packet, now);
}

static void on_tick_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gate *gate = timer->data;
	struct bw_time now = gate_node_now(&gate->node);

	(void)loop;
	(void)events;
	if (gate->has_control)
		gate_control_tick(&gate->control, now);
	if (gate->has_entry)
		gate_entry_tick(&gate->entry, now);
	if (gate->node.stopping)
		exit_if_due_(gate, now);
}

static void on_log_flush_(struct ev_loop *loop, ev_timer *timer, int events)
{
	struct gate *gate = timer->data;

	(void)loop;
	(void)events;
	bw_log_flush(&gate->log);
}

static void on_settings_check_(struct ev_loop *loop, ev_timer *timer,
			       int events)
{
	(void)loop;
	(void)events;
	reload_settings_(timer->data, "file_changed");
}

/* Commits all proposals of one iteration of the loop with one sync. */
static void on_before_wait_(struct ev_loop *loop, ev_prepare *watcher,
			    int events)
{
	struct gate *gate = watcher->data;

	(void)loop;
	(void)events;
	if (gate->has_control)
		gate_control_flush(&gate->control, gate_node_now(&gate->node));
}

static void on_stop_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct gate *gate = watcher->data;
	double grace_ms = gate->node.settings.grace_ms;

	(void)loop;
	(void)events;
	if (gate->node.stopping)
		return;
	gate->node.stopping = true;
	gate->stop_started_at = gate_node_now(&gate->node);
	bw_log_event(&gate->log, BW_LOG_INFO, "host", "stopping", "{s:i,s:i}",
		     "grace_ms", (int)gate->node.settings.grace_ms, "signal",
		     watcher->signum);
	if (gate->has_entry)
		gate_entry_stop(&gate->entry,
				bw_time_add(gate->stop_started_at,
					    (int64_t)(REQUESTS_END_FRACTION *
						      grace_ms)));
	if (gate->has_control)
		gate_control_stop(&gate->control);
}

static void on_reload_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct gate *gate = watcher->data;

	(void)loop;
	(void)events;
	bw_log_event(&gate->log, BW_LOG_INFO, "host", "reload", "{s:s}",
		     "cause", "signal");
	reload_settings_(gate, "signal");
}

static void on_dump_(struct ev_loop *loop, ev_signal *watcher, int events)
{
	struct gate *gate = watcher->data;
	json_t *state = json_object();

	(void)loop;
	(void)events;
	gate_node_dump(&gate->node, gate_node_now(&gate->node), state);
	if (gate->has_entry)
		gate_entry_dump(&gate->entry, state);
	if (gate->has_control)
		gate_control_dump(&gate->control, state);
	bw_log_event(&gate->log, BW_LOG_WARNING, "host", "state_dump", "{s:o}",
		     "state", state);
}

/*
 * Clients with an outdated directory response still connect to a stopping host
 * for a while, and responses take their time. Each request that was read gets a
 * response before the process exits.
 */
static void stop_entry_(struct gate *gate, double age_ms)
{
	double grace_ms = gate->node.settings.grace_ms;

	if (age_ms <= LINGER_FRACTION * grace_ms)
		return;
	bw_listener_close_idle(&gate->entry.clients);
	if (gate->requests_ended || age_ms <= REQUESTS_END_FRACTION * grace_ms)
		return;
	gate->requests_ended = true;
	gate_entry_end_requests(&gate->entry);
}

static void exit_if_due_(struct gate *gate, struct bw_time now)
{
	double grace_ms = gate->node.settings.grace_ms;
	double age_ms = (double)bw_time_diff_ms(now, gate->stop_started_at);
	bool idle = !gate->has_control || gate_control_is_idle(&gate->control);

	if (gate->has_entry) {
		stop_entry_(gate, age_ms);
		idle = idle && age_ms > LINGER_FRACTION * grace_ms &&
		       (gate_entry_is_idle(&gate->entry) ||
			(gate->requests_ended &&
			 bw_listener_is_flushed(&gate->entry.clients)));
	}
	if (idle || age_ms > EXIT_FRACTION * grace_ms)
		ev_break(gate->node.loop, EVBREAK_ALL);
}

/* Applies changed seeds; addresses and roles change only with a restart. */
static void reload_settings_(struct gate *gate, const char *cause)
{
	struct gate_node *node = &gate->node;
	struct gate_settings settings;
	char error[PLATFORM_ERROR_BYTES] = "";

	if (platform_settings_load(gate->settings_path, &settings, error) !=
	    BW_OK) {
		bw_log_event(node->log, BW_LOG_WARNING, "host",
			     "settings_unreadable", "{s:s,s:s}", "cause", error,
			     "trigger", cause);
		return;
	}
	if (!memcmp(settings.seeds, node->settings.seeds,
		    sizeof(settings.seeds)))
		return;
	memcpy(node->settings.seeds, settings.seeds, sizeof(settings.seeds));
	node->settings.seed_count = settings.seed_count;
	gate_node_update_seeds(node, &settings, gate_node_now(node));
	bw_log_event(node->log, BW_LOG_INFO, "host", "settings_changed",
		     "{s:s,s:i}", "trigger", cause, "seeds",
		     (int)settings.seed_count);
}
