/**
 * @file gateway_run.h
 * The program around the gateway: its settings file, signals and loop.
 */
#ifndef PROCESS_GATEWAY_RUN_H
#define PROCESS_GATEWAY_RUN_H

/** Runs until SIGTERM or SIGINT. @return the exit status of the process */
int gateway_run(void);

#endif
