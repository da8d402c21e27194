/*
 * quarantine - keeps requests away from upstreams that would crash of them
 *
 * bk/quarantine decides; breaks.c finds out that an upstream's process ended
 * under requests, quarantine_peers.c tells the other daemons,
 * quarantine_rows.c keeps verdicts in the store, for the case that all daemons
 * die, quarantine_traits.c knows what requests have in common, and
 * quarantine_log.c writes the log lines.
 */
#ifndef BK_FRONT_QUARANTINE_H
#define BK_FRONT_QUARANTINE_H

#include "bk/quarantine/share.h"
#include "bk/quarantine/tally.h"
#include "bk/quarantine/trial.h"
#include "bk/quarantine/verdict.h"
#include "bk/quarantine/well.h"
#include "peers.h"

enum {
    FR_MAX_TRAITS = BK_MAX_PROMPT_PARTS + 1, /* of one request */
    FR_VERDICT_KEY_BYTES = 40,               /* for FrQuarantineRows_MakeKey */
    /* ms from the first byte of a response's body, after which its upstream
       is taken not to crash of the request */
    FR_WELL_OUTPUT = 250
};

/* Attempts at one upstream that broke off in the same moment. */
typedef struct FrBreak FrBreak;

struct FrQuarantine {
    FrFront *front;
    BkWell well;
    BkTally tally;
    BkVerdicts verdicts;
    BkTrials trial_ends; /* of own trials */
    BkShare share;
    BkMs next_share_check_at;
    int64_t dropped_logged; /* of the tally and of the verdicts */
    int64_t dropped_crashes_logged;
    FrBreak *breaks;
    BkTimer *timer; /* the next decision, or the end of a claim's wait */
    /* runs that went well and that other daemons are to be told of, after a
       random delay in which one of them may tell them first */
    bkp_well_run objections[BKP_MAX_WELL_RUNS];
    BkMs objection_sent_at[BKP_MAX_WELL_RUNS]; /* when they were sent */
    int objection_count;
    BkTimer *objection_timer;
    /* the table of the store (quarantine_rows.c) */
    bool rows_read;
    BkBuf next_key; /* where its list continues; empty: at the first row */
    BkMs next_call_at;
    bool call_active;
    BkTrait unwritten[BK_VERDICTS_MAX]; /* rows to be written */
    int unwritten_count;
    BkTrait writing; /* the one of the active call */
    BkCounter *crashes;
    BkCounter *convicted;
    BkCounter *lifted;
    BkCounter *trials;
    BkCounter *refused;
    BkCounter *active;
};

typedef enum FrQuarantineState {
    FR_QUARANTINE_FREE,  /* the request may be sent */
    FR_QUARANTINE_TRIAL, /* it may be sent as a trial, which is claimed first */
    FR_QUARANTINE_HELD,  /* it waits for a decision, and is dispatched then */
    FR_QUARANTINE_REFUSED /* it was refused and has ended */
} FrQuarantineState;

FrQuarantine *FrQuarantine_Create(FrFront *front);
void FrQuarantine_Destroy(FrQuarantine *quarantine);

/* Decides whether the request may be sent, before each attempt. */
FrQuarantineState FrQuarantine_Check(FrQuarantine *quarantine,
                                     FrRequest *request, BkMs now);

/* Lets the request wait for a decision. */
void FrQuarantine_Hold(FrQuarantine *quarantine, FrRequest *request, BkMs now);

/* The request's attempt has written enough, or ended well, so that the
 * upstream did not crash of it. */
void FrQuarantine_NoteWell(FrQuarantine *quarantine, FrRequest *request,
                           BkMs now);

/* The upstream has answered that something is wrong with the request, and not
 * that it has not run it. The answer names the request, so it is not from another
 * process at that address. A trial that is answered so lifts the verdict: its
 * upstream lives, and such requests may get no better answer. */
void FrQuarantine_NoteAnswered(FrQuarantine *quarantine,
                               const FrRequest *request, BkMs now);

/* Forgets what is old, and reads and writes the store's table when that is
 * due. */
void FrQuarantine_Step(FrQuarantine *quarantine, BkMs now);

/* A crash, reported by this daemon (own) or another one. */
void FrQuarantine_CountCrash(FrQuarantine *quarantine, const BkCrash *crash,
                             const BkSuspect *suspects, int count, bool own,
                             BkMs now);

/* Another daemon tells of a run that went well. */
void FrQuarantine_ApplyWell(FrQuarantine *quarantine, const BkTrait *trait,
                            BkMs sent_at);

/* A verdict of another daemon, or of the store's table (source). */
void FrQuarantine_ApplyVerdict(FrQuarantine *quarantine, const BkVerdict *told,
                               const char *source, BkMs now);

/* quarantine_traits.c */

/* Lists the request's traits in out, which has room for FR_MAX_TRAITS, and
 * returns how many. */
int FrQuarantine_ListTraits(const FrRequest *request, BkTrait *out);

bool FrQuarantine_HasTrait(const FrRequest *request, const BkTrait *trait);

