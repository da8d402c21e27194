/*
 * internal - parts of the daemon slice, for its own files only
 */
#ifndef BK_DAEMON_INTERNAL_H
#define BK_DAEMON_INTERNAL_H

#include "bk/daemon/daemon.h"

/* peers: the daemons that this one knows */

typedef struct BkPeer {
    char gossip[BKG_NAME + 1]; /* "ip:port" */
    char name[BKG_NAME + 1];   /* "" until heard */
    char ops[BKG_NAME + 1];
    BkRole role; /* 0 until known */
    uint64_t epoch;
    BkMs learned; /* when its address became known */
    BkMs heard;   /* BK_MS_NEVER: not yet */
    bool seed;    /* from the settings; never forgotten */
    bool stopping;
} BkPeer;

typedef struct BkPeers {
    BkPeer *list;
    int count;
    int cap;
} BkPeers;

BkPeers *BkPeers_Create(const char *seeds, BkMs now);
void BkPeers_Destroy(BkPeers *peers);

/* The peer at this gossip address, added if there is room; or NULL. */
BkPeer *BkPeers_Learn(BkPeers *peers, const char *gossip, BkMs now);

/* Forgets those that are silent for the span, but for seeds. */
void BkPeers_Forget(BkPeers *peers, BkMs now, BkMs span);

/* A random peer that satisfies fn; NULL if none does. */
BkPeer *BkPeers_Pick(BkPeers *peers, BkRng *rng,
                     bool (*fn)(const BkPeer *peer, void *arg), void *arg);

BkPeer *BkPeers_FindName(BkPeers *peers, const char *name);

/* hello: the regular message to a few random peers */

void BkHello_Start(BkDaemon *daemon);
void BkHello_Take(BkDaemon *daemon, const bkg_hello *hello, const char *from);

/* sync: learning of configurations and fetching their texts */

typedef struct BkConfigSync BkConfigSync;

BkConfigSync *BkConfigSync_Create(BkDaemon *daemon);
void BkConfigSync_Destroy(BkConfigSync *sync);

/* A peer that is current acts on this version. */
void BkConfigSync_PeerNews(BkConfigSync *sync, uint64_t version,
                           const unsigned char *digest, const char *ops);

/* GET and POST /peer/in-force, GET /peer/bundle/DIGEST. */
void BkConfigSync_ReplyInForce(BkConfigSync *sync, BkHttpReq *req);
void BkConfigSync_TakePush(BkConfigSync *sync, BkHttpReq *req);
void BkConfigSync_ReplyText(BkConfigSync *sync, BkHttpReq *req, BkStr digest);

/* watch: polls of upstreams, the VM list, drains */

typedef struct BkUpstreamWatch BkUpstreamWatch;

BkUpstreamWatch *BkUpstreamWatch_Create(BkDaemon *daemon);
void BkUpstreamWatch_Destroy(BkUpstreamWatch *watch);

/*
 * The operators' drains, as keys of upstreams, of which the latest reading
 * counts, by whichever daemon it was made. Tell gives their number and sets
 * *at to when they were read; -1 if there was no reading or they are more
 * than max.
 */
int BkUpstreamWatch_TellDrains(const BkUpstreamWatch *watch, uint32_t *keys,
                               int max, BkMs *at);
void BkUpstreamWatch_TakeDrains(BkUpstreamWatch *watch, const uint32_t *keys,
                                int count, BkMs at);

/* The bundle and the view have been replaced. */
void BkUpstreamWatch_NewView(BkUpstreamWatch *watch);

/* session: the epoch of this start */

typedef struct BkSession BkSession;

BkSession *BkSession_Create(BkDaemon *daemon);
void BkSession_Destroy(BkSession *session);

/* ops: the operators' HTTP port. ERRORS: BK_EIO. */
BkStatus BkOps_Start(BkDaemon *daemon);

/* Whether this daemon is ready; if not, *reason says why. */
bool BkOps_Ready(BkDaemon *daemon, const char **reason);

/* Counts control traffic by kind. */
void BkControl_Count(const char *kind, const BkHttpResult *result);

#endif
