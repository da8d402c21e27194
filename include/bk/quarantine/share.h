/*
 * share - how large a part of a service's requests verdicts refuse together
 *
 * If several traits look guilty, and most requests have one of them, then the
 * service, its links or its hardware are the likelier cause. The verdicts on
 * them are withdrawn, and for a while none is passed on requests for the
 * service. One or two traits are believed, unless nearly all requests have
 * them. A single trait that nearly all requests have can't be told from the
 * service, and gets no verdict; it says nothing about the others.
 *
 * Units: times in ms on the monotonic clock.
 */
#ifndef BK_QUARANTINE_SHARE_H
#define BK_QUARANTINE_SHARE_H

#include "bk/base/clock.h"
#include "bk/quarantine/trait.h"
#include "bk/quarantine/verdict.h"

enum {
    BK_SHARE_REQUESTS = 512, /* the last ones, of all services */
    BK_SHARE_TRAITS = 20,    /* of one request */
    /* traits with verdicts, from which on they are believed less */
    BK_SHARE_MANY_TRAITS = 3,
    BK_SHARE_SERVICES = 16,  /* without verdicts at the same time */
    BK_SHARE_MEMORY = 30000, /* ms for which a request counts */
    BK_SHARE_EXEMPT = 20000  /* ms without verdicts after a withdrawal */
};

typedef struct BkShareRequest {
    uint32_t service;
    BkMs at;
    uint64_t traits[BK_SHARE_TRAITS]; /* hashes */
    int count;
} BkShareRequest;

typedef struct BkShareExemption {
    uint32_t service;
    BkMs until;
} BkShareExemption;

typedef struct BkShare {
    BkShareRequest *requests; /* a ring */
    int64_t count;            /* that were noted so far */
    BkShareExemption exempt[BK_SHARE_SERVICES];
    int exempt_count;
    int64_t dropped; /* exemptions for which there was no room */
} BkShare;

BkShare BkShare_Make(void);
void BkShare_Destroy(BkShare *share);

/* A caller's request with these traits, all of one service, came. */
void BkShare_NoteRequest(BkShare *share, const BkTrait *traits, int count,
                         BkMs now);

/* Whether nearly all of the service's requests have the trait. */
bool BkShare_IsUniversal(const BkShare *share, const BkTrait *trait, BkMs now);

/* Whether the verdicts on the service's traits, and one on this trait, are too
 * many: they would refuse most of its requests. Those that nearly all requests
 * have are left out. */
bool BkShare_IsExceeded(const BkShare *share, const BkVerdicts *verdicts,
                        const BkTrait *trait, BkMs now);

/* Whether the row is the first one on probation of a service that has many
 * verdicts, so that one check of them is made for each service. */
bool BkShare_IsFirstOfMany(const BkVerdicts *verdicts, int row);

/* Whether so many of the service's requests have the trait that an outage would
 * convict it, or too few requests came to tell. */
bool BkShare_IsCommon(const BkShare *share, const BkTrait *trait, BkMs now);

/* The service's verdicts are withdrawn. */
void BkShare_BeginExemption(BkShare *share, uint32_t service, BkMs now);

/* Whether no verdict is passed on requests for the service. */
bool BkShare_IsExempt(const BkShare *share, uint32_t service, BkMs now);

#endif
