/*
 * links - follows whether this daemon can connect to upstreams
 *
 * Each attempt to connect to an upstream tells (up_conn.c). After a failure,
 * and while the links are lost, this file tries further upstreams; a connection
 * that one of them accepts is kept for requests. It tells all other daemons
 * which links are lost.
 */
#ifndef BK_FRONT_LINKS_H
#define BK_FRONT_LINKS_H

#include "bk/reach/reach.h"
#include "peers.h"

FrLinks *FrLinks_Create(FrFront *front);
void FrLinks_Destroy(FrLinks *links);

/* The upstream accepted a connection that was begun at started_at. */
void FrLinks_NoteConnected(FrLinks *links, const BkUp *up, BkMs started_at);

/* An attempt to connect to the upstream, begun at started_at, has failed. probe:
 * it was one of this file's own. */
void FrLinks_NoteFailed(FrLinks *links, const BkUp *up, bool probe,
                        BkMs started_at);

/* A peer has told which links it has lost. */
void FrLinks_HandleTold(FrLinks *links, const bkp_links *told, BkMs now);

/* Whether the peer has told lately that it has lost the links to the
 * service. */
bool FrLinks_HasPeerLost(const FrPeer *peer, uint32_t service, BkMs now);

/* Whether an upstream of the same service accepted a connection that was begun
 * at that time or later, so that what has failed was not this daemon's
 * links. */
bool FrLinks_WorkedSince(const FrLinks *links, const BkUp *up, BkMs at);

/* The same, and also true if this upstream is the only one that is open. Tries
 * other upstreams if none has accepted one. */
bool FrLinks_CheckSince(FrLinks *links, const BkUp *up, BkMs at);

/* Whether all other daemons have told that they lost the links to the service
 * too. */
bool FrLinks_HaveAllLost(const FrLinks *links, uint32_t service);

/* Whether no upstream of the service can be connected to, although the store
 * lists some. */
bool FrLinks_AreLost(const FrLinks *links, uint32_t service);

/* The same for the engines of any service, for at_least ms. */
bool FrLinks_AreEnginesLost(const FrLinks *links, BkMs at_least);

#endif
