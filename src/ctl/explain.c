#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/utf8.h"
#include "fronts.h"
#include "output.h"

/* The lines of bk-front's logs that name one request. */
typedef struct LogLine {
    json_t *object;
    const char *at; /* wall time, as text that sorts */
    int order;      /* in which it was read */
} LogLine;

typedef struct LogLines {
    LogLine *list;
    int count;
    int cap;
    int read;
    int skipped; /* no JSON object, or without a time */
} LogLines;

static void
add_line(LogLines *lines, json_t *object)
{
    if (lines->count == lines->cap) {
        lines->cap = lines->cap == 0 ? 32 : lines->cap * 2;
        lines->list =
            BkMem_Grow(lines->list, (size_t)lines->cap, sizeof(*lines->list));
    }
    lines->list[lines->count] =
        (LogLine){object, BkCtl_GetText(object, "at"), lines->count};
    lines->count++;
}

static void
read_line(LogLines *lines, const char *text, size_t len, const char *id)
{
    json_t *object = json_loadb(text, len, 0, NULL);

    lines->read++;
    if (!json_is_object(object) || BkCtl_GetText(object, "at")[0] == '\0') {
        /* the log's own notes of lines that were left out have no time */
        lines->skipped += json_is_object(object) ? 0 : 1;
        json_decref(object);
        return;
    }
    if (strcmp(BkCtl_GetText(object, "req"), id) == 0) {
        add_line(lines, object);
        return;
    }
    json_decref(object);
}

static BkStatus
read_file(LogLines *lines, const char *path, const char *id)
{
    FILE *file = fopen(path, "r");
    char *text = NULL;
    size_t size = 0;
    ssize_t len;

    if (file == NULL) {
        return BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno));
    }
    while ((len = getline(&text, &size, file)) > 0) {
        read_line(lines, text, (size_t)len, id);
    }
    bool failed = ferror(file) != 0;
    BkStatus status =
        failed ? BkErr_Set(BK_EIO, "%s: %s", path, strerror(errno)) : BK_OK;
    free(text);
    fclose(file);
    return status;
}

static int
compare_lines(const void *a, const void *b)
{
    const LogLine *left = a;
    const LogLine *right = b;
    int order = strcmp(left->at, right->at);

    return order != 0 ? order : left->order - right->order;
}

static void
clear_lines(LogLines *lines)
{
    for (int i = 0; i < lines->count; i++) {
        json_decref(lines->list[i].object);
    }
    free(lines->list);
}

/* The line with the request's end, at the daemon that had it from its caller
   if there are several; NULL: none. */
static const json_t *
find_end(const LogLines *lines)
{
    const json_t *end = NULL;

    for (int i = 0; i < lines->count; i++) {
        const json_t *object = lines->list[i].object;
        if (strcmp(BkCtl_GetText(object, "event"), "answered") == 0 &&
            (end == NULL ||
             !json_is_true(json_object_get(object, "relayed")))) {
            end = object;
        }
    }
    return end;
}

/* What the status of an answer tells its caller. */
static const char *
describe_outcome(const json_t *end)
{
    enum {
        OK = 200,
        REDIRECT = 300,
        TOO_MANY = 429,
        BAD_GATEWAY = 502,
        UNAVAILABLE = 503,
        TIMED_OUT = 504
    };
    int64_t code = BkCtl_GetInteger(end, "code");
    bool cut = strcmp(BkCtl_GetText(end, "why"), "cut") == 0;

    if (code == 0) {
        return "not answered, its caller had gone";
    }
    if (code >= OK && code < REDIRECT) {
        return cut ? "broken off in its answer" : "served";
    }
    if (code == TOO_MANY || code == UNAVAILABLE) {
        return "refused, and it has not run";
    }
    if (code == BAD_GATEWAY || code == TIMED_OUT) {
        return "failed, and it may have run";
    }
    return "answered with an error";
}

static void
format_cause(const LogLines *lines, BkBuf *out)
{
    const json_t *end = find_end(lines);

    if (end == NULL) {
        BkBuf_Printf(out, "its end is in none of these logs");
        return;
    }
    const char *upstream = BkCtl_GetText(end, "upstream");
    BkBuf_Printf(out, "%s; %lld from %s: %s", describe_outcome(end),
                 (long long)BkCtl_GetInteger(end, "code"),
                 BkCtl_GetText(end, "prog"), BkCtl_GetText(end, "why"));
    BkBuf_Printf(out, " (%lld sends, %lld arrivals%s%s, %lld ms)",
                 (long long)BkCtl_GetInteger(end, "sends"),
                 (long long)BkCtl_GetInteger(end, "arrivals"),
                 upstream[0] == '\0' ? "" : ", the last to ", upstream,
                 (long long)BkCtl_GetInteger(end, "took_ms"));
}

/* The members that are not shown in their own columns. */
static void
print_members(const json_t *object)
{
    static const char *const columns[] = {"at",    "sev", "prog",
                                          "slice", "req", "event"};
    const char *name;
    json_t *value;

    json_object_foreach((json_t *)object, name, value)
    {
        bool shown = json_is_null(value);
        for (size_t i = 0; i < sizeof(columns) / sizeof(columns[0]); i++) {
            shown = shown || strcmp(columns[i], name) == 0;
        }
        if (shown) {
            continue;
        }
        char *text = json_dumps(value, JSON_COMPACT | JSON_ENCODE_ANY);
        printf(" %s=%s", name, text);
        free(text);
    }
}

static void
print_lines(const LogLines *lines, const char *cause)
{
    for (int i = 0; i < lines->count; i++) {
        const json_t *object = lines->list[i].object;
        printf("%s  %-12s  %s:", lines->list[i].at,
               BkCtl_GetText(object, "prog"), BkCtl_GetText(object, "event"));
        print_members(object);
        printf("\n");
    }
    if (lines->skipped > 0) {
        printf("skipped    %d of %d lines, which are no JSON\n",
               lines->skipped, lines->read);
    }
    printf("cause      %s\n", cause);
}

static json_t *
lines_json(const LogLines *lines, const char *id, const char *cause)
{
    json_t *list = json_array();

    for (int i = 0; i < lines->count; i++) {
        json_array_append(list, lines->list[i].object);
    }
    return json_pack("{s:s, s:s, s:o, s:i, s:i}", "request", id, "cause",
                     cause, "lines", list, "read", lines->read, "skipped",
                     lines->skipped);
}

BkStatus
BkCtl_Explain(BkCtl *ctl, char **words)
{
    LogLines lines = {0};
    BkStatus status = BK_OK;
    json_t *shown_id = BkUtf8_Json(words[0]); /* as in the log */
    const char *id = json_string_value(shown_id);

    for (int i = 1; words[i] != NULL && status == BK_OK; i++) {
        status = read_file(&lines, words[i], id);
    }
    if (status == BK_OK && lines.count == 0) {
        status = BkErr_Set(BK_ENOTFOUND,
                           "no line of these logs is about the request "
                           "\"%s\" (%d lines, %d of them no JSON)",
                           id, lines.read, lines.skipped);
    }
    if (status == BK_OK) {
        BkBuf cause = BkBuf_Make(0);
        qsort(lines.list, (size_t)lines.count, sizeof(*lines.list),
              compare_lines);
        format_cause(&lines, &cause);
        if (ctl->options.json) {
            BkCtl_PrintJson(lines_json(&lines, id, BkBuf_C(&cause)));
        }
        else {
            print_lines(&lines, BkBuf_C(&cause));
        }
        BkBuf_Destroy(&cause);
    }
    clear_lines(&lines);
    json_decref(shown_id);
    return status;
}
