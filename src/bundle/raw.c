#include "raw.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/ini.h"
#include "bk/bundle/bundle.h"

enum {
    MAX_WHY = 320
};

#define BIT(key) (1U << (key))

typedef struct KindSpec {
    const char *word;
    unsigned allowed;
    unsigned required;
} KindSpec;

static const char *const key_words[BK_RAW_KEYS] = {
    "name",       "note",  "kind",   "addr",    "domain", "memory",
    "fencing",    "slots", "serves", "version", "bytes",  "copies",
    "repeatable", "base",  "token",  "share",   "allow",
};

static const KindSpec kind_specs[BK_RAW_KINDS] = {
    {"bundle", BIT(BK_RAW_NAME) | BIT(BK_RAW_NOTE), BIT(BK_RAW_NAME)},
    {"upstream",
     BIT(BK_RAW_KIND) | BIT(BK_RAW_ADDR) | BIT(BK_RAW_DOMAIN) |
         BIT(BK_RAW_MEMORY) | BIT(BK_RAW_FENCING) | BIT(BK_RAW_SLOTS) |
         BIT(BK_RAW_SERVES),
     BIT(BK_RAW_KIND) | BIT(BK_RAW_ADDR) | BIT(BK_RAW_DOMAIN)},
    {"model",
     BIT(BK_RAW_VERSION) | BIT(BK_RAW_BYTES) | BIT(BK_RAW_COPIES) |
         BIT(BK_RAW_REPEATABLE),
     BIT(BK_RAW_VERSION) | BIT(BK_RAW_BYTES)},
    {"adapter",
     BIT(BK_RAW_VERSION) | BIT(BK_RAW_BYTES) | BIT(BK_RAW_COPIES) |
         BIT(BK_RAW_REPEATABLE) | BIT(BK_RAW_BASE),
     BIT(BK_RAW_VERSION) | BIT(BK_RAW_BYTES) | BIT(BK_RAW_BASE)},
    {"service", BIT(BK_RAW_REPEATABLE), BIT(BK_RAW_REPEATABLE)},
    {"caller", BIT(BK_RAW_TOKEN) | BIT(BK_RAW_SHARE) | BIT(BK_RAW_ALLOW),
     BIT(BK_RAW_TOKEN) | BIT(BK_RAW_ALLOW)},
};

/* keys whose value may go on in indented lines */
static const unsigned list_keys =
    BIT(BK_RAW_NOTE) | BIT(BK_RAW_SERVES) | BIT(BK_RAW_ALLOW);

typedef struct Reader {
    BkRawBundle *raw;
    int current;   /* section that keys go to, -1 before the first */
    BkRawKey last; /* key that an indented line goes on with */
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
    char why[MAX_WHY];
    va_list args;
    int line = section->lines[key] != 0 ? section->lines[key] : section->line;

    va_start(args, fmt);
    vsnprintf(why, sizeof(why), fmt, args);
    va_end(args);
    return BkErr_Set(BK_EBUNDLE, "%s:%d: [%s] %s: %s", raw->where, line,
                     section->title, key_words[key], why);
}

BkStatus
BkRawBundle_FailSection(const BkRawBundle *raw, const BkRawSection *section,
                        const char *fmt, ...)
{
    char why[MAX_WHY];
    va_list args;

    va_start(args, fmt);
    vsnprintf(why, sizeof(why), fmt, args);
    va_end(args);
    return BkErr_Set(BK_EBUNDLE, "%s:%d: [%s]: %s", raw->where, section->line,
                     section->title, why);
}

bool
BkRawName_Valid(BkStr name)
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
list_keys_allowed(BkRawKind kind, BkBuf *out)
{
    for (int key = 0; key < BK_RAW_KEYS; key++) {
        if ((kind_specs[kind].allowed & BIT(key)) != 0) {
            BkBuf_Printf(out, " %s", key_words[key]);
        }
    }
}

