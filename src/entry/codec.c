#include "bk/entry/codec.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "bk/base/utf8.h"

enum {
    PREFIX_BYTES = 512 /* of the prompt, hashed to identify a cached prefix */
};

static json_t *
parse_object(BkStr text)
{
    json_error_t error;
    json_t *object =
        json_loadb(text.len == 0 ? "" : text.ptr, text.len,
                   JSON_REJECT_DUPLICATES | JSON_ALLOW_NUL, &error);

    if (object == NULL) {
        BkErr_Set(BK_EINVAL, "the body is not JSON: %s", error.text);
    }
    else if (!json_is_object(object)) {
        BkErr_Set(BK_EINVAL, "the body is not a JSON object");
        json_decref(object);
        object = NULL;
    }
    return object;
}

/* appends the text to the prefix, as far as it fits */
static void
append_prefix(BkBuf *prefix, const json_t *text)
{
    size_t len = json_string_length(text);
    size_t room = PREFIX_BYTES - prefix->len;

    if (json_is_string(text)) {
        BkBuf_Append(
            prefix, (BkStr){json_string_value(text), len < room ? len : room});
    }
}

static uint64_t
hash_prompt_prefix(const json_t *body)
{
    BkBuf prefix = BkBuf_Make(0);
    const json_t *messages = json_object_get(body, "messages");
    size_t count = json_array_size(messages);

    append_prefix(&prefix, json_object_get(body, "prompt"));
    for (size_t i = 0; i < count && prefix.len < PREFIX_BYTES; i++) {
        const json_t *message = json_array_get(messages, i);
        append_prefix(&prefix, json_object_get(message, "content"));
    }
    uint64_t hash = prefix.len == 0 ? 0 : XXH64(prefix.ptr, prefix.len, 0);
    BkBuf_Destroy(&prefix);
    return hash;
}

static BkStatus
check_completion(const json_t *body)
{
    const json_t *model = json_object_get(body, "model");
    const json_t *max_tokens = json_object_get(body, "max_tokens");
    const json_t *stream = json_object_get(body, "stream");

    if (!json_is_string(model) || json_string_length(model) == 0 ||
        strlen(json_string_value(model)) != json_string_length(model)) {
        return BkErr_Set(BK_EINVAL, "\"model\" must be the name of a model");
    }
    if (json_object_get(body, "prompt") == NULL &&
        !json_is_array(json_object_get(body, "messages"))) {
        return BkErr_Set(BK_EINVAL, "\"prompt\" or \"messages\" is missing");
    }
    if (max_tokens != NULL &&
        (!json_is_integer(max_tokens) || json_integer_value(max_tokens) < 1)) {
        return BkErr_Set(BK_EINVAL, "\"max_tokens\" must be 1 or more");
    }
    if (stream != NULL && !json_is_boolean(stream)) {
        return BkErr_Set(BK_EINVAL, "\"stream\" must be true or false");
    }
    if (json_object_get(body, "continue_from") != NULL) {
        return BkErr_Set(BK_EINVAL, "\"continue_from\" is not for callers");
    }
    return BK_OK;
}

BkStatus
BkCompletion_Parse(BkCompletion *out, BkStr body)
{
    json_t *object = parse_object(body);

    *out = (BkCompletion){0};
    if (object == NULL) {
        return BK_EINVAL;
    }
    BkStatus status = check_completion(object);
    if (status == BK_OK) {
        out->model = BkStr_Dup(
            BkStr_FromC(json_string_value(json_object_get(object, "model"))));
        out->stream = json_is_true(json_object_get(object, "stream"));
        out->prefix_hash = hash_prompt_prefix(object);
    }
    json_decref(object);
    return status;
}

void
BkCompletion_Clear(BkCompletion *completion)
{
    free(completion->model);
    completion->model = NULL;
}

