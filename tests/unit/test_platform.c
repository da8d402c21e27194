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
    PATIENCE = 20000 /* ms; a bound, not a verdict */
};

/* the service answers as the script last said */
typedef struct Service {
    BkLoop *loop;
    BkHttpServer *server;
    BkHttpClient *client;
    BkPlat *plat;
    BkTxn *txn;
    int code; /* 0: closes without an answer */
    char body[512];
    BkBuf *out;
    int done;
} Service;

static void
handle(BkHttpReq *req, void *arg)
{
    Service *service = arg;
    BkStr body = BkHttpReq_Body(req);

    BkBuf_Printf(service->out, "seen %.*s %.*s %.*s\n",
                 BK_STR_ARG(BkHttpReq_Method(req)),
                 BK_STR_ARG(BkHttpReq_Target(req)), BK_STR_ARG(body));
    if (service->code == 0) {
        BkHttpReq_Stream(req, 200, NULL, BK_STR("application/json"), NULL,
                         NULL);
        BkHttpReq_End(req, false);
        return;
    }
    BkHttpReq_Reply(req, service->code, NULL, BK_STR("application/json"),
                    BkStr_FromC(service->body));
}

static void
print_reply(const BkPlatReply *reply, void *arg)
{
    Service *service = arg;

    BkBuf_Printf(service->out, "%s", BkStatus_Info(reply->status)->name);
    for (int i = 0; i < reply->count; i++) {
        const BkRow *row = &reply->rows[i];
        BkBuf_Printf(service->out, " %.*s/%.*s@%llu age %lld \"%.*s\"",
                     BK_STR_ARG(row->table), BK_STR_ARG(row->key),
                     (unsigned long long)row->version, (long long)row->age,
                     BK_STR_ARG(row->data));
    }
    BkBuf_Printf(service->out, "%s%.*s\n", reply->more ? " more" : "",
                 BK_STR_ARG(reply->body));
    service->done++;
}

static void
start_verb(Service *service, char **words)
{
    const char *verb = words[0];

    if (strcmp(verb, "commit") == 0) {
        BkPlat_Commit(service->plat, service->txn, print_reply, service);
    }
    else if (strcmp(verb, "read") == 0) {
        BkPlat_Read(service->plat, BkStr_FromC(words[1]),
                    BkStr_FromC(words[2]), print_reply, service);
    }
    else if (strcmp(verb, "list") == 0) {
        BkPlat_List(service->plat, BkStr_FromC(words[1]),
                    BkStr_FromC(words[2]), BkStr_FromC(words[3]),
                    atoi(words[4]), print_reply, service);
    }
    else if (strcmp(verb, "store") == 0) {
        BkPlat_PutObject(service->plat, BkStr_FromC(words[1]),
                         BkStr_FromC(words[2]), print_reply, service);
    }
    else if (strcmp(verb, "fetch") == 0) {
        BkPlat_GetObject(service->plat, BkStr_FromC(words[1]), print_reply,
                         service);
    }
    else {
        BkPlat_Vms(service->plat, print_reply, service);
    }
}

static void
run_platform(char **words, int count, BkBuf *out, void *arg)
{
    Service *service = arg;
    BkMs end = BkClock_Now() + PATIENCE;
    int before = service->done;

    service->out = out;
    if (strcmp(words[0], "answer") == 0) {
        service->code = atoi(words[1]);
        snprintf(service->body, sizeof(service->body), "%s",
                 count > 2 ? words[2] : "");
    }
    else if (strcmp(words[0], "check") == 0) {
        BkTxn_Check(service->txn, BkStr_FromC(words[1]), BkStr_FromC(words[2]),
                    strtoull(words[3], NULL, 10));
    }
    else if (strcmp(words[0], "put") == 0) {
        BkTxn_Put(service->txn, BkStr_FromC(words[1]), BkStr_FromC(words[2]),
                  BkStr_FromC(words[3]));
    }
    else if (strcmp(words[0], "delete") == 0) {
        BkTxn_Delete(service->txn, BkStr_FromC(words[1]),
                     BkStr_FromC(words[2]));
    }
    else if (strcmp(words[0], "quiesce") == 0) {
        BkHttpServer_Quiesce(service->server);
    }
    else {
        start_verb(service, words);
        while (service->done == before) {
            ck_assert(BkClock_Now() < end);
            BkLoop_Round(service->loop, 50);
        }
    }
}

START_TEST(test_script)
{
    Service service = {.loop = BkLoop_Create(), .txn = BkTxn_Create()};
    BkHttpServerSpec spec = {.listen = "127.0.0.1:0",
                             .max_body = 1 << 20,
                             .max_header = 8192,
                             .max_connections = 10,
                             .stream_buffer = 1024,
                             .idle_timeout = PATIENCE,
                             .handler = handle,
                             .arg = &service};
    char base[64];

    service.server = BkHttpServer_Create(service.loop, &spec);
    service.client = BkHttpClient_Create(service.loop);
    snprintf(base, sizeof(base), "http://127.0.0.1:%d",
             BkHttpServer_Port(service.server));
    service.plat = BkPlat_Create(service.client, base, PATIENCE);
    BkScript_Run("platform", run_platform, &service);
    BkPlatStats stats = BkPlat_Stats(service.plat);
    ck_assert_int_eq(stats.reads + stats.writes, service.done);
    ck_assert_int_gt(stats.bytes_in, 0);
    /* what is pending at the end is not called back */
    int before = service.done;
    BkPlat_Vms(service.plat, print_reply, &service);
    BkPlat_Destroy(service.plat);
    BkLoop_Round(service.loop, 20);
    ck_assert_int_eq(service.done, before);
    BkTxn_Destroy(service.txn);
    BkHttpClient_Destroy(service.client);
    BkHttpServer_Destroy(service.server);
    BkLoop_Destroy(service.loop);
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

    return BkUnit_MainTimeout("platform", tests, count, 50);
}
