/*
 * inforce - which configuration is in force, as far as this daemon knows
 *
 * Pure. Versions only ever rise. A daemon learns of versions from the row
 * bundle/in-force, from peers and from the operator's tool; it acts on the
 * highest whose text it holds with a good signature. It is current while
 * it has lately heard from the platform or from a peer; a daemon that has
 * just started is current only after the platform answered, or after a peer
 * that is current told it the version. One that knows of a higher version
 * and still acts on a lower one after BK_INFORCE_GRACE is not current.
 */
#ifndef BK_INFORCE_INFORCE_H
#define BK_INFORCE_INFORCE_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/bundle/bundle.h"

/* the span in which a change must be in force everywhere */
#define BK_INFORCE_GRACE ((BkMs)3000)

typedef enum BkNewsSource {
    BK_NEWS_PLATFORM, /* the row itself */
    BK_NEWS_PEER,     /* a peer that is current */
    BK_NEWS_OPERATOR  /* bkctl, after the commit */
} BkNewsSource;

typedef struct BkInForce {
    uint64_t acting;  /* version acted upon; 0: none yet */
    uint64_t highest; /* highest version heard of */
    unsigned char digest[BK_DIGEST_BYTES]; /* of highest */
    BkMs platform_at;   /* last word from the platform, BK_MS_NEVER: none */
    BkMs peer_at;       /* last word from a current peer */
    BkMs behind_since;  /* when a version above acting was first told */
    BkMs cut_off_after; /* silence of both after which it is not current */
} BkInForce;

typedef enum BkNewsVerdict {
    BK_NEWS_OLD,   /* nothing to do */
    BK_NEWS_FETCH, /* a higher version: fetch the text of the digest */
    BK_NEWS_CLASH  /* same version, other digest: log it, act on nothing */
} BkNewsVerdict;

BkInForce BkInForce_Make(BkMs cut_off_after);

BkNewsVerdict BkInForce_TakeNews(BkInForce *state, BkNewsSource source,
                                 uint64_t version, const unsigned char *digest,
                                 BkMs now);

/* The text of the digest was fetched and checked: act on it. False if a
 * higher version was heard of meanwhile. */
bool BkInForce_TakeText(BkInForce *state, uint64_t version,
                        const unsigned char *digest);

/* Whether what it acts on can be relied upon. */
bool BkInForce_Current(const BkInForce *state, BkMs now);

#endif
