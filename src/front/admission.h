/*
 * admission - admission of requests to engines, coordinated between daemons
 *
 * If daemons send to the same engine without knowing of each other's requests,
 * they fill it with prompts, and its streams stall. Each upstream therefore
 * has a coordinator, one of the daemons. All daemons choose the same one
 * without communication: the one with the highest hash of daemon and upstream,
 * of those in the upstream's failure domain. Before a daemon sends a request
 * to an engine, it asks the engine's coordinator, which knows the load from
 * all daemons as of a few ms ago, and either grants the request or answers
 * that the engine is full. The answer tells the load of the other daemons. The
 * coordinator of a plain service is not asked, but told of changes of the load
 * as that of an engine is.
 *
 * An upstream of either kind that names a rate limit (bk/throttle) gets
 * requests only by grants: its coordinator counts those of all daemons. What
 * a daemon last read in a response of the upstream travels with its asks, and
 * what the coordinator knows with the grants.
 *
 * The coordinator's state is soft: every message contains the whole load of
 * its sender at the upstream, and is sent again from time to time. If
 * the coordinator does not answer within ASK_TIMEOUT ms, the daemon sends the
 * request, having chosen the engine by its own view of the load, unless the
 * upstream named a rate limit; a coordinator that repeatedly does not answer is
 * not used for a while.
 *
 * While a service is brittle (bk/room), its upstreams get requests only by
 * grants too, as many at once as the coordinator knows to have room.
 *
 * In logs and metrics, the coordinator is called the keeper.
 */
#ifndef BK_FRONT_ADMISSION_H
#define BK_FRONT_ADMISSION_H

#include "peers.h"

struct FrAdmission {
    FrFront *front;
    /* requests that wait for a coordinator's answer, oldest last */
    FrRequest *pending;
    uint32_t last_ask_number; /* number of the last ask that was sent */
    BkTimer *timeout_timer;   /* fires when the oldest ask may time out */
    BkTimer *load_timer;      /* sends changes of own load to coordinators */
    BkMs resent_at;           /* when all own load was last sent again */
    BkCounter *asks;
    BkCounter *denied;
    BkCounter *throttled;
    BkCounter *unanswered;
};

typedef enum FrAskResult {
    FR_ASK_SENT,    /* to the coordinator: its answer will follow */
    FR_ASK_GRANTED, /* the request may be sent to the upstream */
    FR_ASK_DENIED   /* the upstream's rate limit does not admit it now */
} FrAskResult;

FrAdmission *FrAdmission_Create(FrFront *front);
void FrAdmission_Destroy(FrAdmission *admission);

/* Asks the coordinator of the request's upstream whether the request may be
 * sent there. This daemon's load at the upstream must already include the
 * request. If this daemon is the coordinator, it decides at once; else the
 * answer is passed to FrRequest_OnAskAnswer (request.h). */
FrAskResult FrAdmission_Ask(FrAdmission *admission, FrRequest *request,
                            BkMs now);

/* The request no longer waits for an answer; a later one is ignored. */
void FrAdmission_Cancel(FrAdmission *admission, FrRequest *request);

/* This daemon's load at the upstream has changed; it is sent to the
 * coordinator soon. */
void FrAdmission_NoteLoadChange(FrAdmission *admission, BkUp *up);

/* From time to time, sends all own load to the coordinators again. */
void FrAdmission_ResendLoads(FrAdmission *admission, BkMs now);

/* Handle messages of other daemons: an ask to this daemon as coordinator, the
 * answer to an ask, and the sender's load at an upstream. */
void FrAdmission_HandleAsk(FrAdmission *admission, const bkp_ask *ask,
                           BkMs now);
void FrAdmission_HandleGrant(FrAdmission *admission, const bkp_grant *grant,
                             BkMs now);
void FrAdmission_HandleLoad(FrAdmission *admission,
                            const bkp_load_update *message, BkMs now);

/* A brittle upstream refused this daemon's request, which its load still
 * includes, for want of room: its coordinator admits fewer. */
void FrAdmission_NoteRefusal(FrAdmission *admission, BkUp *up, BkMs now);
void FrAdmission_HandleRefused(FrAdmission *admission,
                               const bkp_refused *message, BkMs now);

#endif
