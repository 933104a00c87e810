/**
 * @file
 * A gateway host: runs the roles that its settings name until it is stopped.
 */
#ifndef BORAGEWINGD_GATE_H
#define BORAGEWINGD_GATE_H

#include <stdbool.h>

/**
 * Runs a gateway host.
 * @param settings_path NULL for the platform's file
 * @param metrics_port 0 for no metrics
 * @param check_only only check the settings
 * @return exit code: 0 after a shutdown, 1 after a failure at start, 2 for
 *	wrong settings
 */
int gate_run(const char *settings_path, int metrics_port, bool check_only);

#endif
