#include "bk/base/utf8.h"

#include <stdlib.h>
#include <string.h>

#define REPLACEMENT BK_STR("\xef\xbf\xbd") /* U+FFFD */

/* The length that the first byte of a character announces, and the range of
   its second byte, which excludes overlong forms, surrogates and what is
   above U+10FFFF (RFC 3629). */
typedef struct Lead {
    unsigned char first;
    unsigned char last;
    unsigned char second_min;
    unsigned char second_max;
    size_t len;
} Lead;

static const Lead leads[] = {
    {0xc2, 0xdf, 0x80, 0xbf, 2}, {0xe0, 0xe0, 0xa0, 0xbf, 3},
    {0xe1, 0xec, 0x80, 0xbf, 3}, {0xed, 0xed, 0x80, 0x9f, 3},
    {0xee, 0xef, 0x80, 0xbf, 3}, {0xf0, 0xf0, 0x90, 0xbf, 4},
    {0xf1, 0xf3, 0x80, 0xbf, 4}, {0xf4, 0xf4, 0x80, 0x8f, 4},
};

static bool
is_whole_char(const Lead *lead, const unsigned char *bytes, size_t left)
{
    if (left < lead->len || bytes[1] < lead->second_min ||
        bytes[1] > lead->second_max) {
        return false;
    }
    for (size_t i = 2; i < lead->len; i++) {
        if ((bytes[i] & 0xc0) != 0x80) {
            return false;
        }
    }
    return true;
}

/* bytes of the valid character at the start of the text; 0 if there is none */
static size_t
valid_char_len(BkStr text)
{
    const unsigned char *bytes = (const unsigned char *)text.ptr;

    if (bytes[0] < 0x80) {
        return bytes[0] == '\0' ? 0 : 1;
    }
    for (size_t i = 0; i < sizeof(leads) / sizeof(leads[0]); i++) {
        if (bytes[0] >= leads[i].first && bytes[0] <= leads[i].last) {
            return is_whole_char(&leads[i], bytes, text.len) ? leads[i].len
                                                             : 0;
        }
    }
    return 0;
}

static size_t
valid_prefix_len(BkStr text)
{
    size_t len = 0;

    while (len < text.len) {
        size_t step = valid_char_len((BkStr){text.ptr + len, text.len - len});
        if (step == 0) {
            break;
        }
        len += step;
    }
    return len;
}

bool
BkUtf8_IsValid(BkStr text)
{
    return valid_prefix_len(text) == text.len;
}

BkStatus
BkUtf8_AppendValid(BkBuf *out, BkStr text)
{
    BkStatus status = BK_OK;

    while (text.len > 0 && status == BK_OK) {
        size_t len = valid_prefix_len(text);
        status = BkBuf_Append(out, (BkStr){text.ptr, len});
        if (status == BK_OK && len < text.len) {
            status = BkBuf_Append(out, REPLACEMENT);
            len++;
        }
        text = (BkStr){text.ptr + len, text.len - len};
    }
    return status;
}

json_t *
BkUtf8_Json(const char *text)
{
    if (text == NULL) {
        return json_null();
    }
    json_t *string = json_string(text);
    if (string != NULL) {
        return string;
    }
    BkBuf valid = BkBuf_Make(0);
    BkUtf8_AppendValid(&valid, BkStr_FromC(text));
    string = json_string(BkBuf_C(&valid));
    BkBuf_Destroy(&valid);
    return string;
}

enum {
    ESCAPE_LEN = 6, /* \uXXXX */
    CODE_LEN = 4,   /* XXXX */
    HEX = 16,
    FIRST_SURROGATE = 0xd800,
    FIRST_LOW_SURROGATE = 0xdc00,
    SURROGATES = 0x400, /* of each kind */
    MARK_CODE = 0xfdd0
};

/* A noncharacter, which texts that are exchanged do not hold (Unicode 23.7).
   In a repaired text, the code of what it stands for follows it in
   hexadecimal. */
#define MARK BK_STR("\xef\xb7\x90")

/* U+E000, the first character after the surrogates */
#define AFTER_SURROGATES BK_STR("\xee\x80\x80")

