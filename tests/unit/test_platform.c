#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/loop.h"
#include "bk/net/http_client.h"
#include "bk/net/http_server.h"
#include "bk/platform/platform.h"
#include "script.h"

enum {
    TIMEOUT = 20000 /* ms; only stops a test that hangs */
};

/* A fake of the platform's service, and the client under test. Each request
   gets the response that the script set last. */
typedef struct Fixture {
    BkLoop *loop;
    BkHttpServer *server;
    BkHttpClient *client;
    BkPlat *plat;
    BkTxn *txn;
    int code; /* 0: closes the connection without a whole response */
    char body[512];
    BkBuf *out;
    int reply_count;
} Fixture;

static void
handle_request(BkHttpReq *req, void *arg)
{
    Fixture *fixture = arg;
    BkStr body = BkHttpReq_Body(req);

    BkBuf_Printf(fixture->out, "seen %.*s %.*s %.*s\n",
                 BK_STR_ARG(BkHttpReq_Method(req)),
                 BK_STR_ARG(BkHttpReq_Target(req)), BK_STR_ARG(body));
    if (fixture->code == 0) {
        BkHttpReq_StartStream(req, 200, NULL, BK_STR("application/json"), NULL,
                              NULL);
        BkHttpReq_EndStream(req, false);
        return;
    }
    BkHttpReq_Reply(req, fixture->code, NULL, BK_STR("application/json"),
                    BkStr_FromC(fixture->body));
}

static void
print_reply(const BkPlatReply *reply, void *arg)
{
    Fixture *fixture = arg;

    BkBuf_Printf(fixture->out, "%s", BkStatus_Info(reply->status)->name);
    for (int i = 0; i < reply->count; i++) {
        const BkPlatRow *row = &reply->rows[i];
        BkBuf_Printf(fixture->out, " %.*s/%.*s@%llu age %lld \"%.*s\"",
                     BK_STR_ARG(row->table), BK_STR_ARG(row->key),
                     (unsigned long long)row->version, (long long)row->age,
                     BK_STR_ARG(row->data));
    }
    if (reply->has_more) {
        BkBuf_Printf(fixture->out, " more after ");
        BkBuf_AppendUrlPart(fixture->out, reply->last_key);
    }
    BkBuf_Printf(fixture->out, "%.*s\n", BK_STR_ARG(reply->body));
    fixture->reply_count++;
}

static void
start_call(Fixture *fixture, char **words)
{
    const char *command = words[0];

    if (strcmp(command, "commit") == 0) {
        BkPlat_Commit(fixture->plat, fixture->txn, print_reply, fixture);
    }
    else if (strcmp(command, "read") == 0) {
        BkPlat_ReadRow(fixture->plat, BkStr_FromC(words[1]),
                       BkStr_FromC(words[2]), print_reply, fixture);
    }
    else if (strcmp(command, "list") == 0) {
        BkPlat_ListRows(fixture->plat, BkStr_FromC(words[1]),
                        BkStr_FromC(words[2]), BkStr_FromC(words[3]),
                        atoi(words[4]), print_reply, fixture);
    }
    else if (strcmp(command, "put-object") == 0) {
        BkPlat_PutObject(fixture->plat, BkStr_FromC(words[1]),
                         BkStr_FromC(words[2]), print_reply, fixture);
    }
    else if (strcmp(command, "get-object") == 0) {
        BkPlat_GetObject(fixture->plat, BkStr_FromC(words[1]), print_reply,
                         fixture);
    }
    else {
        BkPlat_ListVms(fixture->plat, print_reply, fixture);
    }
}

static void
run_line(char **words, int count, BkBuf *out, void *arg)
{
    Fixture *fixture = arg;
    BkMs give_up_at = BkClock_Now() + TIMEOUT;
    int replies_before = fixture->reply_count;

    fixture->out = out;
    if (strcmp(words[0], "respond") == 0) {
        fixture->code = atoi(words[1]);
        snprintf(fixture->body, sizeof(fixture->body), "%s",
                 count > 2 ? words[2] : "");
    }
    else if (strcmp(words[0], "check") == 0) {
        BkTxn_Check(fixture->txn, BkStr_FromC(words[1]), BkStr_FromC(words[2]),
                    strtoull(words[3], NULL, 10));
    }
    else if (strcmp(words[0], "put") == 0) {
        BkTxn_Put(fixture->txn, BkStr_FromC(words[1]), BkStr_FromC(words[2]),
                  BkStr_FromC(words[3]));
    }
    else if (strcmp(words[0], "delete") == 0) {
        BkTxn_Delete(fixture->txn, BkStr_FromC(words[1]),
                     BkStr_FromC(words[2]));
    }
    else if (strcmp(words[0], "quiesce") == 0) {
        BkHttpServer_Quiesce(fixture->server);
    }
    else {
        start_call(fixture, words);
        while (fixture->reply_count == replies_before) {
            ck_assert(BkClock_Now() < give_up_at);
            BkLoop_RunOnce(fixture->loop, 50);
        }
    }
}

START_TEST(test_script)
{
    Fixture fixture = {.loop = BkLoop_Create(), .txn = BkTxn_Create()};
    BkHttpServerSpec spec = {.listen = "127.0.0.1:0",
                             .max_body = 1 << 20,
                             .max_header = 8192,
                             .max_connections = 10,
                             .stream_buffer = 1024,
                             .idle_timeout = TIMEOUT,
                             .handler = handle_request,
                             .arg = &fixture};
    char base[64];

    fixture.server = BkHttpServer_Create(fixture.loop, &spec);
    fixture.client = BkHttpClient_Create(fixture.loop);
    snprintf(base, sizeof(base), "http://127.0.0.1:%d",
             BkHttpServer_Port(fixture.server));
    fixture.plat = BkPlat_Create(fixture.client, base, TIMEOUT);
    BkScript_Run("platform", run_line, &fixture);
    BkPlatStats stats = BkPlat_Stats(fixture.plat);
    ck_assert_int_eq(stats.reads + stats.writes, fixture.reply_count);
    ck_assert_int_gt(stats.bytes_in, 0);
    /* destroying the client drops pending calls without a callback */
    int replies_before = fixture.reply_count;
    BkPlat_ListVms(fixture.plat, print_reply, &fixture);
    BkPlat_Destroy(fixture.plat);
    BkLoop_RunOnce(fixture.loop, 20);
    ck_assert_int_eq(fixture.reply_count, replies_before);
    BkTxn_Destroy(fixture.txn);
    BkHttpClient_Destroy(fixture.client);
    BkHttpServer_Destroy(fixture.server);
    BkLoop_Destroy(fixture.loop);
}
END_TEST

START_TEST(test_full_transaction)
{
    BkTxn *txn = BkTxn_Create();

    for (int i = 0; i < BK_TXN_MAX_OPS; i++) {
        ck_assert_int_eq(BkTxn_Check(txn, BK_STR("t"), BK_STR("k"), 0), BK_OK);
    }
    ck_assert_int_eq(BkTxn_Put(txn, BK_STR("t"), BK_STR("k"), BK_STR("{}")),
                     BK_ERANGE);
    BkTxn_Destroy(txn);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_script, test_full_transaction};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("platform", tests, count);
}
