#include "raw.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/ini.h"
#include "bk/bundle/bundle.h"

enum {
    MESSAGE_BYTES = 320
};

#define BIT(key) (1U << (key))

typedef struct SectionKindSpec {
    const char *word;
    unsigned allowed_keys; /* BIT(key) of each key that the section may have */
    unsigned required_keys; /* BIT(key) of each key that it must have */
} SectionKindSpec;

static const char *const key_names[BK_RAW_KEY_COUNT] = {
    "name",       "note",  "kind",   "addr",    "domain", "memory",
    "fencing",    "slots", "serves", "version", "bytes",  "copies",
    "repeatable", "base",  "token",  "share",   "allow",
};

static const SectionKindSpec kind_specs[BK_RAW_SECTION_KIND_COUNT] = {
    {"bundle", BIT(BK_RAW_KEY_NAME) | BIT(BK_RAW_KEY_NOTE),
     BIT(BK_RAW_KEY_NAME)},
    {"upstream",
     BIT(BK_RAW_KEY_KIND) | BIT(BK_RAW_KEY_ADDR) | BIT(BK_RAW_KEY_DOMAIN) |
         BIT(BK_RAW_KEY_MEMORY) | BIT(BK_RAW_KEY_FENCING) |
         BIT(BK_RAW_KEY_SLOTS) | BIT(BK_RAW_KEY_SERVES),
     BIT(BK_RAW_KEY_KIND) | BIT(BK_RAW_KEY_ADDR) | BIT(BK_RAW_KEY_DOMAIN)},
    {"model",
     BIT(BK_RAW_KEY_VERSION) | BIT(BK_RAW_KEY_BYTES) | BIT(BK_RAW_KEY_COPIES) |
         BIT(BK_RAW_KEY_REPEATABLE),
     BIT(BK_RAW_KEY_VERSION) | BIT(BK_RAW_KEY_BYTES)},
    {"adapter",
     BIT(BK_RAW_KEY_VERSION) | BIT(BK_RAW_KEY_BYTES) | BIT(BK_RAW_KEY_COPIES) |
         BIT(BK_RAW_KEY_REPEATABLE) | BIT(BK_RAW_KEY_BASE),
     BIT(BK_RAW_KEY_VERSION) | BIT(BK_RAW_KEY_BYTES) | BIT(BK_RAW_KEY_BASE)},
    {"service", BIT(BK_RAW_KEY_REPEATABLE), BIT(BK_RAW_KEY_REPEATABLE)},
    {"caller",
     BIT(BK_RAW_KEY_TOKEN) | BIT(BK_RAW_KEY_SHARE) | BIT(BK_RAW_KEY_ALLOW),
     BIT(BK_RAW_KEY_TOKEN) | BIT(BK_RAW_KEY_ALLOW)},
};

/* keys whose value may be continued on indented lines */
static const unsigned multiline_keys =
    BIT(BK_RAW_KEY_NOTE) | BIT(BK_RAW_KEY_SERVES) | BIT(BK_RAW_KEY_ALLOW);

typedef struct Reader {
    BkRawBundle *raw;
    int section_index; /* of the last key; -1 before the first key */
    BkRawKey last_key; /* key that an indented line continues */
} Reader;

bool
BkRawSection_Has(const BkRawSection *section, BkRawKey key)
{
    return section->lines[key] != 0;
}

BkStr
BkRawSection_Value(const BkRawSection *section, BkRawKey key)
{
    return BkBuf_Str(&section->values[key]);
}

BkStatus
BkRawBundle_Fail(const BkRawBundle *raw, const BkRawSection *section,
                 BkRawKey key, const char *fmt, ...)
{
    char message[MESSAGE_BYTES];
    va_list args;
    int line = section->lines[key] != 0 ? section->lines[key] : section->line;

    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    return BkErr_Set(BK_EBUNDLE, "%s:%d: [%s] %s: %s", raw->source_name, line,
                     section->title, key_names[key], message);
}

BkStatus
BkRawBundle_FailSection(const BkRawBundle *raw, const BkRawSection *section,
                        const char *fmt, ...)
{
    char message[MESSAGE_BYTES];
    va_list args;

    va_start(args, fmt);
    vsnprintf(message, sizeof(message), fmt, args);
    va_end(args);
    return BkErr_Set(BK_EBUNDLE, "%s:%d: [%s]: %s", raw->source_name,
                     section->line, section->title, message);
}

