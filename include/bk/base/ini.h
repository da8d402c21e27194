/*
 * ini - parses INI text with inih, with line numbers
 *
 * Used for settings files and for bundles. A line longer than inih accepts is
 * an error and is not split in two.
 */
#ifndef BK_BASE_INI_H
#define BK_BASE_INI_H

#include <stdbool.h>

#include "bk/base/str.h"

typedef struct BkIniKey {
    const char *section;
    const char *key;
    const char *value;
    int line;             /* counted from 1 */
    bool is_continuation; /* an indented line, which continues the key above */
} BkIniKey;

/* Returns BK_OK to continue; any other status ends the parse. */
typedef BkStatus (*BkIniFn)(const BkIniKey *key, void *arg);

/*
 * Parses text and calls fn for each key. source names the text in messages.
 * ERRORS: syntax_error with "source:line: ..." for a line that is not INI or
 * too long; otherwise what fn returned.
 */
BkStatus BkIni_Parse(const char *source, BkStr text, BkStatus syntax_error,
                     BkIniFn fn, void *arg);

/* Replaces the contents of out by the whole file, of at most max bytes.
 * ERRORS: BK_EIO, BK_ETOOBIG; the message names the path. */
BkStatus BkFile_Read(const char *path, size_t max, BkBuf *out);

#endif
