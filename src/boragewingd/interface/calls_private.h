/**
 * @file
 * Types shared by the sources of the calls module.
 */
#ifndef BORAGEWINGD_CALLS_PRIVATE_H
#define BORAGEWINGD_CALLS_PRIVATE_H

#include <ev.h>
#include <glib.h>

#include "bwbase/buffer.h"
#include "bwbase/chart.h"
#include "bwproxy/upstream.h"

#include "calls.h"
#include "command.h"
#include "directory.h"
#include "host.h"
#include "web.h"

/** Request field: key that this host has given out. */
#define CALL_HEADER_KEY "Boragewing-Key"

/** Request field: key that the caller supplies. */
#define CALL_HEADER_CALLER_KEY "Idempotency-Key"

/** Request field: marks a query for the record of a key whose owner is
 *  unreachable. */
#define CALL_HEADER_OWNER_LOST "Boragewing-Owner-Lost"

/** Response field: "absent" when the queried host has no record of the key. */
#define CALL_HEADER_RECORD "Boragewing-Record"

/** Most forwards of a request between entry hosts. */
#define CALL_HOPS_MAX 5

/** Bodies up to this size are buffered, which allows a retry. */
#define CALL_BUFFER_MAX_BYTES (64 * 1024)

/** Concurrent attempts of one call: the first and a hedge. */
#define CALL_ATTEMPTS 2

/** Most backend servers recorded as tried by one call. */
#define CALL_TRIED_MAX 8

/** Most header fields forwarded. */
#define CALL_HEADERS_MAX 64

/** States of a call (charts/request.yaml). */
enum call_state {
	CALL_RECEIVING,
	CALL_BINDING,
	CALL_CLAIMING,
	CALL_JOINED,
	CALL_QUEUED,
	CALL_RUNNING,
	CALL_WAITING,
	CALL_FORWARDING,
	CALL_STREAMING,
	CALL_FINISHED,
	CALL_STATE_COUNT
};

/** Events of the chart. */
enum call_event {
	CALL_EVENT_BIND,
	CALL_EVENT_CLAIM,
	CALL_EVENT_JOIN,
	CALL_EVENT_QUEUE,
	CALL_EVENT_START,
	CALL_EVENT_BACKOFF,
	CALL_EVENT_FORWARD,
	CALL_EVENT_STREAM,
	CALL_EVENT_END,
	CALL_EVENT_COUNT
};

/** Actions of the chart. */
enum call_action {
	CALL_ACTION_BIND,
	CALL_ACTION_DISPATCH,
	CALL_ACTION_FORWARD,
	CALL_ACTION_RELEASE,
	CALL_ACTION_COUNT
};

/** Outcome of a request as reported to the caller. */
enum call_outcome {
	CALL_RAN,
	CALL_NOT_RUN,
	CALL_MAY_HAVE_RUN,
	CALL_OUTCOME_COUNT
};

/** Values of the header Boragewing-Outcome. */
extern const char *const call_outcome_string[CALL_OUTCOME_COUNT];

struct call;

/** One request to a backend server or another entry host. */
struct call_attempt {
	struct call *call;
	struct bw_call *upstream; /**< NULL while not in use */
	uint64_t backend; /**< handle; 0 when forwarded */
	char backend_id[BW_NAME_MAX];
	uint64_t backend_incarnation;
	uint32_t in_flight; /**< on the server, including this one */
	uint64_t start_us;
	bool hedge;
	uint32_t status_code;
	bool refused; /**< the server reported that it did not run it */
	bool streaming; /**< the response is forwarded as it arrives */
	int64_t content_length_bytes;
	struct bw_buffer headers; /**< name, 0, value, 0, ... */
	struct bw_buffer body;
};

/** One request of a caller. */
struct call {
	enum web_context_kind kind; /**< first: see web.h */
	struct calls *calls;
	uint64_t id;
	struct bw_request *request; /**< NULL after the caller disconnected */
	uint8_t state; /**< an enum call_state */
	uint64_t start_us;
	struct bw_time deadline;

	char service[BW_NAME_MAX];
	uint32_t region; /**< of the caller */
	uint32_t service_index; /**< in admission control and retry */
	uint32_t rank;
	uint32_t crash_limit;
	bool idempotent;
	char *method;
	char *upstream_target; /**< path and query at the backend server */
	char *client_target; /**< path and query as received */
	struct bw_buffer body;
	bool body_complete;
	bool body_streamed; /**< not buffered, thus no attempt of this
			      host is retried or hedged */
	bool body_paused;

	struct bw_fingerprint fingerprint;
	uint8_t digest[BW_KEYS_ID_BYTES];
	bool has_key;
	bool key_claimed; /**< this host has an open run of the key */
	bool key_may_have_run; /**< bytes of that run may have been sent */
	struct bw_key key;
	char key_text[BW_KEYS_TEXT_MAX];
	uint64_t run;
	uint32_t hops;
	char forward_host[BW_NAME_MAX];
	bool owner_lost; /**< other hosts are queried for the record */
	uint32_t queried_count; /**< hosts queried so far */
	bool may_have_run; /**< bytes of an earlier attempt were sent */

	bool admitted; /**< counted as running by admission control */
	uint32_t attempts_made;
	struct call_attempt attempts[CALL_ATTEMPTS];
	struct call_attempt
		*streamed_attempt; /**< attempt whose response is streamed */
	uint64_t tried_backends[CALL_TRIED_MAX];
	uint32_t tried_backends_count;
	bool responded;
	ev_timer timer; /**< backoff or hedge delay */
	GList link; /**< in calls->active or calls->ended */
};

