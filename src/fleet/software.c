#include "bk/fleet/fleet.h"

static void
add_version(BkOriginView *view, const BkUp *up)
{
    if (view->versions == 0) {
        view->version = up->software_key;
        view->versions = 1;
    }
    else if (up->software_key != view->version) {
        view->versions = 2;
    }
}

BkOriginView
BkFleet_ViewSoftware(const BkFleet *fleet, uint32_t service, BkMs memory,
                     BkMs now)
{
    BkOriginView view = {.complete = fleet->list_complete &&
                                     now - fleet->watched_since >= memory};

    for (int i = 0; i < fleet->count; i++) {
        const BkUp *up = fleet->ups[i];
        bool forgotten =
            up->state == BK_UP_GONE && now - up->state_since >= memory;
        if (up->service_key == service && !forgotten) {
            add_version(&view, up);
        }
    }
    for (int i = 0; i < fleet->replaced_count; i++) {
        if (fleet->replaced[i]->service_key == service) {
            add_version(&view, fleet->replaced[i]);
        }
    }
    return view;
}
