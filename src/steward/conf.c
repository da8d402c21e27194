#include "bk/steward/steward.h"

#include <stdlib.h>
#include <string.h>

#define SPEC(...) BK_SETTING(BkStewardConf, __VA_ARGS__)

static const BkSettingSpec steward_specs[] = {
    SPEC("place", "attainment_weight", BK_SETTING_REAL,
         place.attainment_weight, "1", 0, 1000000,
         "worth of an answer on time"),
    SPEC("place", "move_weight", BK_SETTING_REAL, place.move_weight, "1", 0,
         100000000, "price of a load or unload"),
    SPEC("place", "horizon", BK_SETTING_MS, place.horizon, "5min", 1000,
         86400000, "over which a gain is counted"),
    SPEC("place", "rise", BK_SETTING_REAL, place.rise_smoothing, "0.2", 1,
         1000, "smoothing of rising demand, per second"),
    SPEC("place", "fall", BK_SETTING_REAL, place.fall_smoothing, "0.01", 1,
         1000, "smoothing of falling demand, per second"),
    SPEC("place", "target_use", BK_SETTING_REAL, place.target_use, "0.7", 100,
         1000, "share of a copy's capacity to plan for"),
    SPEC("place", "loads_per_second", BK_SETTING_INT, loads_per_second, "2", 1,
         1000, "that the weight store allows"),
    SPEC("place", "loads_at_once", BK_SETTING_INT, loads_at_once, "7", 1, 1000,
         "that the weight store serves at full speed"),
    SPEC("steward", "lease_span", BK_SETTING_MS, lease_duration, "6s", 500,
         300000, "without a renewal, after which the planner is replaced"),
    SPEC("steward", "lease_renew", BK_SETTING_MS, renew_period, "1500ms", 50,
         60000, "between renewals"),
    SPEC("steward", "decide", BK_SETTING_MS, decide_period, "1s", 50, 60000,
         "between decisions"),
    SPEC("steward", "ask", BK_SETTING_MS, idle_poll_period, "30s", 100, 600000,
         "between asks of an engine at rest"),
    SPEC("steward", "order_timeout", BK_SETTING_MS, order_timeout, "10s", 100,
         120000, "of one order to an engine"),
    SPEC("steward", "resend_after", BK_SETTING_MS, resend_after, "3s", 100,
         120000, "until an order without effect is repeated"),
    SPEC("steward", "flight_after", BK_SETTING_MS, max_delivery_time, "20s",
         100, 600000, "within which bytes of a closed connection land"),
    SPEC("steward", "spread_after", BK_SETTING_MS, propagation_time, "10s", 0,
         600000, "within which all daemons know of a new copy"),
    SPEC("steward", "vm_lag", BK_SETTING_MS, max_vm_list_lag, "60s", 100,
         3600000, "longest lag of the list of VMs"),
};

enum {
    STEWARD_SPEC_COUNT = sizeof(steward_specs) / sizeof(steward_specs[0]),
    MIN_RENEWALS_PER_LEASE = 3
};

const BkSettingSpec *
BkSteward_Specs(int *count)
{
    return BkDaemon_JoinSpecs(steward_specs, STEWARD_SPEC_COUNT, count);
}

BkStatus
BkSteward_CheckConf(BkStewardConf *conf)
{
    conf->place.policy = BK_PLACE_WEIGHTED;
    conf->place.loads_per_second = (int)conf->loads_per_second;
    conf->place.loads_at_once = (int)conf->loads_at_once;
    if (conf->renew_period * MIN_RENEWALS_PER_LEASE > conf->lease_duration) {
        return BkErr_Set(BK_ECONFIG,
                         "[steward] lease_renew: at most a third of "
                         "lease_span");
    }
    return BK_OK;
}
