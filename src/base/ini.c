#include "bk/base/ini.h"

#include <ini.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

typedef struct Parse {
    BkStr rest;
    int line;
    bool indented;
    bool too_long;
    BkIniFn fn;
    void *arg;
    BkStatus status;
} Parse;

/* stands in for fgets, so that lines can be counted and long ones caught */
static char *
read_line(char *out, int size, void *stream)
{
    Parse *parse = stream;

    if (parse->rest.len == 0 || parse->status != BK_OK || parse->too_long) {
        return NULL;
    }
    parse->line++;
    BkStr line = BkStr_Split(&parse->rest, '\n');
    if (line.len + 2 > (size_t)size) {
        parse->too_long = true;
        return NULL;
    }
    if (line.len > 0) {
        memcpy(out, line.ptr, line.len);
    }
    out[line.len] = '\n';
    out[line.len + 1] = '\0';
    parse->indented = line.len > 0 && (out[0] == ' ' || out[0] == '\t');
    return out;
}

static int
take_key(void *user, const char *section, const char *name, const char *value)
{
    Parse *parse = user;

    if (parse->status != BK_OK) {
        return 0;
    }
    BkIniKey key = {section, name, value, parse->line, parse->indented};
    parse->status = parse->fn(&key, parse->arg);
    return parse->status == BK_OK;
}

BkStatus
BkIni_Parse(const char *where, BkStr text, BkStatus fault, BkIniFn fn,
            void *arg)
{
    Parse parse = {.rest = text, .fn = fn, .arg = arg, .status = BK_OK};
    int line = ini_parse_stream(read_line, &parse, take_key, &parse);

    if (parse.status != BK_OK) {
        return parse.status;
    }
    if (parse.too_long) {
        return BkErr_Set(fault,
                         "%s:%d: line too long; go on in an indented line",
                         where, parse.line);
    }
    if (line != 0) {
        return BkErr_Set(fault, "%s:%d: neither [section] nor key = value",
                         where, line);
    }
    return BK_OK;
}

BkStatus
BkFile_Read(const char *path, size_t max, BkBuf *out)
{
    char chunk[8192];
    size_t n;
    BkStatus status = BK_OK;
    FILE *file = fopen(path, "rb");

    BkBuf_Clear(out);
    if (file == NULL) {
        return BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno));
    }
    while (status == BK_OK && (n = fread(chunk, 1, sizeof(chunk), file)) > 0) {
        status = BkBuf_Append(out, (BkStr){chunk, n});
        if (out->len > max) {
            status = BK_ETOOBIG;
        }
    }
    if (ferror(file)) {
        status = BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno));
    }
    fclose(file);
    if (status == BK_ETOOBIG) {
        return BkErr_Set(BK_ETOOBIG, "%s: larger than %zu bytes", path, max);
    }
    return status;
}
