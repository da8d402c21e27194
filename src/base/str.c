#include "bk/base/str.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    MIN_CAP = 64,
    MAX_DOUBLED_CAP = 32 * 1024, /* bytes; a larger buffer grows by less */
    MAX_KEPT_CAP = 32 * 1024     /* bytes that an empty buffer keeps */
};

static size_t total_buffer_bytes;

BkStr
BkStr_FromC(const char *text)
{
    if (text == NULL) {
        return (BkStr){NULL, 0};
    }
    return (BkStr){text, strlen(text)};
}

bool
BkStr_Equal(BkStr a, BkStr b)
{
    return a.len == b.len && (a.len == 0 || memcmp(a.ptr, b.ptr, a.len) == 0);
}

int
BkStr_Compare(BkStr a, BkStr b)
{
    size_t shorter = a.len < b.len ? a.len : b.len;
    int order = shorter == 0 ? 0 : memcmp(a.ptr, b.ptr, shorter);

    if (order != 0) {
        return order;
    }
    return (a.len > b.len) - (a.len < b.len);
}

bool
BkStr_StartsWith(BkStr s, BkStr prefix)
{
    return s.len >= prefix.len &&
           BkStr_Equal((BkStr){s.ptr, prefix.len}, prefix);
}

static bool
is_blank(char c)
{
    return c == ' ' || c == '\t' || c == '\r' || c == '\n';
}

BkStr
BkStr_Trim(BkStr s)
{
    while (s.len > 0 && is_blank(s.ptr[0])) {
        s.ptr++;
        s.len--;
    }
    while (s.len > 0 && is_blank(s.ptr[s.len - 1])) {
        s.len--;
    }
    return s;
}

BkStr
BkStr_Split(BkStr *rest, char sep)
{
    BkStr head = *rest;
    const char *sep_at = NULL;

    if (rest->len > 0) {
        sep_at = memchr(rest->ptr, sep, rest->len);
    }
    if (sep_at == NULL) {
        *rest = (BkStr){NULL, 0};
        return head;
    }
    head.len = (size_t)(sep_at - head.ptr);
    rest->ptr = sep_at + 1;
    rest->len -= head.len + 1;
    return head;
}

BkStatus
BkStr_ToU64(BkStr s, uint64_t *out)
{
    uint64_t value = 0;

    if (s.len == 0) {
        return BkErr_Set(BK_EINVAL, "expected a number, found nothing");
    }
    for (size_t i = 0; i < s.len; i++) {
        if (s.ptr[i] < '0' || s.ptr[i] > '9') {
            return BkErr_Set(BK_EINVAL, "\"%.*s\" is not a number",
                             BK_STR_ARG(s));
        }
        uint64_t digit = (uint64_t)(s.ptr[i] - '0');
        if (value > (UINT64_MAX - digit) / 10) {
            return BkErr_Set(BK_ERANGE, "\"%.*s\" is too large",
                             BK_STR_ARG(s));
        }
        value = value * 10 + digit;
    }
    *out = value;
    return BK_OK;
}

uint32_t
BkStr_NameHash(BkStr s)
{
    return XXH32(s.ptr, s.len, 0);
}

char *
BkStr_Dup(BkStr s)
{
    char *copy = BkMem_New(s.len + 1, 1);

    if (s.len > 0) {
        memcpy(copy, s.ptr, s.len);
    }
    return copy;
}

BkBuf
BkBuf_Make(size_t max)
{
    return (BkBuf){NULL, 0, 0, max};
}

void
BkBuf_Destroy(BkBuf *buf)
{
    total_buffer_bytes -= buf->cap;
    free(buf->ptr);
    *buf = BkBuf_Make(buf->max);
}

size_t
BkBuf_TotalBytes(void)
{
    return total_buffer_bytes;
}

void
BkBuf_Clear(BkBuf *buf)
{
    buf->len = 0;
    if (buf->ptr != NULL) {
        buf->ptr[0] = '\0';
    }
}

static BkStatus
reserve_room(BkBuf *buf, size_t extra)
{
    if (buf->max != 0 && extra > buf->max - buf->len) {
        return BkErr_Set(BK_ETOOBIG, "larger than the limit of %zu bytes",
                         buf->max);
    }
    size_t need = buf->len + extra + 1;
    if (need <= buf->cap) {
        return BK_OK;
    }
    size_t cap = buf->cap == 0 ? MIN_CAP : buf->cap;
    while (cap < need) {
        cap += cap < MAX_DOUBLED_CAP ? cap : cap / 4;
    }
    buf->ptr = BkMem_Grow(buf->ptr, cap, 1);
    total_buffer_bytes += cap - buf->cap;
    buf->cap = cap;
    return BK_OK;
}

BkStatus
BkBuf_Append(BkBuf *buf, BkStr s)
{
    BkStatus status = reserve_room(buf, s.len);

    if (status != BK_OK) {
        return status;
    }
    if (s.len > 0) {
        memcpy(buf->ptr + buf->len, s.ptr, s.len);
    }
    buf->len += s.len;
    buf->ptr[buf->len] = '\0';
    return BK_OK;
}

BkStatus
BkBuf_Printf(BkBuf *buf, const char *fmt, ...)
{
    va_list args;
    va_start(args, fmt);
    int size = vsnprintf(NULL, 0, fmt, args);
    va_end(args);
    if (size < 0) {
        return BkErr_Set(BK_EINTERNAL, "invalid format or argument");
    }
    BkStatus status = reserve_room(buf, (size_t)size);
    if (status != BK_OK) {
        return status;
    }
    va_start(args, fmt);
    vsnprintf(buf->ptr + buf->len, (size_t)size + 1, fmt, args);
    va_end(args);
    buf->len += (size_t)size;
    return BK_OK;
}

void
BkBuf_AppendUrlPart(BkBuf *buf, BkStr text)
{
    for (size_t i = 0; i < text.len; i++) {
        unsigned char c = (unsigned char)text.ptr[i];
        bool unreserved = (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') ||
                          (c >= 'A' && c <= 'Z') || c == '-' || c == '.' ||
                          c == '_' || c == '~';
        BkBuf_Printf(buf, unreserved ? "%c" : "%%%02X", c);
    }
}

void
BkBuf_Consume(BkBuf *buf, size_t n)
{
    if (n >= buf->len) {
        if (buf->cap > MAX_KEPT_CAP) {
            BkBuf_Destroy(buf);
        }
        BkBuf_Clear(buf);
        return;
    }
    memmove(buf->ptr, buf->ptr + n, buf->len - n + 1);
    buf->len -= n;
}

BkStr
BkBuf_Str(const BkBuf *buf)
{
    return (BkStr){buf->ptr, buf->len};
}

const char *
BkBuf_C(const BkBuf *buf)
{
    return buf->ptr == NULL ? "" : buf->ptr;
}

static void *
check_memory(void *ptr)
{
    if (ptr == NULL) {
        fputs("out of memory\n", stderr);
        abort();
    }
    return ptr;
}

void *
BkMem_New(size_t count, size_t size)
{
    return check_memory(calloc(count == 0 ? 1 : count, size));
}

void *
BkMem_Grow(void *ptr, size_t count, size_t size)
{
    if (count != 0 && size > SIZE_MAX / count) {
        return check_memory(NULL);
    }
    size_t bytes = count * size;
    return check_memory(realloc(ptr, bytes == 0 ? 1 : bytes));
}
