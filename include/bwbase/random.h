/**
 * @file
 * Seeded pseudo-random numbers; the same seed gives the same sequence.
 */
#ifndef BWBASE_RANDOM_H
#define BWBASE_RANDOM_H

#include <stdint.h>

/** State of a xoshiro256** generator. */
struct bw_random {
	uint64_t s[4];
};

/** Initialises the generator from a seed; every seed is valid. */
void bw_random_init(struct bw_random *random, uint64_t seed);

/** Initialises the generator from the operating system's entropy. */
void bw_random_init_system(struct bw_random *random);

/** Returns the next 64 uniformly distributed bits. */
uint64_t bw_random_next(struct bw_random *random);

/**
 * Returns a uniformly distributed number below bound.
 * @param random the generator
 * @param bound exclusive upper bound, greater than zero
 */
uint64_t bw_random_below(struct bw_random *random, uint64_t bound);

/** Returns a uniformly distributed number in [0, 1). */
double bw_random_unit(struct bw_random *random);

#endif
