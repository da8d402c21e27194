/*
 * links - follows whether this daemon can connect to upstreams
 *
 * Each attempt to connect to an upstream tells (up_conn.c). After a failure,
 * and while the links are lost, this file tries further upstreams; a connection
 * that one of them accepts is kept for requests.
 */
#ifndef BK_FRONT_LINKS_H
#define BK_FRONT_LINKS_H

#include "bk/reach/reach.h"
#include "front.h"

FrLinks *FrLinks_Create(FrFront *front);
void FrLinks_Destroy(FrLinks *links);

/* The upstream accepted a connection. */
void FrLinks_NoteConnected(FrLinks *links, BkMs now);

/* An attempt to connect to the upstream, begun at started_at, has failed. */
void FrLinks_NoteFailed(FrLinks *links, const BkUp *up, BkMs started_at);

/* Whether no upstream can be connected to, although the store lists some. */
bool FrLinks_AreLost(const FrLinks *links);

/* Whether an upstream accepted a connection at that time or later. */
bool FrLinks_WorkedSince(const FrLinks *links, BkMs at);

#endif
