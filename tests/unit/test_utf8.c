#include <check.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/utf8.h"
#include "script.h"

/* Lists of rows as a store may send them: the key of the second row is odd. */
START_TEST(test_odd_strings_in_json)
{
    static const char *const odd_keys[] = {
        "a\\u0000b",       "\\u0000",    "\\ud800",   "\\udcffx",
        "\\ud800\\ud800",  "\\ud800\\n", "\\uD800z",  "\xff\xfe",
        "a\xe2\x82",       "\x01",       "line\nend", "\xed\xa0\x80",
        "\\\\\\u0000\\\"", "\\uDC00\\\\"};

    for (size_t i = 0; i < sizeof(odd_keys) / sizeof(odd_keys[0]); i++) {
        BkBuf text = BkBuf_Make(0);
        bool repaired;
        BkBuf_Printf(
            &text,
            "{\"rows\": [\n {\"key\": \"\\ud83d\\ude00 \\\\u0000 \\\" "
            "\xc3\xa4\"}, {\"key\": \"%s\"},\t{\"key\": \"c\"}]}",
            odd_keys[i]);
        json_t *root = BkUtf8_LoadJson(BkBuf_Str(&text), &repaired);
        const json_t *rows = json_object_get(root, "rows");
        ck_assert_msg(json_array_size(rows) == 3, "%s", odd_keys[i]);
        ck_assert(repaired);
        const char *expected[] = {"\xf0\x9f\x98\x80 \\u0000 \" \xc3\xa4", NULL,
                                  "c"};
        for (size_t r = 0; r < 3; r++) {
            const json_t *key =
                json_object_get(json_array_get(rows, r), "key");
            ck_assert_int_eq(BkUtf8_WasRepaired(key), r == 1);
            if (r != 1) {
                ck_assert_str_eq(json_string_value(key), expected[r]);
            }
        }
        json_decref(root);
        BkBuf_Destroy(&text);
    }
}
END_TEST

/* What is sound is read as it is, and what is no JSON stays none, wherever it
   is cut off. */
START_TEST(test_other_json)
{
    static const char *const texts[] = {
        "{\"a\":\"\\u0000\\ud83d\\ude00\\ud800\xff\"",
        "[\"\\u00",
        "[\"\\ud800\\",
        "\\u0000",
        "\xff",
        "\"\\x\"",
        ""};
    bool repaired;
    json_t *root = BkUtf8_LoadJson(BK_STR("[\"\xef\xbf\xbd\"]"), &repaired);

    ck_assert(root != NULL && !repaired);
    json_decref(root);
    for (size_t i = 0; i < sizeof(texts) / sizeof(texts[0]); i++) {
        for (size_t len = 0; len <= strlen(texts[i]); len++) {
            char *copy = BkStr_Dup((BkStr){texts[i], len});
            ck_assert_ptr_null(BkUtf8_LoadJson((BkStr){copy, len}, &repaired));
            ck_assert(!repaired);
            free(copy);
        }
    }
}
END_TEST

#define AFTER_SURROGATES "\xee\x80\x80"
#define NONCHARACTER "\xef\xb7\x90" /* U+FDD0 */

typedef struct Place {
    const char *json;
    BkStr expected;
} Place;

/* Where a list goes on after a key: at the key itself, or after all keys that
   begin like it and then hold a single surrogate. */
START_TEST(test_places)
{
    static const Place places[] = {
        {"a b&c", BK_STR("a b&c")},
        {"a\\\\u0000", BK_STR("a\\u0000")},
        {"\\u0000", BK_STR("\0")},
        {"a\\u0000b\\u0000", BK_STR("a\0b\0")},
        {"\xff z\xe2\x82", BK_STR("\xff z\xe2\x82")},
        {"line\nend", BK_STR("line\nend")},
        {"\\ud800", BK_STR(AFTER_SURROGATES)},
        {"a\\udfffb", BK_STR("a" AFTER_SURROGATES)},
        {"\\u0000\\ud800\\u0000", BK_STR("\0" AFTER_SURROGATES)},
        {"\\ud83d\\ude00\\ud83d", BK_STR("\xf0\x9f\x98\x80" AFTER_SURROGATES)},
        {NONCHARACTER "d800", BK_STR(NONCHARACTER "d800")},
        {NONCHARACTER "d800\\u0000", BK_STR(NONCHARACTER "d800\0")},
        {"\\ufdd0\\u0000", BK_STR(NONCHARACTER "\0")},
    };

    for (size_t i = 0; i < sizeof(places) / sizeof(places[0]); i++) {
        BkBuf text = BkBuf_Make(0);
        bool repaired;
        BkBuf_Printf(&text, "[\"%s\"]", places[i].json);
        json_t *list = BkUtf8_LoadJson(BkBuf_Str(&text), &repaired);
        BkBuf_Clear(&text);
        BkUtf8_AppendPlace(&text, json_array_get(list, 0), repaired);
        ck_assert_msg(BkStr_Equal(BkBuf_Str(&text), places[i].expected), "%s",
                      places[i].json);
        json_decref(list);
        BkBuf_Destroy(&text);
    }
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_odd_strings_in_json, test_other_json,
                                  test_places};

    return BkUnit_Main("utf8", tests, 3);
}
