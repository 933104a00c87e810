/**
 * @file
 * Speed of a backend server at this moment. A server that shares its machine
 * says how long work takes there; the word describes a spell of a few hundred
 * milliseconds to a few seconds and loses its value with its age. Measured
 * times correct a server whose words are wrong. The module reads no clock.
 */
#ifndef BWWORK_SPEED_H
#define BWWORK_SPEED_H

#include <stdbool.h>
#include <stdint.h>

#include "bwbase/clock.h"

/** Speed of one server. Factors apply to the usual time of work; 1: usual. */
struct bw_speed {
	bool told; /**< the server has said its speed */
	double word; /**< factor that it said last */
	struct bw_time said_at; /**< when it said so */
	double usual; /**< smoothed mean of its words */
	double bias; /**< logarithm of the smoothed ratio of measured to
			expected times */
	double error_with; /**< smoothed error of the expected times with its
			      words, as a logarithm */
	double error_without; /**< the same without its words */
};

/** Initialises the speed of a server that has said nothing. */
void bw_speed_init(struct bw_speed *speed);

/**
 * Notes what a server said. An older word than the last is ignored.
 * @param percent time that work takes, 100: as usual; clamped to 50..2000
 */
void bw_speed_note(struct bw_speed *speed, uint32_t percent,
		   struct bw_time said_at);

/**
 * Returns the expected factor on the time of work that begins now. With the age
 * of the last word it returns to what is usual of the server.
 */
double bw_speed_factor(const struct bw_speed *speed, struct bw_time now);

/** Returns the factor that is usual of the server, whatever its last word. */
double bw_speed_usual(const struct bw_speed *speed);

/**
 * Returns the factor by what the server said, whether it is trusted or not;
 * with its age the last word returns to the mean of all.
 */
double bw_speed_told(const struct bw_speed *speed, struct bw_time now);

/**
 * Compares the time of a run with what was expected of it.
 * @param usual_ms expected at a server of the usual speed
 * @param told factor by what the server had said when the run began
 * @param measured_ms time of the run, without queueing
 */
void bw_speed_measure(struct bw_speed *speed, double usual_ms, double told,
		      double measured_ms);

/**
 * Returns the time of a run at the usual speed. The word in its response tells
 * the speed at its end and not that at which it ran, so the mean is used.
 */
double bw_speed_usual_ms(const struct bw_speed *speed, double measured_ms);

/** Returns whether the words of a server explain its times. */
bool bw_speed_is_trusted(const struct bw_speed *speed);

#endif