bool
BkRawName_IsValid(BkStr name)
{
    static const char allowed[] = "abcdefghijklmnopqrstuvwxyz"
                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                  "0123456789-_.";

    if (name.len == 0 || name.len > BK_RAW_MAX_NAME) {
        return false;
    }
    for (size_t i = 0; i < name.len; i++) {
        if (strchr(allowed, name.ptr[i]) == NULL || name.ptr[i] == '\0') {
            return false;
        }
    }
    return true;
}

static void
format_allowed_keys(BkRawSectionKind kind, BkBuf *out)
{
    for (int key = 0; key < BK_RAW_KEY_COUNT; key++) {
        if ((kind_specs[kind].allowed_keys & BIT(key)) != 0) {
            BkBuf_Printf(out, " %s", key_names[key]);
        }
    }
}

/* Sets kind and name of a section from its title. */
static BkStatus
parse_title(BkRawBundle *raw, BkRawSection *section)
{
    BkStr rest = BkStr_FromC(section->title);
    BkStr word = BkStr_Split(&rest, ' ');
    int kind = 0;

    section->name = BkStr_Trim(rest);
    while (kind < BK_RAW_SECTION_KIND_COUNT &&
           !BkStr_Equal(word, BkStr_FromC(kind_specs[kind].word))) {
        kind++;
    }
    if (kind == BK_RAW_SECTION_KIND_COUNT) {
        return BkRawBundle_FailSection(
            raw, section,
            "unknown; allowed: [bundle] [upstream NAME] [model NAME] "
            "[adapter NAME] [service NAME] [caller NAME]");
    }
    section->kind = (BkRawSectionKind)kind;
    if (kind == BK_RAW_SECTION_BUNDLE && section->name.len > 0) {
        return BkRawBundle_FailSection(raw, section, "must not have a name");
    }
    if (kind != BK_RAW_SECTION_BUNDLE && !BkRawName_IsValid(section->name)) {
        return BkRawBundle_FailSection(raw, section,
                                       "needs a name of 1 to %d letters, "
                                       "digits and - _ .",
                                       BK_RAW_MAX_NAME);
    }
    return BK_OK;
}

static BkStatus
add_section(BkRawBundle *raw, BkStr title, int line)
{
    raw->sections = BkMem_Grow(raw->sections, (size_t)raw->count + 1,
                               sizeof(BkRawSection));
    BkRawSection *section = &raw->sections[raw->count++];
    memset(section, 0, sizeof(*section));
    section->line = line;
    section->title = BkStr_Dup(title);
    return parse_title(raw, section);
}

/*
 * Finds the sections before inih parses the text, because inih does not
 * report empty sections and does not distinguish sections of the same name.
 */
static BkStatus
scan_sections(BkRawBundle *raw, BkStr text)
{
    bool after_key = false;
    BkStatus status = BK_OK;

    for (int line = 1; text.len > 0 && status == BK_OK; line++) {
        BkStr full_line = BkStr_Split(&text, '\n');
        BkStr trimmed = BkStr_Trim(full_line);
        if (trimmed.len == 0 || trimmed.ptr[0] == ';' ||
            trimmed.ptr[0] == '#') {
            continue;
        }
        bool indented = trimmed.ptr != full_line.ptr;
        if (trimmed.ptr[0] != '[' || (after_key && indented)) {
            after_key = true;
            continue;
        }
        trimmed.ptr++;
        trimmed.len--;
        BkStr title = BkStr_Trim(BkStr_Split(&trimmed, ']'));
        status = add_section(raw, title, line);
        after_key = false;
    }
    return status;
}

/* index of the section that contains this line */
static int
find_section(const Reader *reader, int line)
{
    int index = reader->section_index;

    while (index + 1 < reader->raw->count &&
           reader->raw->sections[index + 1].line < line) {
        index++;
    }
    return index;
}

static int
find_key(const char *word)
{
    for (int key = 0; key < BK_RAW_KEY_COUNT; key++) {
        if (strcmp(key_names[key], word) == 0) {
            return key;
        }
    }
    return -1;
}

static BkStatus
append_continuation(Reader *reader, BkRawSection *section,
                    const BkIniKey *ini_key)
{
    if ((multiline_keys & BIT(reader->last_key)) == 0) {
        /* so that the message names the continuation line */
        section->lines[reader->last_key] = ini_key->line;
        return BkRawBundle_Fail(reader->raw, section, reader->last_key,
                                "continued on an indented line, but only "
                                "note, serves and allow may be continued");
    }
    BkBuf *value = &section->values[reader->last_key];
    return BkBuf_Printf(value, "%s%s", value->len > 0 ? " " : "",
                        ini_key->value);
}

