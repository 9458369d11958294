/**
 * @file err.h
 * Error struct that callers pass down and each layer fills in.
 *
 * A function that can fail takes an err_t as its last argument, which may be
 * NULL, and returns false or NULL on failure. Each layer uses its own codes
 * and maps the errors of the layer below to them.
 */
#ifndef BASE_ERR_H
#define BASE_ERR_H

#include <stdbool.h>
#include <stdint.h>

enum { ERR_MESSAGE_SIZE_BYTES = 512 };

/** Layer in which an error occurred; codes are unique within a layer only. */
typedef enum {
	ERR_LAYER_NONE,
	ERR_LAYER_BASE,
	ERR_LAYER_SETTINGS,
	ERR_LAYER_DOCUMENT,
	ERR_LAYER_CONNECTION,
	ERR_LAYER_PLATFORM,
	ERR_LAYER_ENGINE,
	ERR_LAYER_PEER,
	ERR_LAYER_REQUEST,
	ERR_LAYER_PROCESS,
	ERR_LAYER_CTL
} err_layer_t;

/**
 * One error: the layer, a code of the layer, and a message that says what
 * failed and on which object.
 */
typedef struct {
	err_layer_t layer;
	int32_t code;
	char message[ERR_MESSAGE_SIZE_BYTES];
} err_t;

/**
 * Fills in @p err, if @p err is not NULL.
 * @param format printf format of the message, which is truncated to
 *               ERR_MESSAGE_SIZE_BYTES
 * @return always false, so that callers can write `return err_set(...)`.
 */
bool err_set(err_t *err, err_layer_t layer, int32_t code, const char *format,
	     ...) __attribute__((format(printf, 4, 5)));

/** Resets @p err to "no error"; does nothing if @p err is NULL. */
void err_clear(err_t *err);

#endif
