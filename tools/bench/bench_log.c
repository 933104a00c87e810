#include <fcntl.h>
#include <stdio.h>
#include <unistd.h>

#include "bench.h"
#include "bwbase/log.h"

/** Lines logged in one measurement. */
#define LINE_COUNT 100000

/** Buffer size of the gateway's logger. */
#define PENDING_MAX_BYTES (256 * 1024)

static double measure_line_us_(struct bw_log *log, enum bw_log_level level);
static void measure_writable_(struct bench *bench, const char *name,
			      enum bw_log_level threshold);
static void measure_stalled_(struct bench *bench);

/* A line must not cost more with a stalled destination than with one that
 * keeps up: lines that do not fit into the buffer are dropped. */
void bench_log(struct bench *bench)
{
	measure_writable_(bench, "log.line", BW_LOG_INFO);
	measure_writable_(bench, "log.below_threshold", BW_LOG_ERROR);
	measure_stalled_(bench);
}

static void measure_writable_(struct bench *bench, const char *name,
			      enum bw_log_level threshold)
{
	struct bw_log log;
	int fd = open("/dev/null", O_WRONLY | O_CLOEXEC);

	if (fd < 0) {
		perror("/dev/null");
		return;
	}
	bw_log_init_buffered(&log, fd, PENDING_MAX_BYTES, threshold, "host");
	bench_add(bench, name, "us", measure_line_us_(&log, BW_LOG_INFO),
		  json_object());
	bw_log_finish(&log);
	close(fd);
}

static void measure_stalled_(struct bench *bench)
{
	struct bw_log log;
	int pipe_fds[2];

	if (pipe2(pipe_fds, O_NONBLOCK | O_CLOEXEC)) {
		perror("pipe");
		return;
	}
	bw_log_init_buffered(&log, pipe_fds[1], PENDING_MAX_BYTES, BW_LOG_INFO,
			     "host");
	bench_add(bench, "log.stalled", "us",
		  measure_line_us_(&log, BW_LOG_INFO), json_object());
	bench_add(bench, "log.stalled_failure", "us",
		  measure_line_us_(&log, BW_LOG_WARNING), json_object());
	bw_log_finish(&log);
	close(pipe_fds[0]);
	close(pipe_fds[1]);
}

/* Logs lines as long as those of an answered request. */
static double measure_line_us_(struct bw_log *log, enum bw_log_level level)
{
	double start_us = bench_cpu_us();
	uint32_t i;

	for (i = 0; i < LINE_COUNT; i++) {
		bw_log_event(log, level, "request", "answered",
			     "{s:s,s:s,s:s,s:i,s:i,s:i,s:f,s:b,s:I}", "request",
			     "b19c4e7f02a35d68", "route", "status", "server",
			     "rescue-issuer-4", "status", 200, "took_ms",
			     (int)(i % 900), "queue_ms", (int)(i % 7),
			     "expected_ms", 264.5, "warm", i % 2, "version",
			     (json_int_t)14);
		if (i % 16 == 15)
			bw_log_flush(log);
	}
	return (bench_cpu_us() - start_us) / LINE_COUNT;
}
