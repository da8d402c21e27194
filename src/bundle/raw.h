/*
 * raw - sections and keys of a bundle's text before their meaning is checked
 *
 * Knows which keys each kind of section may and must have, joins lists that
 * go on in indented lines, and keeps the line of everything for messages.
 */
#ifndef BK_BUNDLE_RAW_H
#define BK_BUNDLE_RAW_H

#include "bk/base/str.h"

enum {
    BK_RAW_MAX_NAME = 39 /* inih cuts a section's name at 49 characters */
};

typedef enum BkRawKind {
    BK_RAW_BUNDLE,
    BK_RAW_UPSTREAM,
    BK_RAW_MODEL,
    BK_RAW_ADAPTER,
    BK_RAW_SERVICE,
    BK_RAW_CALLER,
    BK_RAW_KINDS
} BkRawKind;

typedef enum BkRawKey {
    BK_RAW_NAME,
    BK_RAW_NOTE,
    BK_RAW_KIND,
    BK_RAW_ADDR,
    BK_RAW_DOMAIN,
    BK_RAW_MEMORY,
    BK_RAW_FENCING,
    BK_RAW_SLOTS,
    BK_RAW_SERVES,
    BK_RAW_VERSION,
    BK_RAW_BYTES,
    BK_RAW_COPIES,
    BK_RAW_REPEATABLE,
    BK_RAW_BASE,
    BK_RAW_TOKEN,
    BK_RAW_SHARE,
    BK_RAW_ALLOW,
    BK_RAW_KEYS
} BkRawKey;

typedef struct BkRawSection {
    BkRawKind kind;
    char *title; /* as between the brackets */
    BkStr name;  /* second word of title; empty for the bundle */
    int line;
    BkBuf values[BK_RAW_KEYS];
    int lines[BK_RAW_KEYS]; /* 0: not given */
} BkRawSection;

typedef struct BkRawBundle {
    const char *where;
    BkRawSection *sections; /* in the order of the text */
    int count;
} BkRawBundle;

/* ERRORS: BK_EBUNDLE, BK_ETOOBIG; raw is to be destroyed all the same. */
BkStatus BkRawBundle_Read(BkRawBundle *raw, const char *where, BkStr text);
void BkRawBundle_Destroy(BkRawBundle *raw);

bool BkRawSection_Has(const BkRawSection *section, BkRawKey key);
BkStr BkRawSection_Value(const BkRawSection *section, BkRawKey key);

/* Leaves "where:line: [title] key: why"; gives BK_EBUNDLE. */
BkStatus BkRawBundle_Fail(const BkRawBundle *raw, const BkRawSection *section,
                          BkRawKey key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Likewise about a whole section: "where:line: [title]: why". */
BkStatus BkRawBundle_FailSection(const BkRawBundle *raw,
                                 const BkRawSection *section, const char *fmt,
                                 ...) __attribute__((format(printf, 3, 4)));

/* Letters, digits and - _ . only, 1 to BK_RAW_MAX_NAME of them. */
bool BkRawName_Valid(BkStr name);

#endif
