#include "bk/base/ini.h"

#include <ini.h>
#include <errno.h>
#include <stdio.h>
#include <string.h>

typedef struct ParseState {
    BkStr rest;
    int line;
    bool line_indented;
    bool line_too_long;
    BkIniFn fn;
    void *arg;
    BkStatus status;
} ParseState;

/* replaces fgets as the function by which inih reads a line, in order to count
   the lines and to detect lines that are too long */
static char *
read_line(char *out, int size, void *stream)
{
    ParseState *state = stream;

    if (state->rest.len == 0 || state->status != BK_OK ||
        state->line_too_long) {
        return NULL;
    }
    state->line++;
    BkStr line = BkStr_Split(&state->rest, '\n');
    if (line.len + 2 > (size_t)size) {
        state->line_too_long = true;
        return NULL;
    }
    if (line.len > 0) {
        memcpy(out, line.ptr, line.len);
    }
    out[line.len] = '\n';
    out[line.len + 1] = '\0';
    state->line_indented = line.len > 0 && (out[0] == ' ' || out[0] == '\t');
    return out;
}

static int
handle_key(void *user, const char *section, const char *name,
           const char *value)
{
    ParseState *state = user;

    if (state->status != BK_OK) {
        return 0;
    }
    BkIniKey key = {section, name, value, state->line, state->line_indented};
    state->status = state->fn(&key, state->arg);
    return state->status == BK_OK;
}

BkStatus
BkIni_Parse(const char *source, BkStr text, BkStatus syntax_error, BkIniFn fn,
            void *arg)
{
    ParseState state = {.rest = text, .fn = fn, .arg = arg, .status = BK_OK};
    int line = ini_parse_stream(read_line, &state, handle_key, &state);

    if (state.status != BK_OK) {
        return state.status;
    }
    if (state.line_too_long) {
        return BkErr_Set(syntax_error,
                         "%s:%d: line too long; continue in an indented line",
                         source, state.line);
    }
    if (line != 0) {
        return BkErr_Set(syntax_error,
                         "%s:%d: neither [section] nor key = value", source,
                         line);
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
