/*
 * rows - decoding and encoding the rows of the platform that bkctl uses
 *
 * The rows contain JSON texts, see docs/PROTOCOLS.md, "Rows". A row that does
 * not exist decodes to a zeroed struct with row_version 0. The age of a row is
 * the time since it was last written.
 */
#ifndef BK_CTL_ROWS_H
#define BK_CTL_ROWS_H

#include "bk/bundle/signature.h"
#include "client.h"

enum {
    /* buffer sizes, zero byte included */
    BK_CTL_NONCE_SIZE = 33,      /* a roll's nonce in hex */
    BK_CTL_AUDIT_KEY_SIZE = 17,  /* the number of an audit entry in hex */
    BK_CTL_DIGEST_HEX_SIZE = 65, /* a bundle's digest in hex */
    BK_CTL_TIME_SIZE = 32        /* for BkClock_Format */
};

/* bundle/in-force */
typedef struct BkInForceRow {
    uint64_t row_version;
    BkMs age;
    uint64_t version; /* of the bundle; 0: none yet */
    char digest[BK_CTL_DIGEST_HEX_SIZE];
    char signature[BK_SIGNATURE_HEX_SIZE];
    char signer[BK_SIGNER_HEX_SIZE];
    /* identifies a roll whose response was lost */
    char nonce[BK_CTL_NONCE_SIZE];
    char *name;
    char *note;
    char *by;
} BkInForceRow;

/* audit/NUMBER */
typedef struct BkAuditRow {
    uint64_t number;
    char at[BK_CTL_TIME_SIZE];
    char *by;
    char *action; /* "roll", "drain", "undrain" */
    char *subject;
    char *why;
    uint64_t version;              /* that a roll put in force */
    char nonce[BK_CTL_NONCE_SIZE]; /* of a roll */
} BkAuditRow;

/* drain/UPSTREAM */
typedef struct BkDrainRow {
    uint64_t row_version;
    BkMs age;
    char *upstream;
    char *by;
    char *why;
} BkDrainRow;

/* An order whose outcome the planner does not know: "in doubt". */
typedef struct BkDoubtfulOrder {
    char *upstream;
    char *instance;
} BkDoubtfulOrder;

/* planner/progress */
typedef struct BkProgressRow {
    uint64_t row_version;
    BkMs age;
    uint64_t version; /* of the bundle that the planner rolls */
    bool rolled;      /* every item has a ready copy */
    char **missing;   /* items without a ready copy */
    int missing_count;
    BkDoubtfulOrder *doubtful;
    int doubtful_count;
    int64_t moves; /* loads and unloads decided, by all planners */
} BkProgressRow;

/* planner/term */
typedef struct BkTermRow {
    uint64_t row_version;
    BkMs age;
    uint64_t term;
    char *holder;
} BkTermRow;

/* Decoders. ERRORS: BK_EDECODE; the message names the row. */
BkStatus BkInForceRow_Decode(BkInForceRow *out, const BkCtlRow *row);
BkStatus BkAuditRow_Decode(BkAuditRow *out, const BkCtlRow *row);
BkStatus BkDrainRow_Decode(BkDrainRow *out, const BkCtlRow *row);
BkStatus BkProgressRow_Decode(BkProgressRow *out, const BkCtlRow *row);
BkStatus BkTermRow_Decode(BkTermRow *out, const BkCtlRow *row);

/* The row of a drain cannot be decoded: shows the last error as its reason.
 * Daemons look at the key alone, so the drain holds all the same. */
void BkDrainRow_SetUnreadable(BkDrainRow *out, const BkCtlRow *row);

void BkInForceRow_Clear(BkInForceRow *row);
void BkAuditRow_Clear(BkAuditRow *row);
void BkDrainRow_Clear(BkDrainRow *row);
void BkProgressRow_Clear(BkProgressRow *row);
void BkTermRow_Clear(BkTermRow *row);

/* Encoders. The bundle's text, if not NULL, is added as the member "text". */
void BkInForceRow_Encode(const BkInForceRow *row, const char *text,
                         BkBuf *out);
void BkAuditRow_Encode(const BkAuditRow *row, BkBuf *out);
void BkDrainRow_Encode(const BkDrainRow *row, BkBuf *out);

/* Read and decode one row. ERRORS: as BkCtl_ReadRow; BK_EDECODE. */
BkStatus BkCtl_ReadInForce(BkCtl *ctl, BkInForceRow *out);
BkStatus BkCtl_ReadDrain(BkCtl *ctl, const char *upstream, BkDrainRow *out);
BkStatus BkCtl_ReadProgress(BkCtl *ctl, BkProgressRow *out);
BkStatus BkCtl_ReadTerm(BkCtl *ctl, BkTermRow *out);

#endif
