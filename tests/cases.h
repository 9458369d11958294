/** @file cases.h Includes cmocka with the headers it needs. */
#ifndef TESTS_CASES_H
#define TESTS_CASES_H

#include <setjmp.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#define COUNT_OF(array) (sizeof(array) / sizeof((array)[0]))

#endif
