#include "bk/base/settings.h"

#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/ini.h"
#include "bk/base/utf8.h"

enum {
    MAX_SPECS = 128,
    REAL_SCALE = 1000,
    MAX_FILE_BYTES = 256 * 1024,
    MESSAGE_BYTES = 400
};

typedef struct Unit {
    const char *name;
    uint64_t factor; /* ms or bytes in one such unit */
} Unit;

static const Unit time_units[] = {
    {"ms", 1}, {"s", 1000}, {"min", 60000}, {"h", 3600000}, {"d", 86400000},
};

static const Unit byte_units[] = {
    {"B", 1},
    {"KiB", UINT64_C(1) << 10},
    {"MiB", UINT64_C(1) << 20},
    {"GiB", UINT64_C(1) << 30},
    {"TiB", UINT64_C(1) << 40},
};

#define COUNT_OF(array) ((int)(sizeof(array) / sizeof((array)[0])))

static size_t
count_digits(BkStr text)
{
    size_t n = 0;

    while (n < text.len && text.ptr[n] >= '0' && text.ptr[n] <= '9') {
        n++;
    }
    return n;
}

/* the value of a fraction such as ".25" of a unit, rounded down; 1e-6 offsets
   the rounding errors of the sum, which may be just below a whole number */
static uint64_t
scale_fraction(BkStr fraction, uint64_t factor)
{
    double value = 0;
    double place_value = 0.1;

    for (size_t i = 1; i < fraction.len; i++, place_value /= 10) {
        value += (fraction.ptr[i] - '0') * place_value;
    }
    return (uint64_t)(value * (double)factor + 1e-6);
}

static BkStatus
parse_with_unit(BkStr text, const Unit *units, int count, const char *allowed,
                uint64_t *out)
{
    size_t digits = count_digits(text);
    size_t number_end = digits;
    uint64_t number;

    if (digits > 0 && digits < text.len && text.ptr[digits] == '.') {
        number_end = digits + 1 +
                     count_digits((BkStr){text.ptr + digits + 1,
                                          text.len - digits - 1});
    }
    BkStr unit = {text.ptr + number_end, text.len - number_end};
    for (int i = 0; i < count && digits > 0; i++) {
        if (!BkStr_Equal(unit, BkStr_FromC(units[i].name))) {
            continue;
        }
        BkStatus status = BkStr_ToU64((BkStr){text.ptr, digits}, &number);
        if (status != BK_OK) {
            return status;
        }
        if (number > (uint64_t)INT64_MAX / units[i].factor) {
            return BkErr_Set(BK_EINVAL, "\"%.*s\" is too large",
                             BK_STR_ARG(text));
        }
        *out = number * units[i].factor +
               scale_fraction((BkStr){text.ptr + digits, number_end - digits},
                              units[i].factor);
        return BK_OK;
    }
    return BkErr_Set(BK_EINVAL, "\"%.*s\" is not a number with a unit of %s",
                     BK_STR_ARG(text), allowed);
}

BkStatus
BkSettings_ParseMs(BkStr text, BkMs *out)
{
    uint64_t value;
    BkStatus status = parse_with_unit(text, time_units, COUNT_OF(time_units),
                                      "ms, s, min, h or d", &value);

    if (status == BK_OK) {
        *out = (BkMs)value;
    }
    return status;
}

BkStatus
BkSettings_ParseBytes(BkStr text, uint64_t *out)
{
    return parse_with_unit(text, byte_units, COUNT_OF(byte_units),
                           "B, KiB, MiB, GiB or TiB", out);
}

BkStatus
BkSettings_ParseBool(BkStr text, bool *out)
{
    if (BkStr_Equal(text, BK_STR("yes"))) {
        *out = true;
        return BK_OK;
    }
    if (BkStr_Equal(text, BK_STR("no"))) {
        *out = false;
        return BK_OK;
    }
    return BkErr_Set(BK_EINVAL, "\"%.*s\" is neither yes nor no",
                     BK_STR_ARG(text));
}

static bool
is_ipv4(BkStr host)
{
    int parts = 0;

    while (host.len > 0 || parts == 0) {
        uint64_t value;
        BkStr part = BkStr_Split(&host, '.');
        if (BkStr_ToU64(part, &value) != BK_OK || value > 255) {
            return false;
        }
        parts++;
    }
    return parts == 4;
}

BkStatus
BkSettings_CheckAddr(BkStr text)
{
    BkStr port = text;
    BkStr host = BkStr_Split(&port, ':');
    uint64_t number;

    if (is_ipv4(host) && BkStr_ToU64(port, &number) == BK_OK &&
        number <= UINT16_MAX) {
        return BK_OK;
    }
    return BkErr_Set(BK_EINVAL,
                     "\"%.*s\" is not a numeric address like 10.0.0.1:8080",
                     BK_STR_ARG(text));
}

