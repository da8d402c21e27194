/*
 * script - scripted unit tests with expected output
 *
 * Script_Run reads NAME.script line by line, hands the words of each line to
 * the handler, which prints to out, echoes each line as "> line", and fails
 * the check test with the first differing line if the whole output is not
 * NAME.expected. Empty lines and lines that start with # are skipped. With
 * BK_SCRIPT_SHOW=1 in the environment the output goes to standard output.
 */
#ifndef BK_TESTS_SCRIPT_H
#define BK_TESTS_SCRIPT_H

#include <check.h>

#include "bk/base/str.h"

enum {
    BK_SCRIPT_MAX_WORDS = 32
};

/* words[0] is the verb; words end with NULL. */
typedef void (*BkScriptFn)(char **words, int count, BkBuf *out, void *arg);

void BkScript_Run(const char *name, BkScriptFn fn, void *arg);

/* The main of a test program: runs the tests as one suite and case called
   name, each within check's default timeout. 0 if all passed, else 1. */
int BkUnit_Main(const char *name, const TTest *const *tests, int count);

/* The same within so many seconds a test; 0 for no limit. */
int BkUnit_MainWithin(const char *name, const TTest *const *tests, int count,
                      double seconds);

#endif
