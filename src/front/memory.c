#include "memory.h"

#include <stdlib.h>

#include "bk/base/log.h"
#include "socket.h"

enum {
    MB = 1024 * 1024,         /* bytes */
    CONN_BYTES = 1024,        /* of a connection, without its buffers */
    REQUEST_BYTES = 8 * 1024, /* of a request, with the parsers' tables */
    MIN_STEP_INTERVAL = 20    /* ms */
};

const char fr_memory_reason[] = "the daemon is short of memory";

static int64_t
get_limit(const FrFront *front)
{
    return (int64_t)(front->conf.memory_mb * MB);
}

static int64_t
get_used(const FrFront *front)
{
    return (int64_t)BkBuf_TotalBytes() + front->unread_bytes +
           (int64_t)front->caller_conn_count * CONN_BYTES +
           (int64_t)front->request_count * REQUEST_BYTES;
}

FrMemoryUse
FrMemory_GetUse(const FrFront *front)
{
    return (FrMemoryUse){.used = get_used(front), .limit = get_limit(front)};
}

BkMemoryLevel
FrMemory_GetLevel(const FrFront *front)
{
    return BkMemory_GetLevel(get_limit(front), get_used(front));
}

size_t
FrMemory_GetMaxUnsent(const FrFront *front)
{
    return BkMemory_GetMaxUnsent(FrMemory_GetLevel(front));
}

static int64_t
count_bytes(const FrCallerConn *conn)
{
    const FrRequest *request = conn->request;
    size_t bytes = conn->out.cap + conn->read_ahead.cap + conn->body.cap;

    if (request != NULL) {
        bytes += request->head.cap + request->body.cap +
                 request->response_fields.cap + request->pending_body.cap +
                 request->resume_point.event_id.cap;
    }
    if (conn->output_full) {
        bytes += FR_RECEIVE_BUFFER;
    }
    return (int64_t)bytes;
}

/* What the kernel has received for callers who do not read: their upstreams'
   connections are not read either. */
static int64_t
estimate_unread(const FrFront *front)
{
    int64_t bytes = 0;

    for (const FrCallerConn *conn = front->caller_conns; conn != NULL;
         conn = conn->next) {
        bytes += conn->output_full ? FR_RECEIVE_BUFFER : 0;
    }
    return bytes;
}

/* Lists the connections whose callers are to read or to send. */
static BkMemoryHolder *
list_holders(const FrFront *front, int *count)
{
    BkMemoryHolder *holders =
        BkMem_New((size_t)front->caller_conn_count + 1, sizeof(*holders));

    *count = 0;
    for (FrCallerConn *conn = front->caller_conns; conn != NULL;
         conn = conn->next) {
        if (conn->out.len > 0 || conn->parser != NULL) {
            holders[(*count)++] =
                (BkMemoryHolder){count_bytes(conn), conn->progress_at, conn};
        }
    }
    return holders;
}

static void
log_level(FrFront *front, BkMemoryLevel level)
{
    if (level != front->memory_level) {
        BkLog_Event(BK_LOG_NOTICE, "memory", NULL, "memory", "s:s, s:I, s:I",
                    "is", BkMemory_LevelName(level), "used",
                    (json_int_t)get_used(front), "limit",
                    (json_int_t)get_limit(front));
    }
    front->memory_level = level;
}

static void
end_idle_conns(FrFront *front, BkMs now)
{
    int count;
    BkMemoryHolder *holders = list_holders(front, &count);
    int ended = BkMemory_ChooseToEnd(get_limit(front), get_used(front),
                                     holders, count, now);

    for (int i = 0; i < ended; i++) {
        FrCallerConn_EndForMemory(holders[i].conn);
    }
    free(holders);
    if (ended > 0) {
        BkCounter_Add(front->metrics.memory_ended, ended);
        BkLog_Event(BK_LOG_NOTICE, "memory", NULL, "connections ended",
                    "s:i, s:i, s:I", "count", ended, "of", count, "used",
                    (json_int_t)get_used(front));
    }
}

void
FrMemory_Step(FrFront *front, BkMs now)
{
    /* ending a connection may call this for the next request on it */
    front->memory_stepped_at = now;
    front->unread_bytes = estimate_unread(front);
    log_level(front, FrMemory_GetLevel(front));
    BkCounter_Set(front->metrics.memory, get_used(front));
    if (front->memory_level != BK_MEMORY_AMPLE) {
        end_idle_conns(front, now);
    }
}

bool
FrMemory_MakeRoom(FrFront *front)
{
    BkMs now = BkClock_Now();

    if (now - front->memory_stepped_at >= MIN_STEP_INTERVAL) {
        FrMemory_Step(front, now);
    }
    return FrMemory_GetLevel(front) != BK_MEMORY_SPENT;
}
