/*
 * rows - the platform's rows that operators write and read
 *
 * Decoded forms of the JSON texts of docs/PROTOCOLS.md, "Rows". An absent
 * row decodes to a zeroed struct with row_version 0.
 */
#ifndef BK_CTL_ROWS_H
#define BK_CTL_ROWS_H

#include "bk/bundle/signature.h"
#include "client.h"

enum {
    BK_CTL_NONCE = 33,      /* hex digits of a roll's nonce, zero byte */
    BK_CTL_AUDIT_KEY = 17,  /* hex digits of an audit number, zero byte */
    BK_CTL_DIGEST_HEX = 65, /* zero byte included */
    BK_CTL_TIME = 32        /* of BkClock_Format */
};

/* bundle/in-force */
typedef struct BkInForceRow {
    uint64_t row_version;
    BkMs age;
    uint64_t version; /* of the bundle; 0: none yet */
    char digest[BK_CTL_DIGEST_HEX];
    char signature[BK_SIGNATURE_HEX];
    char signer[BK_SIGNER_HEX];
    char nonce[BK_CTL_NONCE]; /* recognises a roll whose answer was lost */
    char *name;
    char *note;
    char *by;
} BkInForceRow;

/* audit/NUMBER */
typedef struct BkAuditRow {
    uint64_t number;
    char at[BK_CTL_TIME];
    char *by;
    char *action; /* "roll", "drain", "undrain" */
    char *subject;
    char *why;
    uint64_t version;         /* of the bundle that a roll brought */
    char nonce[BK_CTL_NONCE]; /* of a roll */
} BkAuditRow;

/* drain/UPSTREAM */
typedef struct BkDrainRow {
    uint64_t row_version;
    BkMs age;
    char *upstream;
    char *by;
    char *why;
} BkDrainRow;

/* An order whose outcome the planner does not know. */
typedef struct BkDoubt {
    char *upstream;
    char *instance;
} BkDoubt;

/* planner/progress */
typedef struct BkProgressRow {
    uint64_t row_version;
    BkMs age;
    uint64_t version;
    bool rolled;
    char **missing; /* items without a ready copy */
    int missing_count;
    BkDoubt *doubts;
    int doubt_count;
    int64_t moves;
} BkProgressRow;

/* planner/term */
typedef struct BkTermRow {
    uint64_t row_version;
    BkMs age;
    uint64_t term;
    char *holder;
} BkTermRow;

/* ERRORS of the decoders: BK_EDECODE, naming the row. */
BkStatus BkInForceRow_Decode(BkInForceRow *out, const BkCtlRow *row);
BkStatus BkAuditRow_Decode(BkAuditRow *out, const BkCtlRow *row);
BkStatus BkDrainRow_Decode(BkDrainRow *out, const BkCtlRow *row);
BkStatus BkProgressRow_Decode(BkProgressRow *out, const BkCtlRow *row);
BkStatus BkTermRow_Decode(BkTermRow *out, const BkCtlRow *row);

void BkInForceRow_Clear(BkInForceRow *row);
void BkAuditRow_Clear(BkAuditRow *row);
void BkDrainRow_Clear(BkDrainRow *row);
void BkProgressRow_Clear(BkProgressRow *row);
void BkTermRow_Clear(BkTermRow *row);

/* text, if not NULL, is added as the member of that name. */
void BkInForceRow_Encode(const BkInForceRow *row, const char *text,
                         BkBuf *out);
void BkAuditRow_Encode(const BkAuditRow *row, BkBuf *out);
void BkDrainRow_Encode(const BkDrainRow *row, BkBuf *out);

/* Reads and decodes the one row. ERRORS: as BkCtl_Read; BK_EDECODE. */
BkStatus BkCtl_ReadInForce(BkCtl *ctl, BkInForceRow *out);
BkStatus BkCtl_ReadDrain(BkCtl *ctl, const char *upstream, BkDrainRow *out);
BkStatus BkCtl_ReadProgress(BkCtl *ctl, BkProgressRow *out);
BkStatus BkCtl_ReadTerm(BkCtl *ctl, BkTermRow *out);

#endif
