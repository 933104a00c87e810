/**
 * @file
 * Inner interface of the sources of the control role.
 */
#ifndef BORAGEWINGD_GATE_CONTROL_PRIVATE_H
#define BORAGEWINGD_GATE_CONTROL_PRIVATE_H

#include "gate_control.h"

/** Most services whose demand is summed up. */
#define GATE_SERVICES_MAX 32

/** An entry host as this control host knows it. */
struct gate_entry_host {
	char name[BW_NAME_MAX]; /**< its entry address */
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	enum gate_host_state state;
	enum gate_detail detail; /**< what it asks for */
	uint64_t incarnation;
	struct bw_time heard;
	struct gate_demand demands[GATE_SERVICES_MAX];
	uint32_t demand_count;
};

/** What a waiting call waits for. */
enum gate_wait_kind {
	GATE_WAIT_COMMIT, /**< a log entry */
	GATE_WAIT_COPIES /**< a record at most control hosts */
};

/** A call whose answer waits. */
struct gate_wait {
	enum gate_wait_kind kind;
	struct bw_server_connection *connection; /**< NULL: caller is gone */
	struct bw_time deadline;
	uint64_t index; /**< COMMIT */
	uint64_t term; /**< COMMIT */
	struct gate_heartbeat sign; /**< COPIES */
	char holders[GATE_CONTROLS_MAX][BW_NAME_MAX]; /**< COPIES: have it */
	uint32_t holder_count;
};

/** Answers calls of operators, backend servers and clients. */
void gate_control_call(void *context, struct bw_server_connection *connection,
		       const struct bw_http_message *request);

/** Drops the connection of a waiting call. */
void gate_control_gone(void *context, struct bw_server_connection *connection);

/** Answers with a body of the system's own. @param location may be NULL */
void gate_respond(struct bw_server_connection *connection, uint16_t status_code,
		  const struct bw_buffer *body, const char *location);

/** Answers with an error text. */
void gate_respond_error(struct bw_server_connection *connection,
			uint16_t status_code, const char *text);

/** Handles GATE_HELLO. */
void gate_control_hello(struct gate_control *control,
			const struct bw_packet *packet,
			const struct gate_hello *hello, struct bw_time now);

/**
 * Sends a record to all hosts that have to know it. One that forbids new
 * requests goes out at once; entry hosts get it from here and from the control
 * host that tells them details, as they must not depend on one path. Others
 * wait for the next gate_control_send_records.
 */
void gate_control_spread(struct gate_control *control,
			 struct bw_server *server);

/** The same for the entry hosts that get full detail from here only. */
void gate_control_send_to_followers(struct gate_control *control,
				    struct bw_server *server);

/**
 * Sends the records that wait, many in one message: when thousands of servers
 * start, a message for each would take most of a control host's time.
 */
void gate_control_send_records(struct gate_control *control);

/** Drops the entry hosts that have fallen silent. */
void gate_control_forget_entries(struct gate_control *control,
				 struct bw_time now);

/** Sends hellos and signs of life. */
void gate_control_talk(struct gate_control *control, struct bw_time now);

/** Sends on the loads of backend servers that entry hosts saw. */
void gate_control_send_loads(struct gate_control *control);

/** Sends the status to one entry host. */
void gate_control_send_status(struct gate_control *control,
			      const struct gate_entry_host *entry);

/**
 * Sends the status to the entry hosts that get full detail from here; from the
 * leader to all of them.
 */
void gate_control_send_status_all(struct gate_control *control);

/** Handles a message of BW_CHANNEL_GATE. */
void gate_control_message(struct gate_control *control,
			  const struct bw_packet *packet, struct bw_time now);

/**
 * Tells a host all servers as signs of life; it asks for the records that it
 * does not know, or knows from earlier.
 */
void gate_control_send_table(struct gate_control *control, const char *peer);

/** Sends the records of the servers that a host asks for. */
void gate_control_send_wanted(struct gate_control *control, const char *peer,
			      const struct gate_servers *wanted);

/** Sends the configuration in force, unless it may be outdated. */
void gate_control_send_routing(struct gate_control *control, const char *peer);

/** Passes on what an entry host tells all other entry hosts. */
void gate_control_pass_on(struct gate_control *control,
			  const struct bw_packet *packet);

/** Returns how many control hosts have to hold a record to be safe. */
uint32_t gate_control_quorum(const struct gate_control *control);

/** Ends the waits that the copy of a record at a host completes. */
void gate_control_copied(struct gate_control *control, const char *host,
			 const struct gate_heartbeat *sign);

/** Returns whether this host hears most control hosts. */
bool gate_control_in_majority(const struct gate_control *control,
			      struct bw_time now);

/** Writes the directory's answer to a client. */
void gate_control_look_up(struct gate_control *control,
			  struct bw_server_connection *connection,
			  const struct gate_call *call, struct bw_time now);

#endif
