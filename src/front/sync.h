/*
 * sync - what the store tells, first hand or by other daemons
 *
 * A few daemons, the readers, follow the store; the others take from them
 * what has changed, so that the store's calls do not grow with the number of
 * daemons. Which ones are readers follows from who is heard (relayed.c); one
 * that hears no reader for a second becomes one.
 */
#ifndef BK_FRONT_SYNC_H
#define BK_FRONT_SYNC_H

#include "bk/peer/gen/peer_xdr.h"
#include "front.h"
#include "held.h"

typedef enum FrTopic {
    FR_TOPIC_SITE,
    FR_TOPIC_REPORTS,
    FR_TOPIC_COUNT
} FrTopic;

typedef struct FrFollower {
    FrSync *sync;
    FrTopic topic;
    const char *table;
    uint64_t version; /* of the store, taken in */
    uint64_t after;   /* version that the present call asks from */
    bool whole;       /* a list has been read; the feed may go on */
    bool busy;        /* a call is under way */
    bool listing;     /* further parts of a list are on the way */
    char *from;       /* of the next part */
    BkMs called_at;
    BkMs wait; /* that the call asked for */
    BkMs pause;
    int failures; /* in a row, up to a limit */
    BkMs hurried_at;
    uint64_t heard; /* newest version that another daemon has told of */
    BkMs behind_at; /* since when that is newer than ours; 0: it is not */
    BkTimer *timer;
    uint64_t call; /* number of the newest call; others' answers are void */
} FrFollower;

struct FrSync {
    FrFront *front;
    FrFollower followers[FR_TOPIC_COUNT];
    bool reader;
    bool ill;            /* the store failed the last call, or was late */
    FrReorder held;         /* changes that came too early */
    struct Call *calls;  /* of the store, under way */
    BkMs relayed_at;     /* when a reader was heard */
    BkMs passed_on_at;   /* as a reader: when others were told */
    uint32_t first_told; /* place in the list of peers of the first one told */
};

/* A row of the reports' table. */
void FrSync_TakeReport(FrFront *front, const BkStoreRow *row, BkMs now);

/* A call of the store went well or not. */
void FrSync_NoteStore(FrSync *sync, bool good, BkMs now);
void FrSync_SetReader(FrSync *sync, bool reader);

/* Another daemon knows more: asks the store for what changed; a reader, whose
 * feed ought to have told, for all. */
void FrSync_Hurry(FrSync *sync, FrTopic topic, BkMs now);

/* relayed.c: passes changes on, and takes those of other readers. */
void FrRelayed_PassOn(FrSync *sync, const BkStoreReply *reply,
                      uint64_t before);
void FrRelayed_Take(FrSync *sync, const bkp_reports *reports, BkMs now);

/* Chooses whether to be a reader, and gives a sign of life as one. */
void FrRelayed_Round(FrSync *sync, BkMs now);

#endif
