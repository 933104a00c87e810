#include "bwwork/speed.h"

#include <math.h>
#include <string.h>

/**
 * Age at which a word has lost most of its value: half the length of a common
 * spell, which is over at any moment after the word.
 */
#define WORD_DECAY_MS 300.0

/** Limits of a word; a server can't claim to be much faster than usual. */
#define PERCENT_MIN 50
#define PERCENT_MAX 2000

/** Smoothing factors of moving averages. */
#define USUAL_SMOOTHING 0.05
#define BIAS_SMOOTHING 0.15
#define ERROR_SMOOTHING 0.15

/**
 * Limit of the ratio of measured to expected times in one sample. A single run
 * can take several times as long as usual, which tells little of its server.
 */
#define SAMPLE_MAX 1.1

/**
 * Part of the bias that one more run leaves, so that the work of all servers
 * and the bias of each can't drift apart.
 */
#define BIAS_KEPT 0.99

/** Limit of the bias: a factor of 20 either way. */
#define BIAS_MAX 3.0

/** Difference of the errors at which the words of a server are not used. */
#define TRUST_MARGIN 0.15

static double smooth_(double value, double sample, double smoothing);
static double clamp_(double value, double limit);

void bw_speed_init(struct bw_speed *speed)
{
	memset(speed, 0, sizeof(*speed));
	speed->word = 1.0;
	speed->usual = 1.0;
}

void bw_speed_note(struct bw_speed *speed, uint32_t percent,
		   struct bw_time said_at)
{
	if (speed->told && bw_time_diff_ms(said_at, speed->said_at) < 0)
		return;
	if (percent < PERCENT_MIN)
		percent = PERCENT_MIN;
	if (percent > PERCENT_MAX)
		percent = PERCENT_MAX;
	speed->told = true;
	speed->word = percent / 100.0;
	speed->said_at = said_at;
	speed->usual = smooth_(speed->usual, speed->word, USUAL_SMOOTHING);
}

double bw_speed_told(const struct bw_speed *speed, struct bw_time now)
{
	double age_ms = (double)bw_time_diff_ms(now, speed->said_at);

	if (!speed->told)
		return speed->usual;
	if (age_ms < 0.0)
		age_ms = 0.0;
	return speed->usual +
	       (speed->word - speed->usual) * exp(-age_ms / WORD_DECAY_MS);
}

double bw_speed_factor(const struct bw_speed *speed, struct bw_time now)
{
	double factor = bw_speed_is_trusted(speed) ? bw_speed_told(speed, now)
						   : speed->usual;

	return factor * exp(speed->bias);
}

void bw_speed_measure(struct bw_speed *speed, double usual_ms, double told,
		      double measured_ms)
{
	double with;
	double without;

	if (usual_ms <= 0.0 || told <= 0.0 || measured_ms <= 0.0)
		return;
	without = log(measured_ms / (usual_ms * speed->usual)) - speed->bias;
	with = log(measured_ms / (usual_ms * told)) - speed->bias;
	speed->error_with = smooth_(speed->error_with,
				    fabs(clamp_(with, SAMPLE_MAX)),
				    ERROR_SMOOTHING);
	speed->error_without = smooth_(speed->error_without,
				       fabs(clamp_(without, SAMPLE_MAX)),
				       ERROR_SMOOTHING);
	if (!bw_speed_is_trusted(speed))
		with = without;
	speed->bias = BIAS_KEPT * speed->bias +
		      BIAS_SMOOTHING * clamp_(with, SAMPLE_MAX);
	speed->bias = clamp_(speed->bias, BIAS_MAX);
}

double bw_speed_usual(const struct bw_speed *speed)
{
	return speed->usual * exp(speed->bias);
}

double bw_speed_usual_ms(const struct bw_speed *speed, double measured_ms)
{
	return measured_ms / bw_speed_usual(speed);
}

bool bw_speed_is_trusted(const struct bw_speed *speed)
{
	return speed->error_with <= speed->error_without + TRUST_MARGIN;
}

static double smooth_(double value, double sample, double smoothing)
{
	return value + smoothing * (sample - value);
}

static double clamp_(double value, double limit)
{
	if (value > limit)
		return limit;
	return value < -limit ? -limit : value;
}
