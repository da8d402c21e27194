#include "links.h"

#include <stdlib.h>

#include "bk/base/log.h"

enum {
    UNDECIDED_INTERVAL = 100, /* ms between probes after a failure */
    LOST_INTERVAL = 250       /* ms between probes while the links are lost */
};

struct FrLinks {
    FrFront *front;
    BkReach reach;
    BkTimer *probe_timer;
    BkCounter *lost; /* gauge */
    BkCounter *probes;
};

static void
send_probe(FrLinks *links)
{
    FrFront *front = links->front;
    BkUp *up = BkReach_ChooseProbe(&links->reach, &front->fleet, &front->rng);

    if (up != NULL && FrUpConn_OpenIdle(front, up)) {
        BkCounter_Add(links->probes, 1);
    }
}

static void
on_probe_timer(void *arg)
{
    FrLinks *links = arg;

    if (links->reach.failed_count == 0 || links->front->stopping) {
        return;
    }
    send_probe(links);
    BkTimer_Start(links->probe_timer,
                  links->reach.lost ? LOST_INTERVAL : UNDECIDED_INTERVAL);
}

void
FrLinks_NoteConnected(FrLinks *links, BkMs now)
{
    BkMs lost_at = links->reach.lost_at;

    if (BkReach_NoteConnected(&links->reach, now)) {
        BkCounter_Set(links->lost, 0);
        BkLog_Event(BK_LOG_NOTICE, "links", NULL, "links regained", "s:I",
                    "after_ms", (json_int_t)(now - lost_at));
        FrQueue_SchedulePass(links->front, 0);
    }
}

void
FrLinks_NoteFailed(FrLinks *links, const BkUp *up, BkMs started_at)
{
    if (!BkUp_IsOpen(up)) {
        return;
    }
    BkReach_NoteFailed(&links->reach, up->key, up->service_key, started_at);
    if (BkReach_Decide(&links->reach, &links->front->fleet, BkClock_Now())) {
        BkCounter_Set(links->lost, 1);
        BkLog_Event(BK_LOG_NOTICE, "links", NULL, "links lost", "s:i",
                    "failed", links->reach.failed_count);
        FrQueue_SchedulePass(links->front, 0);
    }
    if (links->reach.failed_count > 0 &&
        !BkTimer_Running(links->probe_timer)) {
        BkTimer_Start(links->probe_timer, 0);
    }
}

bool
FrLinks_AreLost(const FrLinks *links)
{
    return links->reach.lost;
}

bool
FrLinks_WorkedSince(const FrLinks *links, BkMs at)
{
    return links->reach.connected_at != BK_MS_NEVER &&
           links->reach.connected_at >= at;
}

FrLinks *
FrLinks_Create(FrFront *front)
{
    FrLinks *links = BkMem_New(1, sizeof(*links));

    links->front = front;
    links->reach = BkReach_Make();
    links->probe_timer = BkTimer_Create(front->loop, on_probe_timer, links);
    links->lost = BkCounter_Get("bk_front_links_lost", NULL,
                                "whether no upstream can be connected to");
    links->probes =
        BkCounter_Get("bk_front_link_probes_total", NULL,
                      "connections opened to find out whether links work");
    return links;
}

void
FrLinks_Destroy(FrLinks *links)
{
    if (links == NULL) {
        return;
    }
    BkTimer_Destroy(links->probe_timer);
    free(links);
}
