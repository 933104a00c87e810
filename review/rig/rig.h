/**
 * @file
 * Rig of the review's scripts: starts boragewingd processes with the command of
 * the deploy file on loopback addresses of their own, and has stand-ins for the
 * operator, clients and backend servers. Whatever is sent, answered and run is
 * written to a record.
 */
#ifndef RIG_H
#define RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Exit codes of a case. */
#define RIG_HELD 0
#define RIG_BROKEN 1
#define RIG_NOT_RUN 2

#define RIG_ADDRESS_BYTES 32
#define RIG_CONTROLS 3

/** A backend server. The caller fills in the fields before rig_server_start. */
struct rig_server {
	const char *id;
	const char *service;
	const char *zone;
	uint32_t slots;
	uint32_t work_ms; /**< time that a request takes */
	size_t body_bytes; /**< size of each answer's body */
	int host; /**< last byte of its IP address */
	volatile bool leaving; /**< says so in its answers */
	volatile bool announces; /**< sends heartbeats */
	volatile uint64_t sequence; /**< of the last heartbeat */
	char address[RIG_ADDRESS_BYTES];
	int64_t born_ms;
	void *state;
};

/** Answer to a call. */
struct rig_answer {
	int status; /**< 0: the connection ended without a status line */
	size_t body_bytes; /**< received */
	size_t expected_bytes; /**< by Content-Length */
	bool complete;
	int64_t took_ms;
	char body[4096]; /**< its begin, terminated */
};

/** Begins a case: opens the record in a folder, and bounds its run time. */
void rig_begin(const char *folder);
/** Ends all processes and exits. */
void rig_end(int code);
/** Returns whether the disruption is to be made. */
bool rig_trouble(void);
/** Writes a line with the time since the begin to the record. */
void rig_record(const char *format, ...) __attribute__((format(printf, 1, 2)));
int64_t rig_now_ms(void);
void rig_sleep_ms(int64_t ms);

/** Writes the settings of a process and starts it. @return its number */
int rig_start_control(int index, bool bootstrap);
int rig_start_entry(int index);
/** Sends a signal. */
void rig_signal(int process, int signal_number);
/** Waits until a process has ended. */
void rig_wait_exit(int process);
/** Starts a process again with its settings; bootstrap is now false. */
void rig_restart(int process);
/** Addresses, with port. */
const char *rig_control_address(int index);
const char *rig_entry_address(int index);

/** Starts three control hosts and one entry host, and submits a configuration
 * with one route to each service; waits until the entry host is ready. */
void rig_start_deployment(const char *configuration);

void rig_server_start(struct rig_server *server);
/** Returns whether a request has arrived at a server, whether it ran or not. */
bool rig_server_was_sent(const struct rig_server *server, const char *id);
/** Ends a server's connections, as a crash does, and starts it again under the
 * id that it had. It announces itself only when the caller says so. */
void rig_server_restart(struct rig_server *server, int64_t down_ms);
/** Sends one heartbeat. @return the status */
int rig_heartbeat(const struct rig_server *server, const char *control,
		  const char *state, uint64_t sequence);

/**
 * Makes a call on a connection of its own, and follows redirects of control
 * hosts.
 * @param head further header lines, each with CR LF
 * @param bytes_per_s rate at which the answer is read; 0: at once
 */
void rig_call(const char *address, const char *method, const char *path,
	      const char *head, const char *body, int timeout_ms,
	      double bytes_per_s, struct rig_answer *answer);

/** The same on an open connection, which is closed at the end. */
void rig_call_on(int fd, const char *address, const char *method,
		 const char *path, const char *head, const char *body,
		 int timeout_ms, double bytes_per_s, struct rig_answer *answer);

/** Opens a connection. @return -1 when it fails */
int rig_connect(const char *address);

#endif
