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
    /* so that the longest title, "upstream NAME", is not longer than
       the 49 characters that inih keeps of a title */
    BK_RAW_MAX_NAME = 39
};

typedef enum BkRawSectionKind {
    BK_RAW_SECTION_BUNDLE,
    BK_RAW_SECTION_UPSTREAM,
    BK_RAW_SECTION_MODEL,
    BK_RAW_SECTION_ADAPTER,
    BK_RAW_SECTION_SERVICE,
    BK_RAW_SECTION_CALLER,
    BK_RAW_SECTION_KIND_COUNT
} BkRawSectionKind;

typedef enum BkRawKey {
    BK_RAW_KEY_NAME,
    BK_RAW_KEY_NOTE,
    BK_RAW_KEY_KIND,
    BK_RAW_KEY_ADDR,
    BK_RAW_KEY_DOMAIN,
    BK_RAW_KEY_MEMORY,
    BK_RAW_KEY_FENCING,
    BK_RAW_KEY_SLOTS,
    BK_RAW_KEY_SERVES,
    BK_RAW_KEY_VERSION,
    BK_RAW_KEY_BYTES,
    BK_RAW_KEY_COPIES,
    BK_RAW_KEY_REPEATABLE,
    BK_RAW_KEY_BASE,
    BK_RAW_KEY_TOKEN,
    BK_RAW_KEY_SHARE,
    BK_RAW_KEY_ALLOW,
    BK_RAW_KEY_COUNT
} BkRawKey;

typedef struct BkRawSection {
    BkRawSectionKind kind;
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