static BkStatus
check_range(const BkSettingSpec *spec, int64_t value)
{
    bool unchecked = spec->min == 0 && spec->max == 0;

    if (unchecked || (value >= spec->min && value <= spec->max)) {
        return BK_OK;
    }
    return BkErr_Set(BK_EINVAL, "%lld is not in %lld to %lld",
                     (long long)value, (long long)spec->min,
                     (long long)spec->max);
}

static BkStatus
store_real(const BkSettingSpec *spec, BkStr value, double *field)
{
    char *copy = BkStr_Dup(value);
    char *number_end;

    *field = strtod(copy, &number_end);
    bool valid = number_end != copy && *number_end == '\0';
    free(copy);
    if (!valid) {
        return BkErr_Set(BK_EINVAL, "\"%.*s\" is not a number",
                         BK_STR_ARG(value));
    }
    bool unchecked = spec->min == 0 && spec->max == 0;
    double scaled = *field * REAL_SCALE;
    if (unchecked ||
        (scaled >= (double)spec->min && scaled <= (double)spec->max)) {
        return BK_OK;
    }
    return BkErr_Set(BK_EINVAL, "%g is not in %g to %g", *field,
                     (double)spec->min / REAL_SCALE,
                     (double)spec->max / REAL_SCALE);
}

static BkStatus
store_int(const BkSettingSpec *spec, BkStr value, int64_t *field)
{
    uint64_t number;
    BkStatus status = BkStr_ToU64(value, &number);

    if (status == BK_EINVAL && value.len > 0) {
        return BkErr_Set(status, "\"%.*s\" is not a whole number",
                         BK_STR_ARG(value));
    }
    if (status != BK_OK) {
        return status;
    }
    if (number > INT64_MAX) {
        return BkErr_Set(BK_EINVAL, "the number is too large");
    }
    *field = (int64_t)number;
    return check_range(spec, *field);
}

static BkStatus
store_value(const BkSettingSpec *spec, BkStr value, char *target)
{
    void *field = target + spec->offset;
    BkStatus status = BK_OK;

    switch (spec->type) {
    case BK_SETTING_ADDR:
        status = BkSettings_CheckAddr(value);
        if (status != BK_OK) {
            return status;
        }
        /* fall through */
    case BK_SETTING_TEXT:
        *(char **)field = BkStr_Dup(value);
        return BK_OK;
    case BK_SETTING_INT:
        return store_int(spec, value, field);
    case BK_SETTING_MS:
        status = BkSettings_ParseMs(value, field);
        return status != BK_OK ? status : check_range(spec, *(BkMs *)field);
    case BK_SETTING_BYTES:
        status = BkSettings_ParseBytes(value, field);
        return status != BK_OK ? status : check_range(spec, *(int64_t *)field);
    case BK_SETTING_BOOL:
        return BkSettings_ParseBool(value, field);
    case BK_SETTING_REAL:
        return store_real(spec, value, field);
    }
    return BK_OK;
}

typedef struct LoadState {
    const char *path;
    const BkSettingSpec *specs;
    int count;
    char *target;
    bool seen[MAX_SPECS];
} LoadState;

static int
find_spec(const LoadState *load, const char *section, const char *key)
{
    for (int i = 0; i < load->count; i++) {
        if (strcmp(load->specs[i].section, section) == 0 &&
            strcmp(load->specs[i].key, key) == 0) {
            return i;
        }
    }
    return -1;
}

/* appends the keys allowed in the section or, if there is no such section, the
   names of all sections */
static void
list_allowed(const LoadState *load, const char *section, BkBuf *out)
{
    bool section_known = false;

    for (int i = 0; i < load->count; i++) {
        section_known |= strcmp(load->specs[i].section, section) == 0;
    }
    const char *last_section = "";
    for (int i = 0; i < load->count; i++) {
        const BkSettingSpec *spec = &load->specs[i];
        if (section_known && strcmp(spec->section, section) == 0) {
            BkBuf_Printf(out, " %s", spec->key);
        }
        if (!section_known && strcmp(spec->section, last_section) != 0) {
            BkBuf_Printf(out, " [%s]", spec->section);
            last_section = spec->section;
        }
    }
}

static BkStatus
fail_key(const LoadState *load, const BkIniKey *key, const char *message)
{
    return BkErr_Set(BK_ECONFIG, "%s:%d: [%s] %s: %s", load->path, key->line,
                     key->section, key->key, message);
}

/* A text may continue in indented lines. An indented line with a "=" is an
   error: it is a key, which would otherwise become a part of the text. */
static BkStatus
append_line(const LoadState *load, const BkIniKey *key, int index)
{
    char **field = (char **)(load->target + load->specs[index].offset);
    BkBuf joined = BkBuf_Make(0);

    if (load->specs[index].type != BK_SETTING_TEXT ||
        strchr(key->value, '=') != NULL) {
        return fail_key(load, key,
                        "an indented line continues the key above it; only a "
                        "text may be continued, and not by KEY = VALUE, which "
                        "must start in the first column");
    }
    BkBuf_Printf(&joined, "%s %s", *field, key->value);
    free(*field);
    *field = BkStr_Dup(BkBuf_Str(&joined));
    BkBuf_Destroy(&joined);
    return BK_OK;
}

