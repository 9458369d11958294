/**
 * @file cases.h
 * Includes cmocka and the headers that cmocka.h requires before it.
 */
#ifndef TESTS_CASES_H
#define TESTS_CASES_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

/** Number of elements of an array. */
#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

#endif
