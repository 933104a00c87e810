#include "bwbase/random.h"

#include <assert.h>
#include <sodium.h>

static uint64_t rotate_left_(uint64_t x, int k);
static uint64_t splitmix_(uint64_t *state);

void bw_random_init(struct bw_random *random, uint64_t seed)
{
	int i;

	for (i = 0; i < 4; i++)
		random->s[i] = splitmix_(&seed);
}

void bw_random_init_system(struct bw_random *random)
{
	randombytes_buf(random->s, sizeof(random->s));
	random->s[0] |= 1; /* an all-zero state would stay zero */
}

uint64_t bw_random_next(struct bw_random *random)
{
	uint64_t *s = random->s;
	uint64_t result = rotate_left_(s[1] * 5, 7) * 9;
	uint64_t t = s[1] << 17;

	s[2] ^= s[0];
	s[3] ^= s[1];
	s[1] ^= s[2];
	s[0] ^= s[3];
	s[2] ^= t;
	s[3] = rotate_left_(s[3], 45);
	return result;
}

uint64_t bw_random_below(struct bw_random *random, uint64_t bound)
{
	assert(bound > 0);
	return (uint64_t)(((unsigned __int128)bw_random_next(random) * bound) >>
			  64);
}

double bw_random_unit(struct bw_random *random)
{
	return (double)(bw_random_next(random) >> 11) * 0x1.0p-53;
}

static uint64_t rotate_left_(uint64_t x, int k)
{
	return (x << k) | (x >> (64 - k));
}

static uint64_t splitmix_(uint64_t *state)
{
	uint64_t z = (*state += 0x9e3779b97f4a7c15);

	z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9;
	z = (z ^ (z >> 27)) * 0x94d049bb133111eb;
	return z ^ (z >> 31);
}