static BkStatus
apply_key(const BkIniKey *key, void *arg)
{
    LoadState *load = arg;
    char message[400];
    int index = find_spec(load, key->section, key->key);

    if (index < 0) {
        BkBuf allowed = BkBuf_Make(300);
        list_allowed(load, key->section, &allowed);
        snprintf(message, sizeof(message), "unknown; allowed:%s",
                 BkBuf_C(&allowed));
        BkBuf_Destroy(&allowed);
        return fail_key(load, key, message);
    }
    if (!BkUtf8_IsValid(BkStr_FromC(key->value))) {
        /* it is stored in rows and told in JSON, which hold nothing else */
        return fail_key(load, key, "is not valid UTF-8 text");
    }
    if (load->seen[index] && key->is_continuation) {
        return append_line(load, key, index);
    }
    if (load->seen[index]) {
        return fail_key(load, key, "given twice");
    }
    load->seen[index] = true;
    const BkSettingSpec *spec = &load->specs[index];
    if (store_value(spec, BkStr_FromC(key->value), load->target) != BK_OK) {
        snprintf(message, sizeof(message), "%s (%s)", BkErr_Last(),
                 spec->help);
        return fail_key(load, key, message);
    }
    return BK_OK;
}

static BkStatus
apply_defaults(LoadState *load)
{
    for (int i = 0; i < load->count; i++) {
        const BkSettingSpec *spec = &load->specs[i];
        if (load->seen[i]) {
            continue;
        }
        if (spec->default_value == NULL) {
            return BkErr_Set(BK_ECONFIG, "%s: [%s] %s: missing (%s)",
                             load->path, spec->section, spec->key, spec->help);
        }
        BkStr value = BkStr_FromC(spec->default_value);
        /* "", the default of an optional address, is stored as it is;
           store_value would reject it */
        if (spec->type == BK_SETTING_ADDR && value.len == 0) {
            *(char **)(load->target + spec->offset) = BkStr_Dup(value);
            continue;
        }
        if (store_value(spec, value, load->target) != BK_OK) {
            return BkErr_Set(BK_EINTERNAL, "invalid default of [%s] %s",
                             spec->section, spec->key);
        }
    }
    return BK_OK;
}

BkStatus
BkSettings_Load(const char *path, const BkSettingSpec *specs, int count,
                void *target)
{
    LoadState load = {path, specs, count, target, {false}};
    BkBuf text = BkBuf_Make(0);

    if (count > MAX_SPECS) {
        return BkErr_Set(BK_EINTERNAL, "too many settings");
    }
    BkStatus status = BkFile_Read(path, MAX_FILE_BYTES, &text);
    if (status == BK_OK) {
        status =
            BkIni_Parse(path, BkBuf_Str(&text), BK_ECONFIG, apply_key, &load);
    }
    BkBuf_Destroy(&text);
    return status != BK_OK ? status : apply_defaults(&load);
}

typedef struct Lookup {
    const char *section;
    const char *key;
    int line; /* 0: not found */
} Lookup;

static BkStatus
find_line(const BkIniKey *key, void *arg)
{
    Lookup *lookup = arg;

    if (lookup->line == 0 && strcmp(key->section, lookup->section) == 0 &&
        strcmp(key->key, lookup->key) == 0) {
        lookup->line = key->line;
    }
    return BK_OK;
}

BkStatus
BkSettings_SetError(const char *path, const char *section, const char *key,
                    const char *fmt, ...)
{
    char message[MESSAGE_BYTES];
    Lookup lookup = {section, key, 0};
    BkBuf text = BkBuf_Make(0);
    va_list args;

    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    if (BkFile_Read(path, MAX_FILE_BYTES, &text) == BK_OK) {
        BkIni_Parse(path, BkBuf_Str(&text), BK_ECONFIG, find_line, &lookup);
    }
    BkBuf_Destroy(&text);
    if (lookup.line == 0) {
        return BkErr_Set(BK_ECONFIG, "%s: [%s] %s: %s", path, section, key,
                         message);
    }
    return BkErr_Set(BK_ECONFIG, "%s:%d: [%s] %s: %s", path, lookup.line,
                     section, key, message);
}

void
BkSettings_Destroy(const BkSettingSpec *specs, int count, void *target)
{
    for (int i = 0; i < count; i++) {
        if (specs[i].type == BK_SETTING_TEXT ||
            specs[i].type == BK_SETTING_ADDR) {
            char **field = (char **)((char *)target + specs[i].offset);
            free(*field);
            *field = NULL;
        }
    }
}
