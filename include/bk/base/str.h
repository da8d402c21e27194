/*
 * str - length-counted strings
 *
 * A BkStr is a view: a pointer and a length, not owned and not terminated.
 * A BkBuf owns its bytes, grows up to a limit, and always keeps a zero byte
 * after its last byte so that it can be handed to C interfaces.
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
    size_t max; /* bytes it may hold; 0 means no limit */
} BkBuf;

/* A BkStr of a string literal. */
#define BK_STR(literal) ((BkStr){(literal), sizeof(literal) - 1})

/* printf arguments for "%.*s". */
#define BK_STR_ARG(s) (int)(s).len, (s).len == 0 ? "" : (s).ptr

/* View of a zero-terminated string; NULL gives the empty string. */
BkStr BkStr_FromC(const char *text);

bool BkStr_Equal(BkStr a, BkStr b);

/* Like memcmp, shorter first on a tie: <0, 0, >0. */
int BkStr_Compare(BkStr a, BkStr b);

bool BkStr_StartsWith(BkStr s, BkStr prefix);

/* Without blanks, tabs and line ends at both ends. */
BkStr BkStr_Trim(BkStr s);

/*
 * Splits off what stands before the first sep: returns it and moves *rest
 * behind the sep. Without a sep, returns all and leaves *rest empty.
 */
BkStr BkStr_Split(BkStr *rest, char sep);

/* Parses all of s as a decimal number. ERRORS: BK_EINVAL, BK_ERANGE. */
BkStatus BkStr_ToU64(BkStr s, uint64_t *out);

/* A short key for a name, the same in all processes. */
uint32_t BkStr_Key(BkStr s);

/* An owned zero-terminated copy, freed by free(); never NULL (aborts). */
char *BkStr_Dup(BkStr s);

/* An empty buffer that holds at most max bytes (0: no limit). */
BkBuf BkBuf_Make(size_t max);

/* Frees the bytes and leaves an empty buffer. */
void BkBuf_Destroy(BkBuf *buf);

/* Forgets the contents, keeps the allocation. */
void BkBuf_Clear(BkBuf *buf);

/* ERRORS: BK_ETOOBIG when the limit would be passed; nothing is added. */
BkStatus BkBuf_Append(BkBuf *buf, BkStr s);

/* Appends formatted text. ERRORS: as BkBuf_Append. */
BkStatus BkBuf_Printf(BkBuf *buf, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Drops the first n bytes. */
void BkBuf_Consume(BkBuf *buf, size_t n);

/* View of the contents, valid until the buffer changes. */
BkStr BkBuf_Str(const BkBuf *buf);

/* The contents as a C string; "" when empty. */
const char *BkBuf_C(const BkBuf *buf);

/* calloc and realloc that abort when there is no memory. */
void *BkMem_New(size_t count, size_t size);
void *BkMem_Grow(void *ptr, size_t count, size_t size);

#endif
