/*
 * origin - at which software version of an upstream a stream began
 *
 * Pure. What two software versions write does not fit together, and upstreams
 * do not check it, so a stream goes on only at the version that began it. In
 * one answer the daemon knows that version. A caller that takes a stream up,
 * perhaps at another daemon because the first one died, names the request that
 * brought its first event; this slice remembers the versions by such ids,
 * decides which other daemons are told of a stream (its homes) and are asked
 * for it, and decides from their answers. docs/design/stream-versions.md says
 * why so.
 *
 * Units: times in ms on the monotonic clock. A stream is the hash of a request
 * id (BkOrigin_Key), a version and a service the hash of its name.
 */
#ifndef BK_ORIGIN_ORIGIN_H
#define BK_ORIGIN_ORIGIN_H

#include <stdbool.h>
#include <stdint.h>

#include "bk/base/clock.h"
#include "bk/base/str.h"

enum {
    /* streams that are remembered for up to a memory each time; more are
       dropped, and counted */
    BK_ORIGIN_MAX_STREAMS = 16384,
    BK_ORIGIN_MAX_ASKED = 4, /* daemons that are asked for one stream */
    BK_ORIGIN_HOMES = 2,     /* daemons that are told of one stream */
    BK_ORIGIN_MAX_TRIES = 3  /* times that a question is sent */
};

/* A stream that began at a version. */
typedef struct BkOrigin {
    uint64_t stream; /* 0: no row */
    uint32_t version;
    uint32_t service;
    bool untold; /* this daemon passed its first event on, and has told no
                    other daemon */
} BkOrigin;

typedef struct BkOriginTable {
    BkOrigin *rows; /* hash table with open addressing */
    int count;
    int cap; /* a power of 2, or 0 */
} BkOriginTable;

/* What a daemon remembers: each row for at least a memory, and less than two. */
typedef struct BkOrigins {
    BkOriginTable young;
    BkOriginTable old;
    BkMs memory;
    BkMs rotated_at; /* when young became old */
    int64_t dropped; /* rows for which there was no room */
} BkOrigins;

/* The key of a request id; 0 for an empty one. */
uint64_t BkOrigin_Key(BkStr request_id);

BkOrigins BkOrigins_Make(BkMs memory, BkMs now);
void BkOrigins_Destroy(BkOrigins *origins);

/* Remembers the row. The first note of a stream counts. */
void BkOrigins_Note(BkOrigins *origins, const BkOrigin *row, BkMs now);

/* Returns the stream's row, or NULL. */
const BkOrigin *BkOrigins_Find(const BkOrigins *origins, uint64_t stream);

/* Calls take for each row that is untold, which it then is no longer, of the
 * services for which wanted is true. */
void BkOrigins_TakeUntold(BkOrigins *origins,
                          bool (*wanted)(uint32_t service, void *arg),
                          void (*take)(const BkOrigin *row, void *arg),
                          void *arg);

/* Forgets what is older than two memories. */
void BkOrigins_Expire(BkOrigins *origins, BkMs now);

/* Another daemon that may be told or asked. */
typedef struct BkOriginPeer {
    uint32_t key;    /* hash of its name */
    uint32_t domain; /* hash of its failure domain */
} BkOriginPeer;

/* Chooses, by rendezvous hashing of the stream, the first near daemons in the
 * own failure domain and the first far ones outside it. The daemon that passed
 * the first event on tells one of each; one that asks two of each thus asks a
 * home of it, also while it does not know yet that the first daemon died.
 * Writes indexes into peers to out, which has room for near + far, and returns
 * how many. */
int BkOrigin_ChooseHomes(const BkOriginPeer *peers, int count,
                         uint32_t own_domain, uint64_t stream, int near,
                         int far, int *out);

/* The software versions of a service's upstreams as one daemon saw them. */
typedef struct BkOriginView {
    int versions;     /* 0, 1, or 2 for several */
    uint32_t version; /* the only one */
    bool complete;    /* it saw all that served in the last memory */
} BkOriginView;

/* What is known of a stream that this daemon does not remember. */
typedef struct BkOriginEvidence {
    BkOriginView own;
    bool has_peers; /* other daemons run, as far as is known */
    int asked;      /* other daemons that were asked */
    int timeouts;   /* times that the question was sent without all answers */
    int answers;    /* of other daemons */
    bool agreed;    /* one of them sees this daemon's only version */
    bool several;   /* one of them sees several versions, or another one */
    bool complete;  /* one of them saw all that served in the last memory */
} BkOriginEvidence;

/* Adds an answer that does not name the stream's version. */
void BkOrigin_AddView(BkOriginEvidence *evidence, const BkOriginView *view);

typedef enum BkOriginDecision {
    BK_ORIGIN_WAIT,  /* for further answers, or the next timeout */
    BK_ORIGIN_GO_ON, /* the service's only version must have begun it */
    BK_ORIGIN_REFUSE /* nobody knows the version */
} BkOriginDecision;

/* Decides after an answer or a timeout. The view of a daemon that is cut off
 * from all others may be old, so that one of them has to agree. */
BkOriginDecision BkOrigin_Decide(const BkOriginEvidence *evidence);

#endif
