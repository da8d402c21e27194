#include "bk/h1/syntax.h"

#include <string.h>

enum {
    VERSION_LEN = 8, /* bytes of "HTTP/1.1" */
    STATUS_DIGITS = 3,
    MAX_SIZE_DIGITS = 16 /* hexadecimal digits of a 64-bit size */
};

static bool
is_digit(char c)
{
    return c >= '0' && c <= '9';
}

static bool
is_zero(char c)
{
    return c == '0';
}

static bool
is_hex_digit(char c)
{
    return is_digit(c) || (c >= 'a' && c <= 'f') || (c >= 'A' && c <= 'F');
}

static bool
is_token_byte(char c)
{
    return is_digit(c) || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
           (c != '\0' && strchr("!#$%&'*+-.^_`|~", c) != NULL);
}

static bool
is_text_byte(char c)
{
    unsigned char byte = (unsigned char)c;

    return byte == '\t' || (byte >= ' ' && byte != 0x7f);
}

static bool
is_target_byte(char c)
{
    return c != ' ' && c != '\t' && is_text_byte(c);
}

/* The number of bytes at the start of text that are of a kind. */
static size_t
count_leading(BkStr text, bool (*is_of_kind)(char c))
{
    size_t count = 0;

    while (count < text.len && is_of_kind(text.ptr[count])) {
        count++;
    }
    return count;
}

static BkStr
skip(BkStr text, size_t count)
{
    return (BkStr){text.ptr + count, text.len - count};
}

bool
BkH1_IsToken(BkStr text)
{
    return text.len > 0 && count_leading(text, is_token_byte) == text.len;
}

bool
BkH1_IsText(BkStr text)
{
    return count_leading(text, is_text_byte) == text.len;
}

static bool
is_version(BkStr text)
{
    return text.len == VERSION_LEN &&
           BkStr_StartsWith(text, BK_STR("HTTP/1.")) &&
           is_digit(text.ptr[VERSION_LEN - 1]);
}

bool
BkH1_IsRequestLine(BkStr line)
{
    BkStr method = BkStr_Split(&line, ' ');
    BkStr target = BkStr_Split(&line, ' ');

    return BkH1_IsToken(method) && target.len > 0 &&
           count_leading(target, is_target_byte) == target.len &&
           is_version(line);
}

static bool
is_status(BkStr text)
{
    int status = 0;

    if (text.len != STATUS_DIGITS ||
        count_leading(text, is_digit) != STATUS_DIGITS) {
        return false;
    }
    for (size_t i = 0; i < text.len; i++) {
        status = status * 10 + (text.ptr[i] - '0');
    }
    return status >= BK_H1_MIN_STATUS && status <= BK_H1_MAX_STATUS;
}

bool
BkH1_IsStatusLine(BkStr line)
{
    BkStr version = BkStr_Split(&line, ' ');
    BkStr status = BkStr_Split(&line, ' ');

    return is_version(version) && is_status(status) && BkH1_IsText(line);
}

bool
BkH1_IsFieldLine(BkStr line)
{
    size_t name_len = count_leading(line, is_token_byte);

    return name_len > 0 && name_len < line.len && line.ptr[name_len] == ':' &&
           BkH1_IsText(line);
}

static BkStr
skip_blanks(BkStr text)
{
    while (text.len > 0 && (text.ptr[0] == ' ' || text.ptr[0] == '\t')) {
        text = skip(text, 1);
    }
    return text;
}

/* Sets *text to what follows a quoted string at its start. */
static bool
skip_quoted(BkStr *text)
{
    for (size_t i = 1; i < text->len; i++) {
        if (!is_text_byte(text->ptr[i])) {
            return false;
        }
        if (text->ptr[i] == '"') {
            *text = skip(*text, i + 1);
            return true;
        }
        if (text->ptr[i] == '\\') {
            i++;
            if (i < text->len && !is_text_byte(text->ptr[i])) {
                return false;
            }
        }
    }
    return false;
}

static bool
skip_token(BkStr *text)
{
    size_t len = count_leading(*text, is_token_byte);

    *text = skip(*text, len);
    return len > 0;
}

/* Extensions of a chunk: ";name", ";name=token" or ";name=quoted". */
static bool
are_extensions(BkStr text)
{
    while (text.len > 0) {
        text = skip_blanks(text);
        if (text.len == 0 || text.ptr[0] != ';') {
            return false;
        }
        text = skip_blanks(skip(text, 1));
        if (!skip_token(&text)) {
            return false;
        }
        BkStr value = skip_blanks(text);
        if (value.len == 0 || value.ptr[0] != '=') {
            continue;
        }
        text = skip_blanks(skip(value, 1));
        bool quoted = text.len > 0 && text.ptr[0] == '"';
        if (quoted ? !skip_quoted(&text) : !skip_token(&text)) {
            return false;
        }
    }
    return true;
}

bool
BkH1_IsChunkLine(BkStr line)
{
    size_t zeros = count_leading(line, is_zero);
    size_t digits = count_leading(line, is_hex_digit);

    return digits > 0 && digits - zeros <= MAX_SIZE_DIGITS &&
           are_extensions(skip(line, digits));
}
