/**
 * @file
 * Internal interface shared by the source files of the control role.
 */
#ifndef BORAGEWINGD_GATE_CONTROL_PRIVATE_H
#define BORAGEWINGD_GATE_CONTROL_PRIVATE_H

#include "gate_control.h"
#include "platform.h"

/** Maximum number of services in the demand of an entry host. */
#define GATE_SERVICES_MAX 32

/** State of an entry host, from its last hello. */
struct gate_entry_host {
	char name[BW_NAME_MAX]; /**< its entry address */
	char domain[BW_NAME_MAX];
	char region[BW_NAME_MAX];
	enum gate_host_state state;
	enum gate_detail detail; /**< requested level of detail */
	uint64_t incarnation;
	struct bw_time last_hello_at; /**< arrival time */
	uint64_t hello_sent_ms; /**< when the entry host sent it */
	uint64_t routing_version; /**< in force there */
	bool accepts_silence; /**< see struct gate_hello */
	uint64_t used_domains; /**< bit set of failure domains whose loads it
				    uses */
	struct bw_time details_sent_at; /**< last status with full detail */
	uint32_t controls_listed; /**< live control hosts in that status */
	struct gate_demand demands[GATE_SERVICES_MAX];
	uint32_t demand_count;
};

/** What the answer to a call waits for. */
enum gate_wait_kind {
	GATE_WAIT_COMMIT, /**< commit of a log entry */
	GATE_WAIT_COPIES /**< copies of a record at a majority of the control
			    hosts */
};

/** A call that is not answered yet. */
struct gate_wait {
	enum gate_wait_kind kind;
	struct bw_server_connection *connection; /**< NULL: closed */
	struct bw_time deadline;
	uint64_t index; /**< COMMIT: of the proposed log entry */
	uint64_t term; /**< COMMIT: of the proposed log entry */
	/** COPIES: server and record version. */
	struct gate_heartbeat heartbeat;
	uint64_t holders[GATE_CONTROLS_MAX]; /**< COPIES: hashes of the names of
						other voters that stored it */
	uint32_t holder_count;
	bool leave; /**< COPIES: the server has left, whatever its start */
};

/** Handles a call of an operator, a backend server or a client. */
void gate_control_handle_call(void *context,
			      struct bw_server_connection *connection,
			      const struct bw_http_message *request);

/** Removes a closed connection from pending calls, so that no answer is sent on
 * it. */
void gate_control_connection_closed(void *context,
				    struct bw_server_connection *connection);

/**
 * Responds with a JSON body.
 * @param body NULL for an empty object
 * @param location value of the Location field, or NULL
 */
void gate_respond(struct bw_server_connection *connection, uint16_t status_code,
		  const struct bw_buffer *body, const char *location);

/** Responds with an error message. */
void gate_respond_error(struct bw_server_connection *connection,
			uint16_t status_code, const char *text);

/** Handles GATE_HELLO. */
void gate_control_handle_hello(struct gate_control *control,
			       const struct bw_packet *packet,
			       const struct gate_hello *hello,
			       struct bw_time now);

/**
 * Sends a record to the other control hosts and to entry hosts. A record of a
 * server that accepts no new requests is sent at once, and to all entry hosts:
 * they also get it from the control host that sends them full detail, because
 * they must not depend on one path. Other records are queued until the next
 * gate_control_send_records.
 */
void gate_control_broadcast_record(struct gate_control *control,
				   struct bw_server *server);

/** The same, but only to the entry hosts that get full detail from here. */
void gate_control_send_to_followers(struct gate_control *control,
				    struct bw_server *server);

/**
 * Sends the queued records in batches. When thousands of servers start, one
 * message per record would take most of a control host's time.
 */
void gate_control_send_records(struct gate_control *control);

/** Removes the entry hosts that send no more hello messages to this host. */
void gate_control_expire_entries(struct gate_control *control,
				 struct bw_time now);

/** Sends the message in the node's frame to all other control hosts. */
void gate_control_send_to_controls(struct gate_control *control,
				   enum bw_channel channel);

/** Initialises and frees what gate_control_fleet.c keeps. */
void gate_control_fleet_init(struct gate_control *control);
void gate_control_fleet_finish(struct gate_control *control);

/** Lists the entry hosts of this host to the other control hosts when due. */
void gate_control_send_fleet(struct gate_control *control, struct bw_time now);

/** Handles GATE_FLEET. */
void gate_control_receive_fleet(struct gate_control *control,
				const char *sender,
				const struct gate_fleet *fleet,
				struct bw_time now);

/** Removes the entry hosts that no host has heard of for long. */
void gate_control_expire_fleet(struct gate_control *control,
			       struct bw_time now);

/** Adds the demands of all entry hosts to a status. */
void gate_control_sum_demands(struct gate_control *control,
			      struct gate_status *status);

/** Initialises and frees what gate_control_loads.c keeps. */
void gate_control_loads_init(struct gate_control *control);
void gate_control_loads_finish(struct gate_control *control);

/**
 * Keeps loads until they are sent.
 * @param from_entry whether an entry host reported them, so that the other
 *	control hosts get them from this one
 */
void gate_control_store_loads(struct gate_control *control,
			      const struct gate_load *loads, uint32_t count,
			      bool from_entry);

/** Returns the failure domains of a list as a bit set of their indices. */
uint64_t gate_control_used_domains(const struct gate_control *control,
				   const struct gate_domain_list *list);

