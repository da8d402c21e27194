/*
 * status - what bkctl asks of this daemon, at the address for operators
 */
#ifndef BK_FRONT_STATUS_H
#define BK_FRONT_STATUS_H

#include "bk/net/http_server.h"
#include "front.h"

/* GET: the daemon's state and verdicts, and the upstreams that it knows, as
 * JSON (docs/PROTOCOLS.md). */
void FrStatus_Reply(FrFront *front, BkHttpReq *req);
void FrStatus_ReplyUpstreams(FrFront *front, BkHttpReq *req);

/* POST {"trait", "by", "why"}: lifts a verdict at all daemons, after an entry
 * in the audit trail was written. */
void FrStatus_LiftVerdict(FrFront *front, BkHttpReq *req);

#endif
