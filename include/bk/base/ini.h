/*
 * ini - INI text with line numbers, over inih
 *
 * For settings files and bundles alike. Lines longer than inih takes are
 * refused, not cut in two.
 */
#ifndef BK_BASE_INI_H
#define BK_BASE_INI_H

#include <stdbool.h>

#include "bk/base/str.h"

typedef struct BkIniKey {
    const char *section;
    const char *key;
    const char *value;
    int line;       /* from 1 */
    bool continued; /* an indented line that goes on with the key above */
} BkIniKey;

/* Returns BK_OK to go on; any other status ends the parse. */
typedef BkStatus (*BkIniFn)(const BkIniKey *key, void *arg);

/*
 * Parses text, calling fn for each key. where names the text in messages.
 * ERRORS: fault with "where:line: ..." for a line that is not INI or too
 * long; what fn returned.
 */
BkStatus BkIni_Parse(const char *where, BkStr text, BkStatus fault, BkIniFn fn,
                     void *arg);

/* Reads a whole file of at most max bytes; out is emptied first.
 * ERRORS: BK_EIO, BK_ETOOBIG, naming the path. */
BkStatus BkFile_Read(const char *path, size_t max, BkBuf *out);

#endif
