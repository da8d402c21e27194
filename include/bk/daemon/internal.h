/*
 * internal - functions and types for use within src/daemon only
 */
#ifndef BK_DAEMON_INTERNAL_H
#define BK_DAEMON_INTERNAL_H

#include "bk/daemon/daemon.h"

/* peers: the other daemons that this one knows */

typedef struct BkPeer {
    char gossip_address[BKG_MAX_NAME + 1]; /* "ip:port" */
    char name[BKG_MAX_NAME + 1];           /* "" before its first hello */
    char ops_address[BKG_MAX_NAME + 1];    /* of its operators' HTTP port */
    BkRole role;                           /* 0 before its first hello */
    uint64_t epoch; /* of its start, by its last hello */
    BkMs added_at;  /* when its address became known */
    BkMs heard_at;  /* when its last hello came; BK_MS_NEVER: none yet */
    bool seed;      /* from the settings; never removed */
    bool stopping;
} BkPeer;

typedef struct BkPeers {
    BkPeer *list;
    int count;
    int cap;
} BkPeers;

/* seeds: gossip addresses from the settings, separated by blanks. */
BkPeers *BkPeers_Create(const char *seeds, BkMs now);
void BkPeers_Destroy(BkPeers *peers);

/* The peer at this gossip address, which is added if unknown. NULL if the
 * list is full or the address is malformed. */
BkPeer *BkPeers_FindOrAdd(BkPeers *peers, const char *gossip_address,
                          BkMs now);

/* Removes the peers, other than seeds, that have sent no hello for longer than
 * max_silence. */
void BkPeers_RemoveSilent(BkPeers *peers, BkMs now, BkMs max_silence);

/* A random peer for which matches returns true; NULL if there is none. */
BkPeer *BkPeers_PickRandom(BkPeers *peers, BkRng *rng,
                           bool (*matches)(const BkPeer *peer, void *arg),
                           void *arg);

BkPeer *BkPeers_FindByName(BkPeers *peers, const char *name);

/* hello: the message that each daemon sends to a few random peers in each
 * gossip period */

/* Starts to send hellos. */
void BkHello_Start(BkDaemon *daemon);
/* A hello came from this gossip address. */
void BkHello_Receive(BkDaemon *daemon, const bkg_hello *hello,
                     const char *from);

/* sync: keeps the daemon on the bundle in force, and fetches its text */

typedef struct BkBundleSync BkBundleSync;

BkBundleSync *BkBundleSync_Create(BkDaemon *daemon);
void BkBundleSync_Destroy(BkBundleSync *sync);

/* A peer that is current (BkInForce_IsCurrent) reports that it acts on this
 * version of the bundle, whose text has this digest. ops_address is that of
 * the peer. */
void BkBundleSync_OnPeerReport(BkBundleSync *sync, uint64_t version,
                               const unsigned char *digest,
                               const char *ops_address);

/* GET /peer/in-force */
void BkBundleSync_ReplyInForce(BkBundleSync *sync, BkHttpReq *req);
/* POST /peer/in-force: bkctl pushes a bundle. */
void BkBundleSync_HandlePush(BkBundleSync *sync, BkHttpReq *req);
/* GET /peer/bundle/DIGEST */
void BkBundleSync_ReplyBundle(BkBundleSync *sync, BkHttpReq *req,
                              BkStr digest);

/* watch: polls upstreams, and reads the VM list and the drains */

typedef struct BkUpstreamWatch BkUpstreamWatch;

BkUpstreamWatch *BkUpstreamWatch_Create(BkDaemon *daemon);
void BkUpstreamWatch_Destroy(BkUpstreamWatch *watch);

/*
 * Operators' drains are kept as the hashes of the drained upstreams' names, as
 * last read from the store by any daemon.
 *
 * GetDrains copies the hashes, sets *read_at to when they were read, and
 * returns their number; -1 if they have not been read yet or are more than
 * max. ApplyDrains replaces them if these were read later.
 */
int BkUpstreamWatch_GetDrains(const BkUpstreamWatch *watch,
                              uint32_t *name_hashes, int max, BkMs *read_at);
void BkUpstreamWatch_ApplyDrains(BkUpstreamWatch *watch,
                                 const uint32_t *name_hashes, int count,
                                 BkMs read_at);

/* The daemon's bundle and view have been replaced. */
void BkUpstreamWatch_OnViewReplaced(BkUpstreamWatch *watch);

/* session: obtains the epoch of this start, which the platform's store keeps
 * in the row session/NAME and which rises with each start of the daemon */

typedef struct BkSession BkSession;

BkSession *BkSession_Create(BkDaemon *daemon);
void BkSession_Destroy(BkSession *session);

/* ops: the operators' HTTP port */

/* ERRORS: BK_EIO. */
BkStatus BkOps_Start(BkDaemon *daemon);

/* Whether this daemon is ready to serve. Sets *reason to a static string:
 * "ready", or why it is not. */
bool BkOps_IsReady(BkDaemon *daemon, const char **reason);

/* Counts the bytes of an HTTP call between daemons or to an upstream's
 * control interface as control traffic of this kind. */
void BkControl_CountBytes(const char *kind, const BkHttpResult *result);

#endif
