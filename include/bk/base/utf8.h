/*
 * utf8 - texts of other programs as JSON, which is UTF-8 throughout
 *
 * Header fields, ids and keys may be any bytes, and jansson makes no string
 * (NULL) of bytes that are not UTF-8. Here every text becomes one: what is not
 * valid UTF-8 is replaced, byte by byte, by U+FFFD, and so is NUL, because
 * readers of JSON refuse it. Two texts may become the same, so this is for
 * people to read: logs, errors, status pages.
 */
#ifndef BK_BASE_UTF8_H
#define BK_BASE_UTF8_H

#include <jansson.h>

#include "bk/base/str.h"

/* Whether it is UTF-8 without NUL. */
bool BkUtf8_IsValid(BkStr text);

/* Appends the text, with what is not valid replaced. ERRORS: as
 * BkBuf_Append. */
BkStatus BkUtf8_AppendValid(BkBuf *out, BkStr text);

/* A JSON string of the text (NULL: null) with what is not valid replaced; a
 * new reference. */
json_t *BkUtf8_Json(const char *text);

/*
 * Parses a JSON text as json_loadb does. If that fails, it parses the text with
 * what jansson does not read in strings marked instead: bytes that are not
 * UTF-8, control bytes, and escapes of NUL and of single surrogates; and sets
 * *repaired. So one odd string in a list does not hide the rest of it. NULL if
 * the text is not JSON even so. A new reference.
 */
json_t *BkUtf8_LoadJson(BkStr text, bool *repaired);

/* Whether a string of a repaired text is not the one that was sent. */
bool BkUtf8_WasRepaired(const json_t *string);

/*
 * Appends the place of a string in a list that is sorted by bytes: the string
 * as it was sent. From a single surrogate on, which UTF-8 does not have, U+E000
 * stands for the rest: only strings with a single surrogate lie between.
 * repaired: as BkUtf8_LoadJson set it for the text that has the string.
 */
void BkUtf8_AppendPlace(BkBuf *out, const json_t *string, bool repaired);

#endif