BkStatus
BkCompletion_AddContinueFrom(BkStr body, uint64_t tokens, BkStr text,
                             BkBuf *out)
{
    json_t *object = parse_object(body);

    if (object == NULL) {
        return BK_EINVAL;
    }
    json_object_set_new(object, "continue_from",
                        json_pack("{sI ss%}", "tokens", (json_int_t)tokens,
                                  "text", text.len == 0 ? "" : text.ptr,
                                  text.len));
    char *encoded = json_dumps(object, JSON_COMPACT);
    BkStatus status = BkBuf_Append(out, BkStr_FromC(encoded));
    free(encoded);
    json_decref(object);
    return status;
}

/* gets the value of a line "name: value"; false if it has another name */
static bool
match_field(BkStr line, BkStr name, BkStr *value)
{
    if (!BkStr_StartsWith(line, name)) {
        return false;
    }
    *value = (BkStr){line.ptr + name.len, line.len - name.len};
    if (value->len > 0 && value->ptr[0] == ' ') {
        value->ptr++;
        value->len--;
    }
    return true;
}

static void
parse_line(BkEvent *event, BkStr line, bool *has_id)
{
    BkStr value;

    if (match_field(line, BK_STR("id:"), &value)) {
        *has_id = BkStr_ToU64(value, &event->id) == BK_OK;
    }
    else if (match_field(line, BK_STR("event:"), &value)) {
        if (BkStr_Equal(value, BK_STR("error"))) {
            event->kind = BK_EVENT_ERROR;
        }
    }
    else if (match_field(line, BK_STR("data:"), &value)) {
        event->data = value;
    }
}

size_t
BkEvent_Parse(BkStr bytes, BkEvent *out)
{
    size_t pos = 0;
    bool has_id = false;

    *out = (BkEvent){.kind = BK_EVENT_OTHER};
    while (pos < bytes.len) {
        const char *newline = memchr(bytes.ptr + pos, '\n', bytes.len - pos);
        if (newline == NULL) {
            return 0;
        }
        size_t line_end = (size_t)(newline - bytes.ptr) + 1;
        BkStr line = BkStr_Trim((BkStr){bytes.ptr + pos, line_end - 1 - pos});
        pos = line_end;
        if (line.len > 0) {
            parse_line(out, line, &has_id);
            continue;
        }
        out->raw = (BkStr){bytes.ptr, pos};
        if (out->kind == BK_EVENT_ERROR) {
            return pos;
        }
        if (BkStr_Equal(out->data, BK_STR("[DONE]"))) {
            out->kind = BK_EVENT_DONE;
        }
        else if (has_id && out->id > 0 && out->data.len > 0) {
            out->kind = BK_EVENT_TEXT;
        }
        return pos;
    }
    return 0;
}

BkStatus
BkEvent_ExtractText(BkStr data, BkBuf *out)
{
    json_t *object = json_loadb(data.len == 0 ? "" : data.ptr, data.len,
                                JSON_ALLOW_NUL, NULL);
    const json_t *choice =
        json_array_get(json_object_get(object, "choices"), 0);
    const json_t *text = json_object_get(choice, "text");
    BkStatus status = BK_EDECODE;

    if (json_is_string(text)) {
        status = BkBuf_Append(
            out, (BkStr){json_string_value(text), json_string_length(text)});
    }
    json_decref(object);
    return status;
}

void
BkError_Encode(BkStatus status, const char *message, BkMs retry_after,
               BkBuf *out)
{
    const BkStatusInfo *info = BkStatus_Info(status);
    json_t *error =
        json_pack("{si ss ss so}", "code", (int)status, "name", info->name,
                  "outcome", BkOutcome_Name(info->outcome), "message",
                  BkUtf8_Json(message == NULL ? info->text : message));

    if (retry_after > 0) {
        json_object_set_new(error, "retry_after_ms",
                            json_integer(retry_after));
    }
    json_t *object = json_pack("{so}", "error", error);
    char *encoded = json_dumps(object, JSON_COMPACT);
    BkBuf_Append(out, BkStr_FromC(encoded));
    free(encoded);
    json_decref(object);
}
