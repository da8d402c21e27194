/*
 * status - numbered result codes, and the message of the last error
 *
 * Every function that can fail returns a BkStatus. The function that detects
 * the error also sets a message for people with BkErr_Set, which BkErr_Last
 * returns. The numbers are part of the interface (HTTP bodies, logs, exit
 * codes of bkctl) and are never reused. docs/RESULT-CODES.md has the same
 * table.
 */
#ifndef BK_BASE_STATUS_H
#define BK_BASE_STATUS_H

/* What a caller may conclude about its request. */
typedef enum BkOutcome {
    BK_OUTCOME_DONE,    /* it ran, and the response is complete */
    BK_OUTCOME_NOT_RUN, /* it did not run anywhere */
    BK_OUTCOME_UNKNOWN, /* it may have run */
    /* failed for good: it ran or was attempted, and is not tried again */
    BK_OUTCOME_FAILED,
    BK_OUTCOME_NONE /* the code is not the result of a request */
} BkOutcome;

/* X(number, name, outcome, HTTP status, description) */
#define BK_STATUS_TABLE(X)                                                    \
    X(0, OK, DONE, 200, "done")                                               \
    X(10, EINVAL, NOT_RUN, 400, "the request is malformed")                   \
    X(11, ETOOBIG, NOT_RUN, 413, "larger than the limit")                     \
    X(12, EAUTH, NOT_RUN, 401, "the caller is not known")                     \
    X(13, EDENIED, NOT_RUN, 403, "not allowed for this caller")               \
    X(14, ENOMODEL, NOT_RUN, 404, "no such model or service in force")        \
    X(15, EKEYNEEDED, NOT_RUN, 400, "a non-repeatable call needs a key")      \
    X(16, EKEYREUSED, NOT_RUN, 422, "the key was used for another request")   \
    X(17, EOVERLOAD, NOT_RUN, 429, "cannot be answered on time")              \
    X(18, ENOTREADY, NOT_RUN, 503, "no ready copy can be reached")            \
    X(19, ESTOPPING, NOT_RUN, 503, "this daemon is stopping")                 \
    X(20, EPLATFORM, NOT_RUN, 503, "the platform's store does not answer")    \
    X(21, ERANGE, NOT_RUN, 400, "a number is out of range")                   \
    X(22, EREFUSED, NOT_RUN, 503, "the upstream refused before running")      \
    X(23, ECONNECT, NOT_RUN, 503, "no connection to the upstream")            \
    X(24, EHEADERS, NOT_RUN, 431, "header fields larger than the limit")      \
    X(30, EUNKNOWN, UNKNOWN, 502, "the outcome is unknown")                   \
    X(31, EINPROGRESS, UNKNOWN, 409, "the same key is still in progress")     \
    X(32, ETIMEOUT, UNKNOWN, 504, "no answer before the deadline")            \
    X(40, EUPSTREAM, FAILED, 502, "the upstream failed the request")          \
    X(41, ETRUNCATED, FAILED, 502, "the answer was cut short")                \
    X(42, ETICKET, FAILED, 403, "the resume ticket is not valid")             \
    X(43, EGONE, FAILED, 410, "the stream can no longer be resumed")          \
    X(60, ECONFIG, NONE, 500, "a settings file has an error")                 \
    X(61, EBUNDLE, NONE, 500, "the bundle has an error")                      \
    X(62, ESIGNATURE, NONE, 500, "the signature does not verify")             \
    X(63, ECONFLICT, NONE, 409, "somebody else changed it first")             \
    X(64, ENOTFOUND, NONE, 404, "not found")                                  \
    X(65, EIO, NONE, 500, "input or output failed")                           \
    X(66, EPLACEMENT, NONE, 500, "the bundle cannot be placed")               \
    X(67, EMEMORY, NONE, 500, "accelerator memory would be overcommitted")    \
    X(68, EFENCED, NONE, 500, "a newer holder has taken over")                \
    X(69, EUSAGE, NONE, 500, "the command line has an error")                 \
    X(70, EDECODE, NONE, 500, "a message cannot be decoded")                  \
    X(71, EINTERNAL, NONE, 500, "a fault of the program itself")              \
    X(72, ETRYAGAIN, NONE, 503, "not now, try again later")

#define BK_STATUS_ENUM(num, name, outcome, http, text) BK_##name = (num),
typedef enum BkStatus {
    BK_STATUS_TABLE(BK_STATUS_ENUM)
} BkStatus;
#undef BK_STATUS_ENUM

typedef struct BkStatusInfo {
    BkStatus status;
    const char *name; /* without the BK_ prefix */
    BkOutcome outcome;
    int http;         /* HTTP status */
    const char *text; /* description, without a full stop */
} BkStatusInfo;

/* The row of a code; for an unknown number, the row of EINTERNAL. */
const BkStatusInfo *BkStatus_Info(BkStatus status);

/* All rows, sorted by number; sets *count to how many there are. */
const BkStatusInfo *BkStatus_Table(int *count);

/* "done", "not run", "outcome unknown", "failed" or "none". */
const char *BkOutcome_Name(BkOutcome outcome);

/* Sets the error message of the calling thread and returns status. */
BkStatus BkErr_Set(BkStatus status, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* The message of the last BkErr_Set in this thread; "" if there is none. */
const char *BkErr_Last(void);

#endif
