/**
 * @file
 * Explains what became of one request from the log files of several hosts.
 */
#ifndef BORAGEWINGCTL_EXPLAIN_H
#define BORAGEWINGCTL_EXPLAIN_H

/**
 * Prints the timeline of a request and its cause of failure. Lines about the
 * backend servers that it used, and about what its entry host believed at
 * that time, are joined from all files.
 * @param id request id
 * @param paths log files, ended by NULL
 * @return an enum exit_code; EXIT_REFUSED when no line names the request
 */
int explain_request(const char *id, char **paths);

#endif
