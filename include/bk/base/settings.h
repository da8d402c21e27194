/*
 * settings - checked INI settings
 *
 * A program lists its keys in a table; BkSettings_Load owns parsing,
 * defaults and checks. Every fault names file, line, key and what is
 * allowed; an unknown section or key is a fault.
 *
 *   static const BkSettingSpec specs[] = {
 *       {"entry", "listen", BK_SET_ADDR, offsetof(Conf, listen),
 *        "127.0.0.1:8080", 0, 0, "address for callers"},
 *   };
 *
 * Storage by type: BK_SET_TEXT and BK_SET_ADDR char * (owned), BK_SET_INT
 * int64_t, BK_SET_MS BkMs ("250ms", "3s", "10min", "24h"), BK_SET_BYTES
 * uint64_t ("64KiB", "24GiB"), BK_SET_BOOL bool ("yes" or "no"),
 * BK_SET_REAL double (min and max in thousandths).
 */
#ifndef BK_BASE_SETTINGS_H
#define BK_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/status.h"
#include "bk/base/str.h"

typedef enum BkSettingType {
    BK_SET_TEXT,
    BK_SET_ADDR, /* "ip:port", numeric */
    BK_SET_INT,
    BK_SET_MS,
    BK_SET_BYTES,
    BK_SET_BOOL,
    BK_SET_REAL
} BkSettingType;

typedef struct BkSettingSpec {
    const char *section;
    const char *key;
    BkSettingType type;
    size_t offset;        /* of the field in the target struct */
    const char *fallback; /* NULL: the key must be given */
    int64_t min;          /* for numbers; min == max == 0: no check */
    int64_t max;
    const char *help;
} BkSettingSpec;

/* An entry of a table for the struct Conf: the section, the key, its type,
   the field, the fallback, min, max, and the help. */
#define BK_SETTING(Conf, section, key, type, field, fallback, min, max, help) \
    {                                                                         \
        section, key, type, offsetof(Conf, field), fallback, min, max, help   \
    }

/*
 * Reads the file at path into the struct at target (zeroed by the caller).
 * ERRORS: BK_ECONFIG with "path:line: [section] key: ..." as the message;
 * BK_EIO if the file cannot be read.
 */
BkStatus BkSettings_Load(const char *path, const BkSettingSpec *specs,
                         int count, void *target);

/*
 * The form of a fault that a program finds in a combination of settings:
 * "path:line: [section] key: ..."; the line is looked up in the file, and
 * left out if the key is not given there. Gives BK_ECONFIG.
 */
BkStatus BkSettings_Fail(const char *path, const char *section,
                         const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Frees the text fields. */
void BkSettings_Destroy(const BkSettingSpec *specs, int count, void *target);

/* Parsers of values with units, used by bundles too. ERRORS: BK_EINVAL. */
BkStatus BkSettings_ParseMs(BkStr text, BkMs *out);
BkStatus BkSettings_ParseBytes(BkStr text, uint64_t *out);
BkStatus BkSettings_ParseBool(BkStr text, bool *out);
BkStatus BkSettings_ParseAddr(BkStr text);

#endif
