/**
 * @file
 * Status codes shared by all packages.
 */
#ifndef BWBASE_STATUS_H
#define BWBASE_STATUS_H

/** Result of an operation. Violated invariants abort the process instead. */
enum bw_status {
	BW_OK = 0,
	BW_EINVAL, /**< input is malformed or violates a rule */
	BW_ENOMEM, /**< out of memory */
	BW_EAGAIN, /**< not possible now; a later attempt may succeed */
	BW_EFULL, /**< a bounded store or queue is full */
	BW_ESTALE, /**< input is older than the current state */
	BW_ECONFLICT, /**< input conflicts with an accepted value */
	BW_ENOTFOUND, /**< no such item */
	BW_EEXIST, /**< the item exists already */
	BW_EIO, /**< a file or socket operation failed */
	BW_ECORRUPT, /**< stored data fails its checksum */
	BW_EUNAVAILABLE, /**< a required peer or quorum is not reachable */
	BW_EDENIED, /**< credential missing or wrong, or limit reached */
	BW_EVERSION, /**< unknown message version or type */
	BW_STATUS_COUNT
};

/** Stable lower-case names of enum bw_status, for logs and interfaces. */
extern const char *const bw_status_string[BW_STATUS_COUNT];

#endif
