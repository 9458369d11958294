/**
 * @file gateway_run.h
 * Main program of the gateway: settings file, signals and event loop.
 */
#ifndef PROCESS_GATEWAY_RUN_H
#define PROCESS_GATEWAY_RUN_H

/**
 * Runs the gateway until SIGTERM or SIGINT.
 * @return the exit status of the process
 */
int gateway_run(void);

#endif