/* A caller's request has come, not by way of another daemon. */
void FrQuarantine_NoteRequest(FrQuarantine *quarantine,
                              const FrRequest *request, BkMs now);

/* breaks.c */

/* The request's attempt broke off, and it may have crashed its upstream. Must
 * be called while the request still has its upstream. */
void FrBreaks_Note(FrQuarantine *quarantine, const FrRequest *request,
                   BkMs now);
void FrBreaks_Destroy(FrQuarantine *quarantine);

/* quarantine_trials.c */

/* Claims the trial for a request that an upstream could run now. It waits for
 * other claims, and is dispatched again then. */
void FrQuarantine_ClaimTrial(FrQuarantine *quarantine, FrRequest *request,
                             BkMs now);

/* Whether the request is the trial of the verdict that was claimed last. */
bool FrQuarantine_IsTrial(const FrQuarantine *quarantine,
                          const FrRequest *request, const BkVerdict *verdict);

/* The request is sent as the trial: no other daemon has claimed it. */
void FrQuarantine_NoteTrial(FrQuarantine *quarantine, FrRequest *request,
                            const BkVerdict *verdict, BkMs now);

/* The request ends. If it was a trial that has not decided anything, all
 * daemons are told that the next one may come. */
void FrQuarantine_EndTrial(FrQuarantine *quarantine, const FrRequest *request,
                           BkMs now);

/* An own crash has ended the trials among its suspects. What that shows is
 * judged a little later. */
void FrQuarantine_NoteTrialCrash(FrQuarantine *quarantine,
                                 const BkCrash *crash,
                                 const BkSuspect *suspects, int count,
                                 BkMs now);

/* Confirms the verdicts whose trials have crashed their upstreams; those whose
 * upstreams ended with others are tried again soon. */
void FrQuarantine_JudgeTrials(FrQuarantine *quarantine, BkMs now);

/* quarantine_peers.c */

/* Tells all daemons of a crash and of the suspects of this daemon. */
void FrQuarantine_SpreadCrash(FrQuarantine *quarantine, const BkCrash *crash,
                              const BkSuspect *suspects, int count, BkMs now);

/* Tells all daemons that the trait ran well in a request that was sent at
 * sent_at, after a delay, unless another one tells them first. */
void FrQuarantine_Object(FrQuarantine *quarantine, const BkTrait *trait,
                         BkMs sent_at);

/* Tells all daemons of a verdict that this daemon has changed. */
void FrQuarantine_SpreadVerdict(FrQuarantine *quarantine,
                                const BkVerdict *verdict, BkMs now);

/* Sends the verdicts to one daemon, if there are any. */
void FrQuarantine_SendVerdicts(FrQuarantine *quarantine, const FrPeer *peer,
                               BkMs now);

void FrQuarantine_HandleCrash(FrQuarantine *quarantine,
                              const bkp_crash *message, BkMs now);
void FrQuarantine_HandleWell(FrQuarantine *quarantine, const bkp_well *message,
                             BkMs now);
void FrQuarantine_HandleVerdicts(FrQuarantine *quarantine,
                                 const bkp_verdicts *message, BkMs now);
void FrQuarantine_SendObjections(void *arg);

/* Lifts a verdict for an operator. Returns false if there is none any more. */
bool FrQuarantine_LiftByOperator(FrQuarantine *quarantine,
                                 const BkTrait *trait, const char *by,
                                 BkMs now);

/* quarantine_log.c */

/* Logs that traits, verdicts or crashes were dropped since the last call. */
void FrQuarantineLog_Dropped(FrQuarantine *quarantine);

/* event, source: of the line; source is a daemon's word or a request's id. */
void FrQuarantineLog_Verdict(const FrQuarantine *quarantine,
                             const BkVerdict *verdict, const char *event,
                             const char *source, BkMs now);

/* The crashes that speak against a trait. */
void FrQuarantineLog_Evidence(const FrFront *front, const BkTallyRow *row,
                              BkMs now);

/* No verdicts are passed on the service for a while. */
void FrQuarantineLog_Withheld(uint32_t service);

/* A crash with all its suspects, at level debug. */
void FrQuarantineLog_Crash(const FrFront *front, const BkCrash *crash,
                           const BkSuspect *suspects, int count, bool own,
                           BkMs now);

/* quarantine_rows.c */

/* The key of a verdict's row, which also names the verdict for operators.
 * ParseKey returns false if the text is no such key. */
void FrQuarantineRows_MakeKey(const BkTrait *trait, char *key);
bool FrQuarantineRows_ParseKey(BkStr key, BkTrait *out);

/* The verdict is to be written to the store, or removed if it was lifted. */
void FrQuarantineRows_Write(FrQuarantine *quarantine, const BkTrait *trait);

/* This daemon has forgotten the verdict, as all do at that time: two of them
 * remove its row. */
void FrQuarantineRows_Remove(FrQuarantine *quarantine, const BkTrait *trait,
                             BkMs now);

void FrQuarantineRows_Step(FrQuarantine *quarantine, BkMs now);

#endif
