/**
 * @file
 * Commands that any host sends to the leader of the control group.
 *
 * A command is sent to a control host, which forwards it to the leader. It is
 * resent to the next control host until a reply arrives or COMMAND_TIMEOUT_MS
 * has passed; every command is idempotent.
 */
#ifndef BORAGEWINGD_COMMAND_H
#define BORAGEWINGD_COMMAND_H

#include <stdint.h>

#include <glib.h>

#include "bwagree/state.h"
#include "bwbase/clock.h"
#include "bwbase/packet.h"
#include "bwbase/status.h"

struct host;

/** Time after which a command without a reply fails. */
#define COMMAND_TIMEOUT_MS 8000

/** Time without a reply after which a command is resent. */
#define COMMAND_RESEND_MS 400

/** Maximum number of commands that wait for a reply. */
#define COMMAND_WAITING_MAX 4096

/** Kinds of command; the values are part of the wire format. */
enum command_kind {
	COMMAND_SUBMIT = 1, /**< submits a sheet */
	COMMAND_BIND_KEY = 2, /**< binds a caller's own key to an owner */
	COMMAND_GROUP_ADD = 3, /**< adds a host to the control group */
	COMMAND_GROUP_REMOVE = 4, /**< removes a host from the control group */
	/** Reads the accepted sheet's revision and hash under the leader's
	 *  lease. expiry_wall_ms of the outcome is the time of acceptance. */
	COMMAND_READ = 5,
	COMMAND_KIND_COUNT
};

/** A command; the kind selects the members in use. */
struct command {
	enum command_kind kind;
	struct bw_submit submit; /**< SUBMIT; the leader sets accept_wall_ms */
	struct bw_bind_key bind; /**< BIND_KEY; the leader sets now_wall_ms */
	char host[BW_NAME_MAX]; /**< GROUP_ADD, GROUP_REMOVE */
};

/** Reply to a command. */
struct command_reply {
	/**
	 * BW_OK: outcome is valid. BW_EUNAVAILABLE: no leader was reached in
	 * time, or its reply was lost; the command may have taken effect.
	 * Other values: the command was rejected and had no effect.
	 */
	enum bw_status status;
	struct bw_outcome outcome;
	char leader[BW_NAME_MAX]; /**< host that executed the command, or "" */
};

/** Receives the reply of one command, exactly once. */
typedef void command_done_fn(void *context, const struct command_reply *reply);

/** Client that sends commands and tracks those without a reply. */
struct command_client {
	struct host *host;
	GHashTable *waiting; /**< call number -> struct command_call */
	uint64_t next_call;
};

/** Initialises a client. */
void command_client_init(struct command_client *client, struct host *host);

/** Fails all waiting commands and frees the client. */
void command_client_finish(struct command_client *client);

/**
 * Sends a command to the leader. done may be called before this returns.
 */
void command_call(struct command_client *client, const struct command *command,
		  command_done_fn *done, void *context);

/** Handles a packet of BW_CHANNEL_OPERATOR. */
void command_receive(struct command_client *client,
		     const struct bw_packet *packet, struct bw_time now);

/** Resends and expires commands; called every 50 ms. */
void command_tick(struct command_client *client, struct bw_time now);

/**
 * Sends the reply to a command that this host executed as leader.
 * @param origin host that sent the command; may be this host
 * @param call_number number that the origin assigned to the command
 */
void command_respond(struct host *host, const char *origin,
		     uint64_t call_number, const struct command_reply *reply);

#endif
