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

#include "bk/base/str.h"

enum {
    BK_SCRIPT_MAX_WORDS = 32
};

/* words[0] is the verb; words end with NULL. */
typedef void (*BkScriptFn)(char **words, int count, BkBuf *out, void *arg);

void BkScript_Run(const char *name, BkScriptFn fn, void *arg);

#endif
