#include "framing.h"

enum {
    NO_CONTENT = 204,
    NOT_MODIFIED = 304
};

/* Sets *value to the value of the field, and *count to how many there are. */
static void
find_field(const BkH1Head *head, BkStr name, BkStr *value, int *count)
{
    *count = 0;
    for (int i = 0; i < head->count; i++) {
        if (BkH1_SameName(head->fields[i].name, name)) {
            *value = head->fields[i].value;
            (*count)++;
        }
    }
}

static bool
read_coding(BkH1Head *head)
{
    BkStr value;
    int count;

    find_field(head, BK_STR("Transfer-Encoding"), &value, &count);
    head->chunked = count > 0;
    return count == 0 || (count == 1 && head->minor > 0 &&
                          BkH1_SameName(value, BK_STR("chunked")));
}

static bool
read_length(BkH1Head *head)
{
    BkStr value;
    int count;
    uint64_t length;

    find_field(head, BK_STR("Content-Length"), &value, &count);
    head->length = -1;
    if (count == 0) {
        return true;
    }
    if (count > 1 || head->chunked || BkStr_ToU64(value, &length) != BK_OK ||
        length > INT64_MAX) {
        return false;
    }
    head->length = (int64_t)length;
    return true;
}

bool
BkH1Head_HasBody(const BkH1Head *head, BkH1Kind kind, bool bodiless)
{
    return kind == BK_H1_REQUEST || (!bodiless && head->http_status >= 200 &&
                                     head->http_status != NO_CONTENT &&
                                     head->http_status != NOT_MODIFIED);
}

bool
BkH1Head_ReadFraming(BkH1Head *head, BkH1Kind kind, bool bodiless)
{
    head->until_close = false;
    if (!read_coding(head) || !read_length(head)) {
        return false;
    }
    if (kind == BK_H1_REQUEST) {
        return true;
    }
    if (head->http_status < 200 || head->http_status == NO_CONTENT) {
        return !head->chunked && head->length <= 0;
    }
    head->until_close = BkH1Head_HasBody(head, kind, bodiless) &&
                        !head->chunked && head->length < 0;
    return true;
}
