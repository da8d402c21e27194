/* fuzzes the decoders of rows and answers of the platform that bk-front runs
   on; other programs write such rows too */
#include "bk/fleet/fleet.h"
#include "bk/front/adapter.h"

#include "fuzz.h"

static void
fuzz_report(BkStr text)
{
    BkFleet fleet = {0};
    BkUpReport report;

    if (BkAdapter_DecodeReport(BK_STR("i-1"), text, &report) == BK_OK) {
        BkFleet_ApplyReport(&fleet, &report, 1, 0);
        BkUpReport_Destroy(&report);
    }
    BkFleet_Destroy(&fleet);
}

static void
fuzz_site(BkStr text)
{
    BkSite *site = BkAdapter_DecodeSite(text);

    if (site == NULL) {
        return;
    }
    for (int i = 0; i < site->route_count; i++) {
        const BkSiteRoute *route = &site->routes[i];
        BkSite_FindRoute(site, BkStr_FromC(route->host),
                         BkStr_FromC(route->prefix));
        BkSite_FindService(site, BkSite_PickService(route, 0.5));
    }
    BkSite_Destroy(site);
}

int
LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
    BkStr text = {(const char *)data, size};
    BkEngineState state;

    fuzz_report(text);
    fuzz_site(text);
    if (BkAdapter_DecodeState(text, &state) == BK_OK) {
        BkUpReport_Destroy(&state.report);
    }
    return 0;
}
