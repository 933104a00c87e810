/**
 * @file
 * Reconstructs the outcome of one request from the log files of several hosts.
 */
#ifndef BORAGEWINGCTL_EXPLAIN_H
#define BORAGEWINGCTL_EXPLAIN_H

/**
 * Prints the timeline of a request and the cause of its failure. Log lines of
 * all files about the backend servers that it used, and about the state of its
 * entry host at that time, are included.
 * @param id request id
 * @param paths log files, terminated by NULL
 * @return an enum exit_code; EXIT_REFUSED when no line is about the request
 */
int explain_request(const char *id, char **paths);

#endif
