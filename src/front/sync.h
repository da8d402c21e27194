/*
 * sync - follows the store: the configuration and the upstreams' reports
 *
 * Only a few daemons, the readers, call the store all the time. Each reader
 * sends the changes of reports that it reads to the other daemons, so the
 * number of store calls does not grow with the number of daemons. A daemon
 * decides by the gossip of its peers (peers.h) whether it is a reader; if it
 * hears no reader for a second, it becomes one. The other daemons call the
 * store only until they have read a table once, and when they learn that they
 * are behind; a daemon that has just started, whom the readers do not know yet,
 * follows the configuration for a while. What was missed for longer is read as rows, not as changes, so
 * that the cost does not grow with the time.
 */
#ifndef BK_FRONT_SYNC_H
#define BK_FRONT_SYNC_H

#include "bk/peer/gen/peer_xdr.h"
#include "front.h"
#include "outbox.h"
#include "reorder.h"

typedef enum FrTableId {
    FR_TABLE_SITE,    /* the configuration */
    FR_TABLE_REPORTS, /* the upstreams' reports */
    FR_TABLE_COUNT
} FrTableId;

/* How far this daemon has followed one table of the store. */
typedef struct FrTableSync {
    FrSync *sync;
    FrTableId id;
    const char *name;
    uint64_t era; /* of the store that gave out the versions; 0: not known */
    uint64_t version; /* changes up to this store version are applied */
    /* version after which the last call requested changes */
    uint64_t asked_after;
    bool list_done;        /* a whole list was read; the feed can be used */
    bool call_active;      /* the last call has not ended */
    bool reading_list;     /* more parts of the list are to be read */
    uint64_t list_version; /* of the first part */
    BkBuf next_key;        /* first key of the next part */
    BkMs called_at;
    BkMs list_called_at; /* when the last list was begun */
    BkMs replied_at;     /* when the last call succeeded */
    BkMs feed_wait;      /* how long the store may wait for changes; 0: not */
    BkMs retry_delay; /* after the last failure; 0: the last call succeeded */
    int failures;     /* consecutive; counted up to a limit */
    BkMs last_catch_up_at;
    uint64_t peer_version; /* newest version that another daemon has */
    BkMs behind_since; /* when it became newer than version; 0: it is not */
    BkTimer *timer;
    /* number of the newest call; replies to calls with other numbers are
       ignored */
    uint64_t last_call_number;
} FrTableSync;

struct FrSync {
    FrFront *front;
    FrTableSync tables[FR_TABLE_COUNT];
    bool reader;              /* whether this daemon is a reader */
    bool role_decided;        /* it was decided whether it is one */
    bool store_failing;       /* the last call failed or was answered late */
    FrReorder reorder;        /* changes that arrived before earlier ones */
    FrOutbox outbox;          /* as a reader: messages that are to be sent */
    BkTimer *outbox_timer;    /* sends the next one */
    struct FrSyncCall *calls; /* store calls in progress */
    BkMs reader_heard_at;     /* when a reader's message last came; at first,
                                 when this daemon may become a reader */
    BkMs may_read_at;         /* until then, this daemon is not a reader */
    BkMs last_sent_at;        /* as a reader: when it last sent a message */
    /* when the tables are to be read once more after the store has come back
       from an older copy; 0: not */
    BkMs read_again_at;
};

/* apply_rows.c: applies the rows of a reply to the configuration in force, or
 * to the fleet */
void FrSync_ApplyRows(FrTableSync *table, const BkStoreReply *reply, BkMs now);

/* Applies a row of the reports table to the fleet. */
void FrSync_ApplyReport(FrFront *front, const BkStoreRow *row, BkMs now);

/* Records the result of a store call. ok: a read of one of the tables
 * succeeded within SLOW_REPLY ms, or the store answered a renewal of the
 * lease. */
void FrSync_NoteStoreResult(FrSync *sync, bool ok, BkMs now);
void FrSync_SetReader(FrSync *sync, bool reader);

/* From this time on, this daemon may become a reader: it knows of the other
 * daemons, and could have heard the readers among them. */
void FrSync_AllowReader(FrSync *sync, BkMs at);

/* Another daemon has newer changes of the table: reads them from the store. A
 * reader, whose feed should have returned them, reads the whole table. */
void FrSync_CatchUp(FrSync *sync, FrTableId id, BkMs now);

/* fanout.c: distributes the changes of reports to all daemons */

/* Another daemon has seen a later era of the store: what this daemon knows of
 * the versions of the tables is void, and it reads them again. */
void FrSync_NoteEra(FrSync *sync, uint64_t era, BkMs now);

/* Reads the tables once more when that is due. */
void FrSync_Step(FrSync *sync, BkMs now);

/* The era of the store that gave out the versions of the reports; 0: not known.
 */
uint64_t FrSync_GetReportEra(const FrSync *sync);

/* As a reader: sends the rows of a feed's reply to all other daemons.
 * from_version: the version that a receiver must have to apply them without a
 * gap. */
void FrFanout_Publish(FrSync *sync, const BkStoreReply *reply,
                      uint64_t from_version);

/* Timer callback: sends the next message of the outbox. arg: the FrSync. */
void FrFanout_SendNext(void *arg);

/* The version of the reports that peers can have by this daemon's messages:
 * that which it has, less what is still in its outbox. */
uint64_t FrFanout_GetToldVersion(const FrSync *sync);

/* A new configuration is in force: tells the other daemons, unless they know
 * of it by a reader. */
void FrFanout_AnnounceSite(FrSync *sync);

/* Handles a reader's message: forwards it to the rest of its group if this
 * daemon is the first of the group, and applies it. */
void FrFanout_Receive(FrSync *sync, const bkp_reports *message, BkMs now);

/* Applies the buffered messages that follow the version of the reports without
 * a gap. */
void FrFanout_ApplyReordered(FrSync *sync, BkMs now);

/* Decides whether this daemon is a reader; as one, sends keepalives. */
void FrFanout_Step(FrSync *sync, BkMs now);

#endif
