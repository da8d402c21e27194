/*
 * settings - reads and checks INI settings files
 *
 * A program lists its keys in a table; BkSettings_Load parses the file, checks
 * each value and sets defaults. An unknown section or key is an error. Every
 * error message names the file, the line, the key and what is allowed.
 *
 *   static const BkSettingSpec specs[] = {
 *       {"entry", "listen", BK_SETTING_ADDR, offsetof(Conf, listen),
 *        "127.0.0.1:8080", 0, 0, "address for callers"},
 *   };
 *
 * Types of the fields: char * (owned) for BK_SETTING_TEXT and BK_SETTING_ADDR,
 * int64_t for BK_SETTING_INT, BkMs for BK_SETTING_MS ("250ms", "3s", "10min",
 * "24h"), uint64_t for BK_SETTING_BYTES ("64KiB", "24GiB"), bool for
 * BK_SETTING_BOOL ("yes" or "no"), double for BK_SETTING_REAL (min and max are
 * in thousandths).
 */
#ifndef BK_BASE_SETTINGS_H
#define BK_BASE_SETTINGS_H

#include <stddef.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/status.h"
#include "bk/base/str.h"

typedef enum BkSettingType {
    BK_SETTING_TEXT,
    BK_SETTING_ADDR, /* "ip:port", numeric */
    BK_SETTING_INT,
    BK_SETTING_MS,
    BK_SETTING_BYTES,
    BK_SETTING_BOOL,
    BK_SETTING_REAL
} BkSettingType;

typedef struct BkSettingSpec {
    const char *section;
    const char *key;
    BkSettingType type;
    size_t offset;             /* of the field in the target struct */
    const char *default_value; /* default value; NULL: the key must be given */
    int64_t min;               /* of numbers; min == max == 0: no check */
    int64_t max;
    const char *help;
} BkSettingSpec;

/* An entry of a table of settings of the struct type Conf. */
#define BK_SETTING(Conf, section, key, type, field, default_value, min, max,  \
                   help)                                                      \
    {                                                                         \
        section, key, type, offsetof(Conf, field), default_value, min, max,   \
            help                                                              \
    }

/*
 * Reads the file at path into the struct at target, which must be zeroed.
 * ERRORS: BK_ECONFIG with "path:line: [section] key: ..." as the message;
 * BK_EIO if the file cannot be read.
 */
BkStatus BkSettings_Load(const char *path, const BkSettingSpec *specs,
                         int count, void *target);

/*
 * Reports an error that the program itself found in its settings, such as two
 * that exclude each other. Sets the message "path:line: [section] key: ..."
 * and returns BK_ECONFIG. The line is looked up in the file, and omitted if
 * the key is not given there.
 */
BkStatus BkSettings_SetError(const char *path, const char *section,
                             const char *key, const char *fmt, ...)
    __attribute__((format(printf, 4, 5)));

/* Frees the text and address fields and sets them to NULL. */
void BkSettings_Destroy(const BkSettingSpec *specs, int count, void *target);

/* Parsers of single values, also used for bundles; BkSettings_CheckAddr only
 * checks the text. ERRORS: BK_EINVAL, BK_ERANGE. */
BkStatus BkSettings_ParseMs(BkStr text, BkMs *out);
BkStatus BkSettings_ParseBytes(BkStr text, uint64_t *out);
BkStatus BkSettings_ParseBool(BkStr text, bool *out);
BkStatus BkSettings_CheckAddr(BkStr text);

#endif