static BkStatus
fail_unknown(const Reader *reader, const BkRawSection *section,
             const BkIniKey *ini_key)
{
    BkBuf allowed = BkBuf_Make(MESSAGE_BYTES);

    format_allowed_keys(section->kind, &allowed);
    BkErr_Set(BK_EBUNDLE, "%s:%d: [%s] %s: unknown; allowed:%s",
              reader->raw->source_name, ini_key->line, section->title,
              ini_key->key, BkBuf_C(&allowed));
    BkBuf_Destroy(&allowed);
    return BK_EBUNDLE;
}

static BkStatus
on_key(const BkIniKey *ini_key, void *arg)
{
    Reader *reader = arg;
    int index = find_section(reader, ini_key->line);

    if (index < 0) {
        return BkErr_Set(
            BK_EBUNDLE, "%s:%d: %s: key before the first [section]",
            reader->raw->source_name, ini_key->line, ini_key->key);
    }
    BkRawSection *section = &reader->raw->sections[index];
    if (ini_key->is_continuation && index == reader->section_index) {
        return append_continuation(reader, section, ini_key);
    }
    reader->section_index = index;
    int key = find_key(ini_key->key);
    if (key < 0 || (kind_specs[section->kind].allowed_keys & BIT(key)) == 0) {
        return fail_unknown(reader, section, ini_key);
    }
    if (section->lines[key] != 0) {
        /* so that the message names the line of the second occurrence */
        section->lines[key] = ini_key->line;
        return BkRawBundle_Fail(reader->raw, section, (BkRawKey)key,
                                "given twice");
    }
    section->lines[key] = ini_key->line;
    reader->last_key = (BkRawKey)key;
    return BkBuf_Append(&section->values[key], BkStr_FromC(ini_key->value));
}

static BkStatus
check_required(const BkRawBundle *raw, const BkRawSection *section)
{
    for (int key = 0; key < BK_RAW_KEY_COUNT; key++) {
        if ((kind_specs[section->kind].required_keys & BIT(key)) != 0 &&
            section->lines[key] == 0) {
            return BkRawBundle_Fail(raw, section, (BkRawKey)key, "missing");
        }
        if (section->lines[key] != 0 && section->values[key].len == 0 &&
            key != BK_RAW_KEY_NOTE) {
            return BkRawBundle_Fail(raw, section, (BkRawKey)key, "is empty");
        }
    }
    return BK_OK;
}

/* The text is sent as a JSON string, so it must be UTF-8, and inih parses it
 * as a C string, so it must not contain a zero byte. */
static bool
is_valid_text(BkStr text)
{
    if (text.len == 0) {
        return true;
    }
    json_t *string = json_stringn(text.ptr, text.len);
    bool valid = string != NULL && memchr(text.ptr, '\0', text.len) == NULL;
    json_decref(string);
    return valid;
}

BkStatus
BkRawBundle_Parse(BkRawBundle *raw, const char *source_name, BkStr text)
{
    Reader reader = {
        .raw = raw, .section_index = -1, .last_key = BK_RAW_KEY_NAME};

    *raw = (BkRawBundle){.source_name = source_name};
    if (text.len > BK_BUNDLE_MAX_BYTES) {
        return BkErr_Set(BK_ETOOBIG, "%s: a bundle has at most %d bytes",
                         source_name, BK_BUNDLE_MAX_BYTES);
    }
    if (!is_valid_text(text)) {
        return BkErr_Set(BK_EBUNDLE, "%s: is not valid UTF-8 text",
                         source_name);
    }
    BkStatus status = scan_sections(raw, text);
    if (status == BK_OK) {
        status = BkIni_Parse(source_name, text, BK_EBUNDLE, on_key, &reader);
    }
    for (int i = 0; i < raw->count && status == BK_OK; i++) {
        status = check_required(raw, &raw->sections[i]);
    }
    return status;
}

void
BkRawBundle_Destroy(BkRawBundle *raw)
{
    for (int i = 0; i < raw->count; i++) {
        for (int key = 0; key < BK_RAW_KEY_COUNT; key++) {
            BkBuf_Destroy(&raw->sections[i].values[key]);
        }
        free(raw->sections[i].title);
    }
    free(raw->sections);
    *raw = (BkRawBundle){0};
}