/* kind and name of a section from its title */
static BkStatus
read_title(BkRawBundle *raw, BkRawSection *section)
{
    BkStr rest = BkStr_FromC(section->title);
    BkStr word = BkStr_Split(&rest, ' ');
    int kind = 0;

    section->name = BkStr_Trim(rest);
    while (kind < BK_RAW_KINDS &&
           !BkStr_Equal(word, BkStr_FromC(kind_specs[kind].word))) {
        kind++;
    }
    if (kind == BK_RAW_KINDS) {
        return BkRawBundle_FailSection(
            raw, section,
            "unknown; allowed: [bundle] [upstream NAME] [model NAME] "
            "[adapter NAME] [service NAME] [caller NAME]");
    }
    section->kind = (BkRawKind)kind;
    if (kind == BK_RAW_BUNDLE && section->name.len > 0) {
        return BkRawBundle_FailSection(raw, section, "takes no name here");
    }
    if (kind != BK_RAW_BUNDLE && !BkRawName_Valid(section->name)) {
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
    return read_title(raw, section);
}

/*
 * Finds the sections ahead of inih, which tells nothing of an empty one and
 * cannot tell two of the same name apart.
 */
static BkStatus
scan_sections(BkRawBundle *raw, BkStr text)
{
    bool after_key = false;
    BkStatus status = BK_OK;

    for (int line = 1; text.len > 0 && status == BK_OK; line++) {
        BkStr whole = BkStr_Split(&text, '\n');
        BkStr start = BkStr_Trim(whole);
        if (start.len == 0 || start.ptr[0] == ';' || start.ptr[0] == '#') {
            continue;
        }
        bool indented = start.ptr != whole.ptr;
        if (start.ptr[0] != '[' || (after_key && indented)) {
            after_key = true;
            continue;
        }
        start.ptr++;
        start.len--;
        BkStr title = BkStr_Trim(BkStr_Split(&start, ']'));
        status = add_section(raw, title, line);
        after_key = false;
    }
    return status;
}

/* the section in which this line stands */
static int
find_section(const Reader *reader, int line)
{
    int index = reader->current;

    while (index + 1 < reader->raw->count &&
           reader->raw->sections[index + 1].line < line) {
        index++;
    }
    return index;
}

static int
find_key(const char *word)
{
    for (int key = 0; key < BK_RAW_KEYS; key++) {
        if (strcmp(key_words[key], word) == 0) {
            return key;
        }
    }
    return -1;
}

static BkStatus
go_on(Reader *reader, BkRawSection *section, const BkIniKey *ini)
{
    if ((list_keys & BIT(reader->last)) == 0) {
        section->lines[reader->last] = ini->line;
        return BkRawBundle_Fail(reader->raw, section, reader->last,
                                "an indented line goes on with this key, but "
                                "only note, serves and allow may go on");
    }
    BkBuf *value = &section->values[reader->last];
    return BkBuf_Printf(value, "%s%s", value->len > 0 ? " " : "", ini->value);
}

static BkStatus
fail_unknown(const Reader *reader, const BkRawSection *section,
             const BkIniKey *ini)
{
    BkBuf allowed = BkBuf_Make(MAX_WHY);

    list_keys_allowed(section->kind, &allowed);
    BkErr_Set(BK_EBUNDLE, "%s:%d: [%s] %s: unknown; allowed:%s",
              reader->raw->where, ini->line, section->title, ini->key,
              BkBuf_C(&allowed));
    BkBuf_Destroy(&allowed);
    return BK_EBUNDLE;
}

static BkStatus
take_key(const BkIniKey *ini, void *arg)
{
    Reader *reader = arg;
    int index = find_section(reader, ini->line);

    if (index < 0) {
        return BkErr_Set(BK_EBUNDLE, "%s:%d: %s: stands before any [section]",
                         reader->raw->where, ini->line, ini->key);
    }
    BkRawSection *section = &reader->raw->sections[index];
    if (ini->continued && index == reader->current) {
        return go_on(reader, section, ini);
    }
    reader->current = index;
    int key = find_key(ini->key);
    if (key < 0 || (kind_specs[section->kind].allowed & BIT(key)) == 0) {
        return fail_unknown(reader, section, ini);
    }
    if (section->lines[key] != 0) {
        section->lines[key] = ini->line;
        return BkRawBundle_Fail(reader->raw, section, (BkRawKey)key,
                                "given twice");
    }
    section->lines[key] = ini->line;
    reader->last = (BkRawKey)key;
    return BkBuf_Append(&section->values[key], BkStr_FromC(ini->value));
}

static BkStatus
check_required(const BkRawBundle *raw, const BkRawSection *section)
{
    for (int key = 0; key < BK_RAW_KEYS; key++) {
        if ((kind_specs[section->kind].required & BIT(key)) != 0 &&
            section->lines[key] == 0) {
            return BkRawBundle_Fail(raw, section, (BkRawKey)key, "missing");
        }
        if (section->lines[key] != 0 && section->values[key].len == 0 &&
            key != BK_RAW_NOTE) {
            return BkRawBundle_Fail(raw, section, (BkRawKey)key, "is empty");
        }
    }
    return BK_OK;
}

/* it travels as a JSON string and as lines for inih */
static bool
is_text(BkStr text)
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
BkRawBundle_Read(BkRawBundle *raw, const char *where, BkStr text)
{
    Reader reader = {.raw = raw, .current = -1, .last = BK_RAW_NAME};

    *raw = (BkRawBundle){.where = where};
    if (text.len > BK_BUNDLE_MAX_BYTES) {
        return BkErr_Set(BK_ETOOBIG, "%s: a bundle has at most %d bytes",
                         where, BK_BUNDLE_MAX_BYTES);
    }
    if (!is_text(text)) {
        return BkErr_Set(BK_EBUNDLE, "%s: is not text in UTF-8", where);
    }
    BkStatus status = scan_sections(raw, text);
    if (status == BK_OK) {
        status = BkIni_Parse(where, text, BK_EBUNDLE, take_key, &reader);
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
        for (int key = 0; key < BK_RAW_KEYS; key++) {
            BkBuf_Destroy(&raw->sections[i].values[key]);
        }
        free(raw->sections[i].title);
    }
    free(raw->sections);
    *raw = (BkRawBundle){0};
}
