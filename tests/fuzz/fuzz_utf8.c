/* fuzzes texts of other programs on their way into JSON: every text becomes a
   string, the same one if jansson takes it as it is; and a list of rows is read
   whatever bytes the key of one of them holds, and goes on after that key */
#include <stdlib.h>
#include <string.h>

#include "bk/base/utf8.h"
#include "fuzz.h"

static void
check_text(const char *text)
{
    json_t *plain = json_string(text);
    json_t *valid = BkUtf8_Json(text);
    bool is_valid = BkUtf8_IsValid(BkStr_FromC(text));

    if (valid == NULL || is_valid != (plain != NULL) ||
        (is_valid && !json_equal(plain, valid)) ||
        !BkUtf8_IsValid(BkStr_FromC(json_string_value(valid)))) {
        __builtin_trap();
    }
    json_decref(plain);
    json_decref(valid);
}

/* any bytes that do not end the string or begin an escape */
static void
check_rows(char *key, size_t size)
{
    BkBuf text = BkBuf_Make(0);
    bool repaired;

    for (size_t i = 0; i < size; i++) {
        key[i] = key[i] == '"' || key[i] == '\\' ? 'x' : key[i];
    }
    BkBuf_Append(&text, BK_STR("[{\"key\":\"a\"},{\"key\":\""));
    BkBuf_Append(&text, (BkStr){key, size});
    BkBuf_Append(&text, BK_STR("\"},{\"key\":\"b\"}]"));
    json_t *rows = BkUtf8_LoadJson(BkBuf_Str(&text), &repaired);
    const json_t *odd = json_object_get(json_array_get(rows, 1), "key");
    if (json_array_size(rows) != 3 || (repaired && !BkUtf8_WasRepaired(odd)) ||
        (!repaired && json_string_length(odd) != size)) {
        __builtin_trap();
    }
    BkBuf_Clear(&text);
    BkUtf8_AppendPlace(&text, odd, repaired);
    if (!BkStr_Equal(BkBuf_Str(&text), (BkStr){key, size})) {
        __builtin_trap();
    }
    json_decref(rows);
    BkBuf_Destroy(&text);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    char *copy = malloc(size + 1);
    bool repaired;

    memcpy(copy, data, size);
    copy[size] = '\0';
    check_text(copy);
    json_decref(BkUtf8_LoadJson((BkStr){copy, size}, &repaired));
    check_rows(copy, size);
    free(copy);
    return 0;
}
