/*
 * str - strings with a length, and growing buffers
 *
 * A BkStr is a view: a pointer and a length, not owned and not terminated. A
 * BkBuf owns its bytes and grows up to a limit. It keeps a zero byte after its
 * last byte, so that its contents can be used as a C string.
 */
#ifndef BK_BASE_STR_H
#define BK_BASE_STR_H

#include <stdarg.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "bk/base/status.h"

typedef struct BkStr {
    const char *ptr; /* not owned; may be NULL when len is 0 */
    size_t len;      /* bytes */
} BkStr;

typedef struct BkBuf {
    char *ptr;  /* owned; zero byte at ptr[len] once non-NULL */
    size_t len; /* bytes in use */
    size_t cap; /* bytes allocated */
    size_t max; /* limit of len; 0: no limit */
} BkBuf;

/* A BkStr of a string literal. */
#define BK_STR(literal) ((BkStr){(literal), sizeof(literal) - 1})

/* printf arguments for "%.*s". */
#define BK_STR_ARG(s) (int)(s).len, (s).len == 0 ? "" : (s).ptr

/* View of a zero-terminated string; of NULL, the empty string. */
BkStr BkStr_FromC(const char *text);

bool BkStr_Equal(BkStr a, BkStr b);

/* Compares like memcmp; if one is a prefix of the other, the shorter one comes
 * first. Returns <0, 0 or >0. */
int BkStr_Compare(BkStr a, BkStr b);

bool BkStr_StartsWith(BkStr s, BkStr prefix);

/* s without the blanks, tabs and line ends at both of its ends. */
BkStr BkStr_Trim(BkStr s);

/*
 * Splits *rest at the first sep: returns the part before it and sets *rest to
 * the part after it. Without a sep, returns all and leaves *rest empty.
 */
BkStr BkStr_Split(BkStr *rest, char sep);

/* Parses all of s as a decimal number. ERRORS: BK_EINVAL, BK_ERANGE. */
BkStatus BkStr_ToU64(BkStr s, uint64_t *out);

/* The 32-bit hash of a name, which is sent in messages in place of the name;
 * the same in all processes. */
uint32_t BkStr_NameHash(BkStr s);

/* An owned zero-terminated copy, freed by free(); never NULL (aborts). */
char *BkStr_Dup(BkStr s);

/* An empty buffer that holds at most max bytes (0: no limit). */
BkBuf BkBuf_Make(size_t max);

/* Frees the bytes and leaves an empty buffer with the same limit. */
void BkBuf_Destroy(BkBuf *buf);

/* Bytes that all buffers of the process have allocated. */
size_t BkBuf_TotalBytes(void);

/* Empties the buffer, but keeps its memory. */
void BkBuf_Clear(BkBuf *buf);

/* ERRORS: BK_ETOOBIG if the limit would be exceeded; nothing is appended. */
BkStatus BkBuf_Append(BkBuf *buf, BkStr s);

/* Appends formatted text. ERRORS: as BkBuf_Append. */
BkStatus BkBuf_Printf(BkBuf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Appends any bytes as a part of a URL, percent-encoded. */
void BkBuf_AppendUrlPart(BkBuf *buf, BkStr text);

/* Removes the first n bytes, or all if there are fewer. */
void BkBuf_Consume(BkBuf *buf, size_t n);

/* View of the contents, valid until the buffer changes. */
BkStr BkBuf_Str(const BkBuf *buf);

/* The contents as a C string; "" when empty. */
const char *BkBuf_C(const BkBuf *buf);

/* calloc and realloc that abort the process when no memory is available. */
void *BkMem_New(size_t count, size_t size);
void *BkMem_Grow(void *ptr, size_t count, size_t size);

#endif
