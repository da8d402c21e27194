/*
 * inforce - which configuration version is in force, as far as this daemon
 * knows
 *
 * Pure: does no I/O. Versions only rise. A daemon learns of versions from the
 * row bundle/in-force, from peers and from the operator's tool (bkctl). Its
 * active version, the one that it acts on, is the highest one whose text it
 * has fetched and whose signature it has verified. It is current while it has
 * recently heard from the platform or from a current peer. A daemon that has
 * just started becomes current only after the platform has answered, or after
 * a current peer has sent it the version. A daemon that knows of a higher
 * version than its active one for longer than BK_INFORCE_GRACE is not current.
 */
#ifndef BK_INFORCE_INFORCE_H
#define BK_INFORCE_INFORCE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/bundle/bundle.h"

/* A new version must be active on every daemon within this time (ms). */
#define BK_INFORCE_GRACE ((BkMs)3000)

typedef enum BkInForceSource {
    BK_INFORCE_FROM_PLATFORM, /* the row bundle/in-force */
    BK_INFORCE_FROM_PEER,     /* a peer that is current */
    BK_INFORCE_FROM_OPERATOR  /* bkctl, after it committed the row */
} BkInForceSource;

typedef struct BkInForce {
    uint64_t active_version;  /* acted on by this daemon; 0: none yet */
    uint64_t highest_version; /* highest version heard of */
    unsigned char highest_digest[BK_DIGEST_BYTES]; /* of the highest version */
    /* last report of the platform; BK_MS_NEVER: none */
    BkMs platform_heard_at;
    BkMs peer_heard_at; /* last report of a current peer; BK_MS_NEVER: none */
    /* when a version above the active one was first heard of */
    BkMs behind_since;
    /* not current when both the platform and all current peers have been
       silent for longer */
    BkMs max_silence;
} BkInForce;

typedef enum BkInForceResult {
    BK_INFORCE_UNCHANGED, /* nothing to do */
    /* a version that is not active yet: fetch the text with this digest */
    BK_INFORCE_FETCH,
    /* the highest version, but with a different digest: log it; the first
       digest stays */
    BK_INFORCE_CONFLICT
} BkInForceResult;

/* max_silence: see the field of this name. */
BkInForce BkInForce_Make(BkMs max_silence);

/* Records that source reports this version and digest to be in force, and
 * returns what the daemon has to do. */
BkInForceResult BkInForce_RecordReport(BkInForce *state,
                                       BkInForceSource source,
                                       uint64_t version,
                                       const unsigned char *digest, BkMs now);

/* The text with this digest was fetched and verified: makes this version the
 * active one. Returns false, and changes nothing, if a higher version has been
 * heard of since. */
bool BkInForce_Activate(BkInForce *state, uint64_t version,
                        const unsigned char *digest);

/* Whether the active version is known to be up to date. */
bool BkInForce_IsCurrent(const BkInForce *state, BkMs now);

#endif
