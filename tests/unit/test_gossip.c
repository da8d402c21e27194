#include <arpa/inet.h>
#include <check.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "bk/base/counters.h"
#include "bk/base/rng.h"
#include "bk/gossip/gossip.h"

#include "script.h"

enum {
    GARBAGE_COUNT = 500,
    MAX_GARBAGE_BYTES = 2000,
    GARBAGE_SEED = 7
};

typedef struct Received {
    int hello_count;
    int demand_row_count;
    u_int obs_count;
    char daemon[BKG_MAX_NAME + 1];
} Received;

static void
record_hello(const bkg_hello *hello, const char *from, void *arg)
{
    Received *received = arg;

    received->hello_count++;
    received->obs_count = hello->obs.obs_len;
    snprintf(received->daemon, sizeof(received->daemon), "%s", hello->daemon);
}

static void
record_demand(const bkg_demand *demand, const char *from, void *arg)
{
    Received *received = arg;

    received->demand_row_count += (int)demand->rows.rows_len;
}

/* writes "ip:port" with a free UDP port of the loopback interface */
static void
find_address(char *text, size_t size)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};
    socklen_t len = sizeof(addr);
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ck_assert_int_eq(bind(fd, (struct sockaddr *)&addr, len), 0);
    ck_assert_int_eq(getsockname(fd, (struct sockaddr *)&addr, &len), 0);
    close(fd);
    snprintf(text, size, "127.0.0.1:%d", ntohs(addr.sin_port));
}

static void
send_garbage(BkLoop *loop, const char *to)
{
    struct sockaddr_in addr = {.sin_family = AF_INET};
    BkRng rng = BkRng_Make(GARBAGE_SEED);
    char data[MAX_GARBAGE_BYTES];
    int port = 0;
    int fd = socket(AF_INET, SOCK_DGRAM, 0);

    ck_assert_int_eq(sscanf(to, "127.0.0.1:%d", &port), 1);
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    addr.sin_port = htons((uint16_t)port);
    for (int i = 0; i < GARBAGE_COUNT; i++) {
        size_t len = BkRng_Below(&rng, MAX_GARBAGE_BYTES);
        for (size_t at = 0; at < len; at++) {
            data[at] = (char)BkRng_Next(&rng);
        }
        sendto(fd, data, len, 0, (struct sockaddr *)&addr, sizeof(addr));
        BkLoop_RunOnce(loop, 0);
    }
    close(fd);
}

START_TEST(test_messages_and_garbage)
{
    char addr[32];
    Received received = {0};
    bkg_obs obs[BKG_MAX_OBS] = {{.key = 1}};
    bkg_demand_row row = {1, 2, 3};
    bkg_hello hello = {.daemon = "entry-1",
                       .ops_address = "127.0.0.1:1",
                       .planner = "",
                       .obs = {BKG_MAX_OBS, obs}};
    bkg_demand demand = {.daemon = "entry-1", .rows = {1, &row}};
    BkLoop *loop = BkLoop_Create();
    BkGossipHandlers handlers = {record_hello, record_demand, &received};

    find_address(addr, sizeof(addr));
    BkGossip *gossip = BkGossip_Create(loop, addr, &handlers);
    ck_assert_msg(gossip != NULL, "%s", BkErr_Last());
    send_garbage(loop, addr);
    ck_assert_int_eq(BkGossip_SendHello(gossip, addr, &hello), BK_OK);
    ck_assert_int_eq(BkGossip_SendDemand(gossip, addr, &demand), BK_OK);
    for (int i = 0; i < 100 && received.demand_row_count == 0; i++) {
        BkLoop_RunOnce(loop, 20);
    }
    ck_assert_int_eq(received.hello_count, 1);
    ck_assert_int_eq(received.demand_row_count, 1);
    ck_assert_uint_eq(received.obs_count, BKG_MAX_OBS);
    ck_assert_str_eq(received.daemon, "entry-1");
    ck_assert_int_gt(BkCounter_Get("bk_gossip_garbage_total", NULL, "")->value,
                     0);
    hello.obs.obs_len = BKG_MAX_OBS + 1;
    ck_assert_int_eq(BkGossip_SendHello(gossip, addr, &hello), BK_EDECODE);
    BkGossip_Destroy(gossip);
    BkLoop_Destroy(loop);
}
END_TEST

int
main(void)
{
    const TTest *const tests[] = {test_messages_and_garbage};
    int count = sizeof(tests) / sizeof(tests[0]);

    return BkUnit_Main("gossip", tests, count);
}
