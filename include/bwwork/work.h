/**
 * @file
 * Work that requests of a route usually cause, apart from the speed of the
 * server that runs them. It depends on how likely the server has the object in
 * memory. The module reads no clock.
 */
#ifndef BWWORK_WORK_H
#define BWWORK_WORK_H

#include <stdint.h>

/** How well a server is expected to know the object of a request. */
enum bw_familiarity {
	BW_FAMILIARITY_SEEN, /**< this host sent requests for it there */
	BW_FAMILIARITY_HOME, /**< all hosts prefer the server for it */
	BW_FAMILIARITY_SECOND, /**< hosts use the server when its home is late
				*/
	BW_FAMILIARITY_NONE, /**< any other server */
	BW_FAMILIARITY_COUNT
};

/** Number of entries of a table; a power of two. */
#define BW_WORK_ENTRIES 64

/** Time of runs at the usual speed, as logarithms of milliseconds. */
struct bw_work_times {
	double usual; /**< smoothed */
	double high; /**< reached by one in ten */
	uint32_t count; /**< runs measured */
};

/** Work of one route. */
struct bw_work_entry {
	uint64_t key; /**< hash of the route and its service; 0: unused */
	struct bw_work_times times[BW_FAMILIARITY_COUNT];
};

/** Work of the routes that a host serves. A new route takes the place of one
 * with the same index, which is then measured anew. */
struct bw_work {
	struct bw_work_entry entries[BW_WORK_ENTRIES];
};

/** Expected time of a run at the usual speed. */
struct bw_work_estimate {
	double usual_ms; /**< 0: unknown */
	double high_ms; /**< nine in ten runs take less */
};

/** Initialises an empty table. */
void bw_work_init(struct bw_work *work);

/**
 * Records a run.
 * @param key hash of its route and service, not 0
 * @param run_ms its time at the usual speed, without queueing
 */
void bw_work_record(struct bw_work *work, uint64_t key,
		    enum bw_familiarity familiarity, double run_ms);

/**
 * Fills in what a run is expected to take. Where nothing is known of a
 * familiarity, the next lower one that is known stands in, then a higher one.
 */
void bw_work_expect(const struct bw_work *work, uint64_t key,
		    enum bw_familiarity familiarity,
		    struct bw_work_estimate *estimate);

/**
 * Returns the expected wait of a request for a slot at a server.
 * @param ahead requests that run or wait there
 * @param run_ms mean time of a run there, by its speed
 */
double bw_work_wait_ms(double ahead, uint32_t slots, double run_ms);

#endif