/* the code of the escape \uXXXX at the start of the text; -1 if it is none */
static long
escaped_code(BkStr text)
{
    char digits[ESCAPE_LEN - 1] = {0};
    char *end;

    if (text.len < ESCAPE_LEN || text.ptr[0] != '\\' || text.ptr[1] != 'u') {
        return -1;
    }
    memcpy(digits, text.ptr + 2, sizeof(digits) - 1);
    long code = strtol(digits, &end, HEX);
    return *end == '\0' && digits[0] != '-' && digits[0] != '+' ? code : -1;
}

static bool
is_surrogate(long code, long first)
{
    return code >= first && code < first + SURROGATES;
}

/* Length of the escape at the start of the text; *valid: whether it can stay as
   it is. */
static size_t
escape_len(BkStr text, bool *valid)
{
    long code = escaped_code(text);

    *valid = true;
    if (code < 0) {
        return text.len < 2 ? text.len : 2;
    }
    if (is_surrogate(code, FIRST_SURROGATE) && text.len > ESCAPE_LEN &&
        is_surrogate(escaped_code((BkStr){text.ptr + ESCAPE_LEN,
                                          text.len - ESCAPE_LEN}),
                     FIRST_LOW_SURROGATE)) {
        return (size_t)2 * ESCAPE_LEN;
    }
    *valid = code != 0 && code != MARK_CODE &&
             !is_surrogate(code, FIRST_SURROGATE) &&
             !is_surrogate(code, FIRST_LOW_SURROGATE);
    return ESCAPE_LEN;
}

static void
repair_json(BkStr text, BkBuf *out)
{
    bool in_string = false;
    BkStr sound = {text.ptr, 0}; /* what is read as it is, up to here */

    while (text.len > 0) {
        bool valid;
        size_t len;
        long code;
        if (in_string && text.ptr[0] == '\\') {
            len = escape_len(text, &valid);
            code = escaped_code(text);
        }
        else {
            len = valid_char_len(text);
            bool is_mark = BkStr_Equal((BkStr){text.ptr, len}, MARK);
            valid = len > 0 && !is_mark &&
                    (!in_string || (unsigned char)text.ptr[0] >= ' ');
            code = is_mark ? MARK_CODE : (unsigned char)text.ptr[0];
            len = len == 0 ? 1 : len;
            in_string = in_string != (text.ptr[0] == '"');
        }
        text = (BkStr){text.ptr + len, text.len - len};
        if (valid) {
            sound.len += len;
            continue;
        }
        BkBuf_Append(out, sound);
        BkBuf_Append(out, MARK);
        BkBuf_Printf(out, "%0*lx", CODE_LEN, code);
        sound = (BkStr){text.ptr, 0};
    }
    BkBuf_Append(out, sound);
}

json_t *
BkUtf8_LoadJson(BkStr text, bool *repaired)
{
    json_t *root =
        json_loadb(text.len == 0 ? "" : text.ptr, text.len, 0, NULL);
    BkBuf valid = BkBuf_Make(0);

    *repaired = false;
    if (root == NULL) {
        repair_json(text, &valid);
        root = json_loadb(BkBuf_C(&valid), valid.len, 0, NULL);
        *repaired = root != NULL;
        BkBuf_Destroy(&valid);
    }
    return root;
}

bool
BkUtf8_WasRepaired(const json_t *string)
{
    const char *text = json_string_value(string);

    return text != NULL && strstr(text, MARK.ptr) != NULL;
}

void
BkUtf8_AppendPlace(BkBuf *out, const json_t *string, bool repaired)
{
    BkStr text = {json_string_value(string), json_string_length(string)};
    const char *mark;

    while (repaired && (mark = strstr(text.ptr, MARK.ptr)) != NULL) {
        char digits[CODE_LEN + 1] = {0};
        const char *end = mark + MARK.len + CODE_LEN;
        memcpy(digits, mark + MARK.len, CODE_LEN);
        long code = strtol(digits, NULL, HEX);
        char byte = (char)code;
        BkBuf_Append(out, (BkStr){text.ptr, (size_t)(mark - text.ptr)});
        if (is_surrogate(code, FIRST_SURROGATE) ||
            is_surrogate(code, FIRST_LOW_SURROGATE)) {
            BkBuf_Append(out, AFTER_SURROGATES);
            return;
        }
        BkBuf_Append(out, code == MARK_CODE ? MARK : (BkStr){&byte, 1});
        text = (BkStr){end, text.len - (size_t)(end - text.ptr)};
    }
    BkBuf_Append(out, text);
}
