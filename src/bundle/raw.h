/*
 * raw - the sections and keys of a bundle's text, with unparsed values
 *
 * Checks which keys each kind of section may and must have, joins values that
 * are continued on indented lines, and keeps line numbers for error messages.
 */
#ifndef BK_BUNDLE_RAW_H
#define BK_BUNDLE_RAW_H

#include "bk/base/str.h"

enum {
    /* inih truncates a section title (kind and name) at 49 characters */
    BK_RAW_MAX_NAME = 39
};

typedef enum BkRawKind {
    BK_RAW_BUNDLE,
    BK_RAW_UPSTREAM,
    BK_RAW_MODEL,
    BK_RAW_ADAPTER,
    BK_RAW_SERVICE,
    BK_RAW_CALLER,
    BK_RAW_KIND_COUNT
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
    BK_RAW_KEY_COUNT
} BkRawKey;

typedef struct BkRawSection {
    BkRawKind kind;
    char *title; /* text between the brackets */
    BkStr name;  /* second word of title; empty for [bundle] */
    int line;    /* of the title */
    BkBuf values[BK_RAW_KEY_COUNT];
    int lines[BK_RAW_KEY_COUNT]; /* line of each key; 0: it is not given */
} BkRawSection;

typedef struct BkRawBundle {
    const char *source_name;
    BkRawSection *sections; /* in the order of the text */
    int count;
} BkRawBundle;

/* Parses the text; raw must be destroyed also after an error.
 * ERRORS: BK_EBUNDLE, BK_ETOOBIG. */
BkStatus BkRawBundle_Parse(BkRawBundle *raw, const char *source_name,
                           BkStr text);
void BkRawBundle_Destroy(BkRawBundle *raw);

bool BkRawSection_Has(const BkRawSection *section, BkRawKey key);
BkStr BkRawSection_Value(const BkRawSection *section, BkRawKey key);

/* Sets the error "source_name:line: [title] key: message" and returns
 * BK_EBUNDLE. */
BkStatus BkRawBundle_Fail(const BkRawBundle *raw, const BkRawSection *section,
                          BkRawKey key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* The same for a whole section: "source_name:line: [title]: message". */
BkStatus BkRawBundle_FailSection(const BkRawBundle *raw,
                                 const BkRawSection *section, const char *fmt,
                                 ...) __attribute__((format(printf, 3, 4)));

/* Whether the name is 1 to BK_RAW_MAX_NAME letters, digits and - _ . */
bool BkRawName_IsValid(BkStr name);

#endif
