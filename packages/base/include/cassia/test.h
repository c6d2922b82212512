/* Includes cmocka.h after the headers that it requires. */
#ifndef CASSIA_TEST_H
#define CASSIA_TEST_H

/* clang-format off */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <cmocka.h>
/* clang-format on */

#endif
