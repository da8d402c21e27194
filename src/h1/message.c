#include <http_parser.h>
#include <strings.h>

#include "bk/h1/h1.h"

bool
BkH1_SameName(BkStr a, BkStr b)
{
    return a.len == b.len &&
           (a.len == 0 || strncasecmp(a.ptr, b.ptr, a.len) == 0);
}

BkStr
BkH1Head_Find(const BkH1Head *head, const char *name)
{
    BkStr wanted = BkStr_FromC(name);

    for (int i = 0; i < head->count; i++) {
        if (BkH1_SameName(head->fields[i].name, wanted)) {
            return head->fields[i].value;
        }
    }
    return (BkStr){NULL, 0};
}

bool
BkH1_HasToken(BkStr list, BkStr token)
{
    while (list.len > 0) {
        if (BkH1_SameName(BkStr_Trim(BkStr_Split(&list, ',')), token)) {
            return true;
        }
    }
    return false;
}

void
BkH1_AppendStatusLine(BkBuf *out, int code)
{
    BkBuf_Printf(out, "HTTP/1.1 %d %s\r\n", code,
                 http_status_str((enum http_status)code));
}

void
BkH1_AppendField(BkBuf *out, BkStr name, BkStr value)
{
    BkBuf_Append(out, name);
    BkBuf_Append(out, BK_STR(": "));
    BkBuf_Append(out, value);
    BkBuf_Append(out, BK_STR("\r\n"));
}

void
BkH1_AppendChunk(BkBuf *out, BkStr data)
{
    BkBuf_Printf(out, "%zx\r\n", data.len);
    BkBuf_Append(out, data);
    BkBuf_Append(out, BK_STR("\r\n"));
}
