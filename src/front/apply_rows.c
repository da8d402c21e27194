/* Puts rows of the two tables into force: the configuration, and the upstreams'
   reports. */
#include "sync.h"

#include <xxhash.h>

#include "bk/base/log.h"

enum {
    MAX_LOGGED = 400 /* bytes of a row that cannot be decoded */
};

/* Whether the configuration of the row is to replace the one in force. A store
   that came back from an older copy may hold an older one until the operators
   have written theirs again: the one in force goes on. If they have given out
   its number again, their last word counts. */
static bool
is_newer_site(FrFront *front, const BkSite *site, uint64_t hash, uint64_t era)
{
    if (front->site == NULL || site->version > front->site->version) {
        return true;
    }
    if (site->version < front->site->version) {
        if (era > front->site_era) {
            BkLog_Event(BK_LOG_NOTICE, "sync", NULL, "older configuration",
                        "s:I, s:I, s:I", "version", (json_int_t)site->version,
                        "kept", (json_int_t)front->site->version, "era",
                        (json_int_t)era);
        }
        return false;
    }
    bool rewritten = era > front->site_era && hash != front->site_hash;
    front->site_era = era > front->site_era ? era : front->site_era;
    return rewritten;
}

/* Puts the configuration of the row into force if it is newer. Returns false
   if the row has none. */
static bool
apply_site_row(FrFront *front, const BkStoreRow *row, uint64_t era)
{
    uint64_t hash = XXH64(row->value.ptr, row->value.len, 0);

    if (!BkStr_Equal(row->key, BkStr_FromC(BkAdapter_SiteKey())) ||
        row->removed) {
        return false;
    }
    BkSite *site = BkAdapter_DecodeSite(row->value);
    if (site == NULL) {
        BK_LOG(BK_LOG_ERR, "sync", NULL,
               "%s; version %llu of the configuration is ignored",
               BkErr_Last(), (unsigned long long)row->version);
        return false;
    }
    if (!is_newer_site(front, site, hash, era)) {
        BkSite_Destroy(site);
        return true;
    }
    BkLog_Event(BK_LOG_NOTICE, "sync", NULL, "configuration", "s:I, s:I, s:i",
                "version", (json_int_t)site->version, "was",
                (json_int_t)(front->site == NULL ? 0 : front->site->version),
                "routes", site->route_count);
    BkSite_Destroy(front->site);
    front->site = site;
    front->site_since = BkClock_Now();
    front->site_hash = hash;
    front->site_era = era;
    FrFanout_AnnounceSite(front->sync);
    FrQueue_SchedulePass(front, 0);
    return true;
}

/* Of several configurations, only the newest is decoded. */
static void
apply_site_rows(FrFront *front, const BkStoreReply *reply)
{
    int i = reply->count - 1;

    while (i >= 0 && !apply_site_row(front, &reply->rows[i], reply->era)) {
        i--;
    }
}

void
FrSync_ApplyReport(FrFront *front, const BkStoreRow *row, BkMs now)
{
    BkUpReport report;

    if (row->version > front->fleet.version) {
        front->fleet.version = row->version;
    }
    if (row->removed) {
        BkFleet_ApplyRemoval(&front->fleet, row->key, row->version, now);
        return;
    }
    if (BkAdapter_DecodeReport(row->key, row->value, &report) != BK_OK) {
        BK_LOG(
            BK_LOG_WARNING, "sync", NULL,
            "%s; its upstream counts as removed; report: %.*s", BkErr_Last(),
            (int)(row->value.len < MAX_LOGGED ? row->value.len : MAX_LOGGED),
            row->value.len == 0 ? "" : row->value.ptr);
        BkFleet_ApplyRemoval(&front->fleet, row->key, row->version, now);
        return;
    }
    BkFleet_ApplyReport(&front->fleet, &report, row->version, now);
    BkUpReport_Destroy(&report);
}

void
FrSync_ApplyRows(FrTableSync *table, const BkStoreReply *reply, BkMs now)
{
    FrFront *front = table->sync->front;

    switch (table->id) {
    case FR_TABLE_SITE:
        apply_site_rows(front, reply);
        break;
    case FR_TABLE_REPORTS:
        for (int i = 0; i < reply->count; i++) {
            FrSync_ApplyReport(front, &reply->rows[i], now);
        }
        break;
    case FR_TABLE_COUNT:
        break;
    }
    FrQueue_SchedulePass(front, 0);
}