/** Lists the failure domains whose loads the entry hosts of this host use. */
void gate_control_list_used_domains(const struct gate_control *control,
				    struct gate_domain_list *list);

/** Initialises and frees what gate_control_quota.c keeps. */
void gate_control_quota_init(struct gate_control *control);
void gate_control_quota_finish(struct gate_control *control);

/** Runs the timers of the grants of quotas that are due. */
void gate_control_quota_tick(struct gate_control *control, struct bw_time now);

/** Handles GATE_QUOTA_DEMAND: answers it at the leader, else passes it on. */
void gate_control_receive_demand(struct gate_control *control,
				 const struct bw_packet *packet,
				 struct bw_reader *reader, struct bw_time now);

/** Passes a GATE_QUOTA_GRANT on to entry hosts. */
void gate_control_receive_grant(struct gate_control *control,
				const struct bw_packet *packet,
				struct bw_reader *reader);

/** Leads the control group, and notes who votes in it. */
void gate_control_check_group(struct gate_control *control, struct bw_time now);

/** Returns whether most voters confirm the version of this host. */
struct bw_confirmation gate_control_confirm(const struct gate_control *control,
					    struct bw_time now);

/** Returns whether a control host counts in a majority. */
bool gate_control_counts(const struct gate_control *control,
			 const struct gate_peer *peer);

/** Sends hellos, and heartbeats of backend servers. */
void gate_control_send_heartbeats(struct gate_control *control,
				  struct bw_time now);

/** Sends the loads of backend servers that entry hosts reported, when due. */
void gate_control_send_loads(struct gate_control *control, struct bw_time now);

/** Sends the status to one entry host. */
void gate_control_send_status(struct gate_control *control,
			      struct gate_entry_host *entry);

/** Sends the status to the entry hosts that send hellos to this host. */
void gate_control_send_status_all(struct gate_control *control);

/** Handles a message of BW_CHANNEL_GATE. */
void gate_control_handle_message(struct gate_control *control,
				 const struct bw_packet *packet,
				 struct bw_time now);

/**
 * Sends a host the sequence numbers of all server records. The host requests
 * the records that it lacks or has in an older version.
 */
void gate_control_send_digest(struct gate_control *control, const char *peer);

/** Sends the records that a host requested. */
void gate_control_send_requested(struct gate_control *control, const char *peer,
				 const struct gate_servers *requested);

/** Sends the active configuration, unless it may be outdated. */
void gate_control_send_routing(struct gate_control *control, const char *peer);

/**
 * Forwards a message that an entry host sends to all others: to the entry hosts
 * that get full detail from here and, when it comes from an entry host, to the
 * other control hosts.
 */
void gate_control_relay(struct gate_control *control,
			const struct bw_packet *packet);

/**
 * Returns the number of voters that form a majority. A record is safe once that
 * many have it.
 */
uint32_t gate_control_quorum(const struct gate_control *control);

/** Handles a call of a backend server that leaves. */
void gate_control_leave(struct gate_control *control,
			struct bw_server_connection *connection,
			const struct gate_call *call, struct bw_time now);

/**
 * Answers a call once a majority of the voters has a record on disk.
 * @return the call that waits; NULL when it is answered with an error
 */
struct gate_wait *gate_control_wait_for_copies(
	struct gate_control *control, struct bw_server_connection *connection,
	const struct bw_server *server, struct bw_time now);

/** Handles GATE_SERVERS. */
void gate_control_receive_servers(struct gate_control *control,
				  const char *peer,
				  const struct gate_servers *servers,
				  struct bw_time now);

/** Answers the calls whose records a majority of the voters has. */
void gate_control_finish_copied_calls(struct gate_control *control);

/** Counts a copy of a record at a host and answers the calls it completes. */
void gate_control_record_acknowledged(struct gate_control *control,
				      const char *host,
				      const struct gate_heartbeat *heartbeat);

/** Returns whether this host receives packets from a majority of the voters. */
bool gate_control_in_majority(const struct gate_control *control,
			      struct bw_time now);

/**
 * Checks a submitted configuration and proposes it; answers the call at the
 * end.
 */
void gate_control_submit(struct gate_control *control,
			 struct bw_server_connection *connection,
			 const struct bw_http_message *request,
			 struct bw_time now);

/**
 * Notes which routes the committed configuration has changed, if this host
 * proposed it and the one before.
 */
void gate_control_note_committed(struct gate_control *control,
				 struct bw_time now);

/** Drops the submissions that are being checked. */
void gate_control_submissions_finish(struct gate_control *control);

/** Removes a closed connection from the submissions that are being checked. */
void gate_control_submission_closed(
	struct gate_control *control,
	const struct bw_server_connection *connection);

/**
 * Redirects a call to the leader, or fails it when no leader is known.
 * @return false when this host holds the leader lease and must handle the call
 */
bool gate_control_redirect_to_leader(struct gate_control *control,
				     struct bw_server_connection *connection,
				     struct bw_time now);

/** Responds with an error, and counts and logs it. */
void gate_control_refuse(struct gate_control *control,
			 struct bw_server_connection *connection,
			 uint16_t status_code, const char *cause);

/** Proposes a command and answers the call when it is committed. */
void gate_control_propose(struct gate_control *control,
			  struct bw_server_connection *connection,
			  const struct bw_buffer *command, struct bw_time now);

/** Answers a directory lookup of a client. */
void gate_control_look_up(struct gate_control *control,
			  struct bw_server_connection *connection,
			  const struct gate_call *call, struct bw_time now);

#endif
