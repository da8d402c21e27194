#include "bk/entry/codec.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

enum {
    PREFIX_BYTES = 512 /* of the prompt that names a cached prefix */
};

static json_t *
load_object(BkStr text)
{
    json_error_t error;
    json_t *object = json_loadb(text.len == 0 ? "" : text.ptr, text.len,
                                JSON_REJECT_DUPLICATES, &error);

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

static void
add_prefix(BkBuf *prefix, const json_t *text)
{
    size_t len = json_string_length(text);
    size_t room = PREFIX_BYTES - prefix->len;

    if (json_is_string(text)) {
        BkBuf_Append(
            prefix, (BkStr){json_string_value(text), len < room ? len : room});
    }
}

static uint64_t
hash_prefix(const json_t *body)
{
    BkBuf prefix = BkBuf_Make(0);
    const json_t *messages = json_object_get(body, "messages");
    size_t count = json_array_size(messages);

    add_prefix(&prefix, json_object_get(body, "prompt"));
    for (size_t i = 0; i < count && prefix.len < PREFIX_BYTES; i++) {
        const json_t *message = json_array_get(messages, i);
        add_prefix(&prefix, json_object_get(message, "content"));
    }
    uint64_t hash = prefix.len == 0 ? 0 : XXH64(prefix.ptr, prefix.len, 0);
    BkBuf_Destroy(&prefix);
    return hash;
}

static BkStatus
check_completion(const json_t *body)
{
    const json_t *model = json_object_get(body, "model");
    const json_t *most = json_object_get(body, "max_tokens");
    const json_t *stream = json_object_get(body, "stream");

    if (!json_is_string(model) || json_string_length(model) == 0) {
        return BkErr_Set(BK_EINVAL, "\"model\" must be the name of a model");
    }
    if (json_object_get(body, "prompt") == NULL &&
        !json_is_array(json_object_get(body, "messages"))) {
        return BkErr_Set(BK_EINVAL, "\"prompt\" or \"messages\" is missing");
    }
    if (most != NULL &&
        (!json_is_integer(most) || json_integer_value(most) < 1)) {
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
    json_t *object = load_object(body);

    *out = (BkCompletion){0};
    if (object == NULL) {
        return BK_EINVAL;
    }
    BkStatus status = check_completion(object);
    if (status == BK_OK) {
        out->model = BkStr_Dup(
            BkStr_FromC(json_string_value(json_object_get(object, "model"))));
        out->stream = json_is_true(json_object_get(object, "stream"));
        out->prefix_hash = hash_prefix(object);
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
BkCompletion_Continue(BkStr body, uint64_t tokens, BkStr text, BkBuf *out)
{
    json_t *object = load_object(body);

    if (object == NULL) {
        return BK_EINVAL;
    }
    json_object_set_new(object, "continue_from",
                        json_pack("{sI ss%}", "tokens", (json_int_t)tokens,
                                  "text", text.len == 0 ? "" : text.ptr,
                                  text.len));
    char *dump = json_dumps(object, JSON_COMPACT);
    BkStatus status = BkBuf_Append(out, BkStr_FromC(dump));
    free(dump);
    json_decref(object);
    return status;
}

/* the value of "name: value" */
static bool
field_value(BkStr line, BkStr name, BkStr *value)
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
take_line(BkEvent *event, BkStr line, bool *numbered)
{
    BkStr value;

    if (field_value(line, BK_STR("id:"), &value)) {
        *numbered = BkStr_ToU64(value, &event->id) == BK_OK;
    }
    else if (field_value(line, BK_STR("event:"), &value)) {
        if (BkStr_Equal(value, BK_STR("error"))) {
            event->kind = BK_EVENT_ERROR;
        }
    }
    else if (field_value(line, BK_STR("data:"), &value)) {
        event->data = value;
    }
}

size_t
BkEvent_Next(BkStr bytes, BkEvent *out)
{
    size_t at = 0;
    bool numbered = false;

    *out = (BkEvent){.kind = BK_EVENT_OTHER};
    while (at < bytes.len) {
        const char *end = memchr(bytes.ptr + at, '\n', bytes.len - at);
        if (end == NULL) {
            return 0;
        }
        size_t next = (size_t)(end - bytes.ptr) + 1;
        BkStr line = BkStr_Trim((BkStr){bytes.ptr + at, next - 1 - at});
        at = next;
        if (line.len > 0) {
            take_line(out, line, &numbered);
            continue;
        }
        out->raw = (BkStr){bytes.ptr, at};
        if (out->kind == BK_EVENT_ERROR) {
            return at;
        }
        if (BkStr_Equal(out->data, BK_STR("[DONE]"))) {
            out->kind = BK_EVENT_DONE;
        }
        else if (numbered && out->id > 0 && out->data.len > 0) {
            out->kind = BK_EVENT_TEXT;
        }
        return at;
    }
    return 0;
}

BkStatus
BkEvent_Text(BkStr data, BkBuf *out)
{
    json_t *object =
        json_loadb(data.len == 0 ? "" : data.ptr, data.len, 0, NULL);
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
    const char *said = message == NULL ? info->text : message;
    json_t *error =
        json_pack("{si ss ss}", "code", (int)status, "name", info->name,
                  "outcome", BkOutcome_Name(info->outcome));
    json_t *text = json_string(said);

    /* a message may quote bytes that are not UTF-8 */
    json_object_set_new(error, "message",
                        text == NULL ? json_string(info->text) : text);
    if (retry_after > 0) {
        json_object_set_new(error, "retry_after_ms",
                            json_integer(retry_after));
    }
    json_t *object = json_pack("{so}", "error", error);
    char *dump = json_dumps(object, JSON_COMPACT);
    BkBuf_Append(out, BkStr_FromC(dump));
    free(dump);
    json_decref(object);
}
