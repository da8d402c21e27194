#include <check.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "bk/entry/codec.h"
#include "bk/entry/decide.h"
#include "bk/entry/ticket.h"
#include "script.h"

#define SECRET                                                                \
    "000102030405060708090a0b0c0d0e0f101112131415161718191a1b1c1d1e1f"

/* the words with ; for line ends and _ for blanks */
static BkBuf
unfold(const char *word)
{
    BkBuf text = BkBuf_Make(0);

    for (const char *at = word; *at != '\0'; at++) {
        char c = *at == ';' ? '\n' : *at == '_' ? ' ' : *at;
        BkBuf_Append(&text, (BkStr){&c, 1});
    }
    return text;
}

static void
run_parse(const char *body, BkBuf *out)
{
    BkCompletion call;
    BkStatus status = BkCompletion_Parse(&call, BkStr_FromC(body));

    if (status != BK_OK) {
        BkBuf_Printf(out, "%s %s\n", BkStatus_Info(status)->name,
                     BkErr_Last());
        return;
    }
    BkBuf_Printf(out, "%s%s%s\n", call.model, call.stream ? " stream" : "",
                 call.prefix_hash == 0 ? " no-prefix" : "");
    BkCompletion_Clear(&call);
}

static void
run_events(const char *word, BkBuf *out)
{
    static const char *const kinds[] = {"text", "done", "error", "other"};
    BkBuf text = unfold(word);
    BkStr rest = BkBuf_Str(&text);
    BkEvent event;
    size_t used;

    while ((used = BkEvent_Next(rest, &event)) > 0) {
        BkBuf_Printf(out, "%s %llu [%.*s] ", kinds[event.kind],
                     (unsigned long long)event.id, BK_STR_ARG(event.data));
        rest.ptr += used;
        rest.len -= used;
    }
    BkBuf_Printf(out, "left %zu\n", rest.len);
    BkBuf_Destroy(&text);
}

static bool
has(char **words, const char *word)
{
    for (; *words != NULL; words++) {
        if (strcmp(*words, word) == 0) {
            return true;
        }
    }
    return false;
}

/* end STATUS CODE FLAG... */
static void
run_end(char **words, BkBuf *out)
{
    static const char *const steps[] = {"deliver", "other", "retry", "resume",
                                        "fail"};
    const BkStatusInfo *table;
    int count;
    BkAttemptEnd end = {
        .status = BK_EINTERNAL,
        .code = atoi(words[2]),
        .sent = !has(words, "unsent"),
        .not_run = has(words, "not-run"),
        .repeatable = !has(words, "once"),
        .stream = has(words, "stream"),
        .whole_stream = has(words, "whole"),
        .opened = has(words, "opened"),
        .resumed = has(words, "resumed"),
        .progress = has(words, "progress"),
        .bad_stream = has(words, "bad"),
        .can_copy = !has(words, "no-copy"),
        .ran_before = has(words, "ran"),
        .tries_left = has(words, "last") ? 0 : 1,
    };

    table = BkStatus_Table(&count);
    for (int i = 0; i < count; i++) {
        if (strcmp(table[i].name, words[1]) == 0) {
            end.status = table[i].status;
        }
    }
    BkDecision decision = BkDecide_Next(&end);
    BkBuf_Printf(out, "%s", steps[decision.step]);
    if (decision.step == BK_NEXT_FAIL) {
        const BkStatusInfo *info = BkStatus_Info(decision.status);
        BkBuf_Printf(out, " %s, %s", info->name,
                     BkOutcome_Name(info->outcome));
    }
    BkBuf_Printf(out, "\n");
}

static void
run_entry(char **words, int count, BkBuf *out, void *arg)
{
    BkBuf text = BkBuf_Make(0);

    (void)count;
    (void)arg;
    if (strcmp(words[0], "parse") == 0) {
        run_parse(words[1], out);
    }
    else if (strcmp(words[0], "events") == 0) {
        run_events(words[1], out);
    }
    else if (strcmp(words[0], "end") == 0) {
        run_end(words, out);
    }
    else if (strcmp(words[0], "continue") == 0) {
        BkCompletion_Continue(BkStr_FromC(words[1]), 2, BK_STR("a \"b\""),
                              &text);
        BkBuf_Printf(out, "%s\n", BkBuf_C(&text));
    }
    else if (strcmp(words[0], "text") == 0) {
        BkStatus status = BkEvent_Text(BkStr_FromC(words[1]), &text);
        BkBuf_Printf(out, "%s [%s]\n", BkStatus_Info(status)->name,
                     BkBuf_C(&text));
    }
    else if (strcmp(words[0], "error") == 0) {
        BkError_Encode(BK_EOVERLOAD, words[1], atoi(words[2]), &text);
        BkBuf_Printf(out, "%s\n", BkBuf_C(&text));
    }
    BkBuf_Destroy(&text);
}

START_TEST(test_script)
{
    BkScript_Run("entry", run_entry, NULL);
}
END_TEST

/* every byte counts: a ticket that was changed anywhere, cut, or sealed
 * with another secret is refused */
START_TEST(test_ticket)
{
    BkTicket ticket = {"req-1", "stall", "care", "10.0.0.1:9", 7, 9, 3};
    BkTicket back;
    unsigned char key[BK_TICKET_KEY_BYTES];
    BkBuf text = BkBuf_Make(0);

    ck_assert_int_ge(sodium_init(), 0);
    ck_assert_int_eq(BkTicket_DeriveKey("00ff", key), BK_ECONFIG);
    ck_assert_int_eq(BkTicket_DeriveKey(SECRET, key), BK_OK);
    BkTicket_Seal(&ticket, key, &text);
    ck_assert_int_eq(BkTicket_Open(&back, BkBuf_Str(&text), key), BK_OK);
    ck_assert_str_eq(back.request, "req-1");
    ck_assert_str_eq(back.caller, "stall");
    ck_assert_str_eq(back.item, "care");
    ck_assert_str_eq(back.entry, "10.0.0.1:9");
    ck_assert_uint_eq(back.upstream, 7);
    ck_assert_uint_eq(back.boot, 9);
    ck_assert_uint_eq(back.attempt, 3);
    for (size_t i = 0; i < text.len; i++) {
        char was = text.ptr[i];
        text.ptr[i] = was == 'A' ? 'B' : 'A';
        ck_assert_int_eq(BkTicket_Open(&back, BkBuf_Str(&text), key),
                         BK_ETICKET);
        text.ptr[i] = was;
        ck_assert_int_eq(BkTicket_Open(&back, (BkStr){text.ptr, i}, key),
                         BK_ETICKET);
    }
    key[0] ^= 1;
    ck_assert_int_eq(BkTicket_Open(&back, BkBuf_Str(&text), key), BK_ETICKET);
    BkBuf_Destroy(&text);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_ticket};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("entry", tests, count);
}
