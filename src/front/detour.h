/*
 * detour - requests that go by way of another daemon
 *
 * A daemon that has lost its links to the upstreams sends the requests of its
 * callers to a daemon that has them, over HTTP at the address of the peers'
 * messages, and passes the response on. The other daemon serves such a request
 * like one of its own callers, but never sends it to a third daemon, lets it run
 * once only, and does not count it as a new request: the first one counts, and
 * decides about further runs.
 *
 * The field Bk-Detour of a request has the version of the first daemon's
 * configuration, how many daemons have refused it, and the software version
 * that its stream is bound to. In a response it has the software version of the
 * upstream, or a word: the request was not run, and another daemon may serve it
 * ("elsewhere", or "arrived" if an upstream has refused it), or this one too if
 * no other does ("full"). A daemon that does not know a word takes the response
 * for the final one.
 */
#ifndef BK_FRONT_DETOUR_H
#define BK_FRONT_DETOUR_H

#include "peers.h"
#include "request.h"

/* What the field of a request says. */
typedef struct FrDetourFields {
    uint64_t config;  /* version of the first daemon's configuration */
    int64_t tries;    /* daemons that refused it; see BkReach_MayTake */
    int64_t software; /* key of the version's name; 0: any */
} FrDetourFields;

/* What the field of a response says. */
typedef struct FrDetourReply {
    FrRefusal refusal;
    uint32_t software; /* key of its name; 0: not told */
} FrDetourReply;

/* The daemon, as a target, refused a request, and gets none for a while. */
void FrDetour_NoteRefusal(BkUp *target, BkMs now);

/* Sends the request to another daemon if this one has lost its links, or
 * forced, if none of the upstreams for it could be connected to; refuses it if
 * no daemon with links takes it. Returns false if no daemon has links. */
bool FrDetour_TrySend(FrRequest *request, bool forced, BkMs now);

/* Appends the field to the head of a request that goes by way of another
 * daemon. */
void FrDetour_PutFields(const FrRequest *request, BkBuf *out);

/* Whether a header field is the one above, which is not forwarded. */
bool FrDetour_IsField(BkStr name);

/* Reads the field of a request that came by way of another daemon. Returns
 * false if it was refused, so that the other daemon tries a third one. */
bool FrDetour_Accept(FrCallerConn *conn, const BkH1Head *head,
                     FrDetourFields *out);

/* Refuses a request that came by way of another daemon, which is to try a
 * third one. */
void FrDetour_Refuse(FrCallerConn *conn, FrRefusal refusal, const char *why);

/* Does so for a request that has not run, if this daemon has lost its links
 * meanwhile. Returns whether it did. */
bool FrDetour_MaybeReturn(FrRequest *request);

FrDetourReply FrDetour_ReadReply(const BkH1Head *head);

/* Append the field to the response to a request that came by way of another
 * daemon: a word for the refusal, if it is one, or the version of its
 * upstream. */
void FrDetour_PutRefusal(FrRefusal refusal, BkBuf *out);
void FrDetour_PutSoftware(const FrRequest *request, BkBuf *out);

#endif
