/* fuzzes the decoder of gossip datagrams, which anyone can send who reaches
   the port */
#include <stdlib.h>
#include <string.h>

#include "bk/gossip/gossip.h"

#include "fuzz.h"

static void
check_hello(const bkg_hello *hello, const char *from, void *arg)
{
    if (hello->obs.obs_len > BKG_MAX_OBS ||
        strlen(hello->daemon) > BKG_MAX_NAME) {
        __builtin_trap();
    }
}

static void
check_demand(const bkg_demand *demand, const char *from, void *arg)
{
    if (demand->rows.rows_len > BKG_MAX_DEMAND) {
        __builtin_trap();
    }
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    static BkGossip *gossip;
    static BkLoop *loop;
    static const BkGossipHandlers handlers = {check_hello, check_demand, NULL};

    if (gossip == NULL) {
        loop = BkLoop_Create();
        gossip = BkGossip_Create(loop, "127.0.0.1:0", &handlers);
    }
    char *copy = malloc(size + 1);
    memcpy(copy, data, size);
    BkGossip_Receive(gossip, copy, size, "127.0.0.1:1");
    free(copy);
    return 0;
}