/** The module. */
struct calls {
	struct host *host;
	struct bw_chart chart;
	GQueue active; /**< calls in progress */
	GQueue ended; /**< finished calls that are still referenced */
	bool free_ended; /**< an ended call may have become unreferenced */
	GHashTable *by_id; /**< id -> struct call, while queued or binding */
	uint64_t next_id;
	struct bw_metric *latency[BW_SHEET_RANKS_MAX];
	struct bw_metric *outcomes[CALL_OUTCOME_COUNT];
	struct bw_metric *retries;
	struct bw_metric *hedges;
	struct bw_metric *refused;
	struct bw_metric *poisoned;
	bool start_queued; /**< a slot may have become free */
};

/** Applies an event to the state chart and performs its action. */
void call_fire(struct call *call, enum call_event event);

/**
 * Returns the outcome to report for a call whose key was not checked: a
 * request with a key may be a resend of one that has run, unless its sender
 * marks it as the first attempt.
 */
enum call_outcome call_unclaimed_outcome(const struct call *call);

/** Finds a call that is queued or whose key is being bound. */
struct call *call_find(struct calls *calls, uint64_t id);

/**
 * Reads service, kind, client region and deadline.
 * @return false when there is no such service; the call has failed
 */
bool call_read_head(struct call *call, const char *path_suffix);

/** Takes in a part of the body. */
void call_receive_body(struct call *call, const uint8_t *data,
		       size_t size_bytes);

/**
 * Pauses reading of a large body until a backend server accepts it. The
 * request digest then covers the content length only, since the body is never
 * buffered whole.
 */
void call_stream_body(struct call *call);

/** Checks the crash fingerprint, then the key, or admits idempotent work. */
void call_process_request(struct call *call);

/** Binds a key supplied by the caller to an owner, usually this host. */
void call_bind_key(struct call *call);

/** Offers a call to admission control, if its key or kind allows a run. */
void call_admit(struct call *call);

/** Fails a call because the domain has no backend server for it. */
void call_fail_no_server(struct call *call);

/** Looks up the call's key: run, join, replay, forward or refuse. */
void call_resolve_key(struct call *call);

/** Action dispatch: sends the request to a backend server. */
void call_dispatch(struct call *call);

/** Action forward: sends the request to the entry host that owns its key. */
void call_forward(struct call *call);

/** Opens an upstream request to another entry host. */
enum bw_status call_open_forward(struct call *call,
				 struct call_attempt *attempt,
				 const char *address, uint16_t port);

/** Fails a call whose key does not allow a run. */
void call_refuse_key(struct call *call,
		     const struct bw_keys_decision *decision);

/**
 * Handles a key whose owner is unreachable: responds from the local copy of
 * the record, or queries the hosts that may have a copy or may have become the
 * owner.
 */
void call_recover_record(struct call *call);

/**
 * Chooses the owner of a key supplied by the caller: another host when this
 * domain has no backend server for the service.
 * @return the host, or NULL for this one
 */
const struct directory_host *call_choose_owner(const struct call *call);

/** Forwards to the key's owner or successor, or waits for the handover. */
void call_forward_key(struct call *call,
		      const struct bw_keys_decision *decision);

/**
 * Queries the next host if the response says that the host has no record.
 * @return whether it does; the response is then not forwarded
 */
bool call_query_next_host(struct call *call,
			  const struct call_attempt *attempt);

/** Forwards body bytes of a streamed request to its upstream. */
void call_forward_body(struct call *call, const uint8_t *data,
		       size_t size_bytes);

/** Continues a streamed response when the connection is writable again. */
void call_resume_response(struct call *call);

/** Handles expiry of the timer: starts a retry or a hedged attempt. */
void call_on_timer(struct call *call);

/** Ends the attempts, queue entry, timer and open run of a call. */
void call_release(struct call *call);

/** Handles the loss of the caller's connection. */
void call_on_disconnect(struct call *call);

/**
 * Responds with an error and ends the call.
 * @param retry_after_ms 0: no Retry-After field
 */
void call_fail(struct call *call, uint32_t status_code, const char *code,
	       enum call_outcome outcome, uint32_t retry_after_ms);

/** Sends the response of a completed attempt and ends the call. */
void call_respond(struct call *call, struct call_attempt *attempt);

/** Starts to stream the response of an attempt; cancels the others. */
void call_respond_start(struct call *call, struct call_attempt *attempt);

/** Sends the recorded response of the call's key and ends the call. */
void call_replay(struct call *call, const struct bw_keys_response *response);

/** Ends the run of the key, if one is open. */
void call_end_run(struct call *call, enum bw_keys_outcome outcome,
		  const struct bw_keys_response *response);

/**
 * Lists the fields of a request to a backend server or another entry host.
 * @param values buffers for formatted values
 * @return number of fields, at most CALL_HEADERS_MAX
 */
uint32_t call_request_headers(struct call *call, bool forwarded,
			      struct bw_http_header *headers,
			      char values[4][BW_KEYS_TEXT_MAX]);

/** Stores the header fields of a response. */
void call_save_headers(struct call_attempt *attempt,
		       const struct bw_upstream_event *event);

/** Returns the time until the deadline, 0 when it has passed. */
uint32_t call_remaining_ms(const struct call *call);

/**
 * Parses stored header fields (name, 0, value, 0, ...).
 * @return number of fields, at most limit
 */
uint32_t call_read_headers(const uint8_t *blob, size_t size_bytes,
			   struct bw_http_header *headers, uint32_t limit);

#endif
