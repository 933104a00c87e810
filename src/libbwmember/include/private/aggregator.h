/**
 * @file
 * Internals of the aggregator module: peers, table and the wire format.
 */
#ifndef PRIVATE_AGGREGATOR_H
#define PRIVATE_AGGREGATOR_H

#include "bwbase/codec.h"
#include "bwmember/aggregator.h"

/** Version of the wire format. */
#define AGGREGATOR_WIRE_VERSION 1

/** Maximum number of peers to which a host sends rows. */
#define AGGREGATOR_PEERS_MAX 1024

/** Size of a packet of rows from which on the next one is started, in bytes. */
#define AGGREGATOR_PACKET_BYTES 8192

/** Maximum number of tags in one request for lost rows. */
#define AGGREGATOR_REQUEST_MAX 32

/** Types of packet; the values are part of the wire format. */
enum aggregator_type {
	AGGREGATOR_REPORT = 1, /**< row or refresh entry of the own domain */
	AGGREGATOR_ACK = 2, /**< epoch and content stored by a control host */
	AGGREGATOR_ROWS = 3, /**< rows and refresh entries */
	AGGREGATOR_REQUEST = 4 /**< tags of lost rows */
};

/** A host to which this host sends rows. */
struct bw_aggregator_peer {
	char name[BW_NAME_MAX];
	uint64_t incarnation; /**< that received the rows sent so far */
	uint64_t sent_change_index; /**< last change sent */
	uint32_t refresh_index; /**< next row to refresh */
	int64_t tokens; /**< token bucket, in bytes; may be negative */
	struct bw_time refilled;
	struct bw_time last_used;
	struct bw_time next_push;
	struct bw_time reported; /**< last report from it */
	bool has_reported;
};

/** Finds or adds a peer; replaces the least recently used one when full. */
struct bw_aggregator_peer *aggregator_peer(struct bw_aggregator *aggregator,
					   const char *name,
					   struct bw_time now);

/** Finds the row of a domain for modification; NULL if there is none. */
struct bw_summary *aggregator_row(const struct bw_aggregator *aggregator,
				  const char *domain);

/** Finds a row by the tag of its content; NULL if there is none. */
struct bw_summary *aggregator_row_by_tag(const struct bw_aggregator *aggregator,
					 uint64_t tag);

/**
 * Stores a row if it is newer; takes ownership of row->load.
 * @return whether the row was stored
 */
bool aggregator_apply(struct bw_aggregator *aggregator, struct bw_summary *row);

/** Removes the rows that are older than the expiry time. */
void aggregator_expire_rows(struct bw_aggregator *aggregator,
			    struct bw_time now);

/** Returns whether a is a newer report than b. */
bool aggregator_is_newer(const struct bw_summary *a,
			 const struct bw_summary *b);

/** Writes a row. */
void aggregator_write_row(struct bw_writer *writer,
			  const struct bw_summary *row, struct bw_time now);

/** Writes a refresh entry: tag, counters and age without the content. */
void aggregator_write_refresh(struct bw_writer *writer,
			      const struct bw_summary *row, struct bw_time now);

/** Reads a row; row->load is allocated. @return BW_OK or BW_ENOMEM */
enum bw_status aggregator_read_row(struct bw_reader *reader,
				   struct bw_summary *row, struct bw_time now);

/** Reads a refresh entry; the other fields of row are set to zero. */
void aggregator_read_refresh(struct bw_reader *reader, struct bw_summary *row,
			     struct bw_time now);

/** Adds a control host or updates its address. */
void aggregator_add_control(struct bw_aggregator *aggregator, const char *name,
			    const char *address);

/** Sends rows and refresh entries to the peers that are due. */
enum bw_status aggregator_push(struct bw_aggregator *aggregator,
			       struct bw_time now, struct bw_outbox *out);

/** Sends the rows that a peer requested, limited by its token bucket. */
enum bw_status aggregator_send_requested(struct bw_aggregator *aggregator,
					 struct bw_aggregator_peer *peer,
					 struct bw_reader *reader,
					 struct bw_time now,
					 struct bw_outbox *out);

/** Returns the index of a control host, or -1. */
int aggregator_control_index(const struct bw_aggregator *aggregator,
			     const char *name);

/** Stores the row of the own domain and reports it to a control host. */
enum bw_status aggregator_report(struct bw_aggregator *aggregator,
				 struct bw_time now, struct bw_outbox *out);

#endif
