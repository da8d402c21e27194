#include <inttypes.h>
#include <jansson.h>
#include <sodium.h>
#include <stdio.h>
#include <string.h>

#include "bk/place/place.h"
#include "change.h"
#include "output.h"
#include "roll.h"
#include "sigfile.h"

enum {
    MAX_OBJECT_NAME = 96,
    MAX_NUMBER = 32,
    NONCE_BYTES = 16
};

/* the same command gives the same nonce, so that asking again finds out */
static void
derive_nonce(const BkRoll *roll, char *nonce)
{
    crypto_generichash_state state;
    unsigned char bytes[NONCE_BYTES];
    char number[MAX_NUMBER];
    int len = snprintf(number, sizeof(number), "%" PRIu64 " ", roll->replaces);

    crypto_generichash_init(&state, NULL, 0, sizeof(bytes));
    crypto_generichash_update(&state, roll->bundle->digest, BK_DIGEST_BYTES);
    crypto_generichash_update(&state, (const unsigned char *)number,
                              (unsigned long long)len);
    crypto_generichash_update(&state, (const unsigned char *)roll->by,
                              strlen(roll->by));
    crypto_generichash_final(&state, bytes, sizeof(bytes));
    sodium_bin2hex(nonce, BK_CTL_NONCE, bytes, sizeof(bytes));
}

static BkStatus
prepare_roll(BkCtl *ctl, const char *path, BkRoll *roll)
{
    BkSigFile sig;
    BkInForceRow *row = &roll->row;
    BkStatus status = BkCtl_By(ctl, &roll->by);

    if (status == BK_OK && BkStr_ToU64(BkStr_FromC(ctl->options.replaces),
                                       &roll->replaces) != BK_OK) {
        status = BkErr_Set(BK_EUSAGE,
                           "--replaces: \"%s\" is not a version number; "
                           "bkctl status shows it, 0 is for the first roll",
                           ctl->options.replaces);
    }
    if (status == BK_OK) {
        status = BkCtl_LoadBundle(path, &roll->bundle);
    }
    if (status == BK_OK) {
        status = BkSigFile_Read(path, roll->bundle,
                                BkStr_FromC(ctl->conf.signers), &sig);
    }
    if (status != BK_OK) {
        return status;
    }
    row->version = roll->replaces + 1;
    BkDigest_Hex(roll->bundle->digest, row->digest);
    memcpy(row->signature, sig.signature, sizeof(row->signature));
    memcpy(row->signer, sig.signer, sizeof(row->signer));
    derive_nonce(roll, row->nonce);
    row->name = BkStr_Dup(BkStr_FromC(roll->bundle->name));
    row->note = BkStr_Dup(BkStr_FromC(roll->bundle->note));
    row->by = BkStr_Dup(BkStr_FromC(roll->by));
    return BK_OK;
}

static void
clear_roll(BkRoll *roll)
{
    BkBundle_Destroy(roll->bundle);
    BkInForceRow_Clear(&roll->row);
}

/* the text of the bundle in force, of the store or else of a daemon */
static BkStatus
fetch_text(BkCtl *ctl, const char *digest, BkBuf *text)
{
    char name[MAX_OBJECT_NAME];
    BkCtlAnswers answers;

    snprintf(name, sizeof(name), "bundle-%s", digest);
    BkStatus status = BkCtl_GetObject(ctl, name, text);
    if (status != BK_ENOTFOUND) {
        return status;
    }
    snprintf(name, sizeof(name), "/peer/bundle/%s", digest);
    BkCtl_AskDaemons(ctl, "GET", name, BK_STR(""), &answers);
    for (int i = 0; i < answers.count && status != BK_OK; i++) {
        if (answers.list[i].status == BK_OK) {
            BkBuf_Clear(text);
            BkBuf_Append(text, BkBuf_Str(&answers.list[i].body));
            status = BK_OK;
        }
    }
    BkCtlAnswers_Clear(&answers);
    if (status != BK_OK) {
        BkErr_Set(BK_ENOTFOUND,
                  "neither the store nor a daemon has the text of the bundle "
                  "in force (%.12s)",
                  digest);
    }
    return status;
}

BkStatus
BkCtl_FetchBundle(BkCtl *ctl, const BkInForceRow *row, BkBundle **bundle)
{
    BkBuf text = BkBuf_Make(BK_BUNDLE_MAX_BYTES);
    unsigned char digest[BK_DIGEST_BYTES];
    BkStatus status = fetch_text(ctl, row->digest, &text);

    *bundle = NULL;
    if (status == BK_OK) {
        *bundle = BkBundle_Parse("bundle in force", BkBuf_Str(&text), &status);
    }
    BkBuf_Destroy(&text);
    if (status == BK_OK &&
        (BkDigest_Parse(BkStr_FromC(row->digest), digest) != BK_OK ||
         memcmp(digest, (*bundle)->digest, sizeof(digest)) != 0)) {
        BkBundle_Destroy(*bundle);
        *bundle = NULL;
        status = BkErr_Set(BK_EDECODE,
                           "the store's text of the bundle in force is not "
                           "that of its digest %.12s",
                           row->digest);
    }
    return status;
}

static BkStatus
fail_unread(const BkCtl *ctl)
{
    return BkErr_Set(BK_EUNKNOWN,
                     "outcome unknown: the platform at %s does not answer; "
                     "ask again with the same command",
                     ctl->conf.platform);
}

/* an earlier run may have been accepted: this one cannot tell */
static BkStatus
fail_silent(const BkCtl *ctl)
{
    return BkErr_Set(BK_EPLATFORM,
                     "the platform at %s does not answer; this run changed "
                     "nothing. What an earlier run of the same command did "
                     "is not known; ask again",
                     ctl->conf.platform);
}

static BkStatus
fail_taken(const BkRoll *roll, const BkInForceRow *now,
           const BkAuditRow *taken)
{
    uint64_t in_force = now->version;

    if (taken->by == NULL) {
        return BkErr_Set(BK_ECONFLICT,
                         "version %" PRIu64 " is in force, rolled by %s; "
                         "nothing was changed. Look at it, then roll with "
                         "--replaces %" PRIu64,
                         in_force, now->by, in_force);
    }
    return BkErr_Set(BK_ECONFLICT,
                     "version %" PRIu64 " was rolled by %.60s at %s: %s "
                     "(%.100s); "
                     "nothing was changed. In force is version %" PRIu64
                     ": look at it, then roll with --replaces %" PRIu64,
                     roll->replaces + 1, taken->by, taken->at, taken->subject,
                     taken->why, in_force, in_force);
}

/* the version to be replaced is not in force: did this roll replace it? */
static BkStatus
resolve_taken(BkCtl *ctl, BkRoll *roll, const BkInForceRow *now)
{
    BkAuditRow taken = {0};
    BkStatus status = BK_OK;

    if (now->version < roll->replaces) {
        return BkErr_Set(BK_ECONFLICT,
                         "version %" PRIu64 " is in force, not %" PRIu64
                         " or later; nothing was changed",
                         now->version, roll->replaces);
    }
    bool last = now->version == roll->replaces + 1;
    status = BkCtl_FindRoll(ctl, roll->replaces + 1, &taken);
    const char *nonce = last ? now->nonce : taken.nonce;
    roll->in_force = now->version;
    if (!last && status == BK_EPLATFORM) {
        status = fail_unread(ctl);
    }
    else if (strcmp(nonce, roll->row.nonce) == 0) {
        status = BK_OK;
    }
    else if (last || status == BK_OK) {
        status = fail_taken(roll, now, &taken);
    }
    BkAuditRow_Clear(&taken);
    return status;
}

static BkStatus
check_feasible(BkCtl *ctl, const BkRoll *roll, const BkInForceRow *now)
{
    BkBundle *prev = NULL;
    BkStatus status = BK_OK;

    if (now->version != 0) {
        status = BkCtl_FetchBundle(ctl, now, &prev);
    }
    if (status == BK_OK) {
        status = BkPlace_CheckFeasible(roll->bundle, prev);
    }
    BkBundle_Destroy(prev);
    return status;
}

/* the text goes first: a version in force without its text helps nobody */
static BkStatus
put_text(BkCtl *ctl, const BkRoll *roll)
{
    char name[MAX_OBJECT_NAME];
    BkStr text = {roll->bundle->text, roll->bundle->text_len};

    snprintf(name, sizeof(name), "bundle-%s", roll->row.digest);
    if (BkCtl_PutObject(ctl, name, text) != BK_OK) {
        return BkErr_Set(BK_EPLATFORM,
                         "the platform's store did not take the text; "
                         "nothing was changed");
    }
    return BK_OK;
}

static BkStatus
commit_roll(BkCtl *ctl, BkRoll *roll, uint64_t row_version)
{
    BkBuf data = BkBuf_Make(0);

    BkInForceRow_Encode(&roll->row, NULL, &data);
    BkChange change = {
        .table = "bundle",
        .key = "in-force",
        .row_version = row_version,
        .data = BkBuf_Str(&data),
        .audit = {.by = roll->row.by,
                  .action = "roll",
                  .subject = roll->row.name,
                  .why = (char *)ctl->options.why,
                  .version = roll->row.version},
    };
    memcpy(change.audit.nonce, roll->row.nonce, sizeof(change.audit.nonce));
    BkStatus status = BkCtl_Change(ctl, &change);
    BkBuf_Destroy(&data);
    return status;
}

/* carries the roll out, or finds out that it was carried out before */
static BkStatus
accept_roll(BkCtl *ctl, BkRoll *roll)
{
    BkInForceRow now;
    BkStatus status = BkCtl_ReadInForce(ctl, &now);

    if (status == BK_EPLATFORM) {
        return fail_silent(ctl);
    }
    if (status == BK_OK && now.version != roll->replaces) {
        roll->asked_again = true;
        status = resolve_taken(ctl, roll, &now);
        BkInForceRow_Clear(&now);
        return status;
    }
    if (status == BK_OK) {
        status = check_feasible(ctl, roll, &now);
    }
    if (status == BK_OK) {
        status = put_text(ctl, roll);
    }
    if (status != BK_OK) {
        BkInForceRow_Clear(&now);
        return status;
    }
    status = commit_roll(ctl, roll, now.row_version);
    BkInForceRow_Clear(&now);
    roll->in_force = roll->row.version;
    if (status != BK_ECONFLICT) {
        return status;
    }
    status = BkCtl_ReadInForce(ctl, &now);
    status =
        status == BK_OK ? resolve_taken(ctl, roll, &now) : fail_unread(ctl);
    BkInForceRow_Clear(&now);
    return status;
}

/* tells all daemons at once, so that they need not wait for their poll */
static void
push_news(BkCtl *ctl, BkRoll *roll)
{
    BkBuf body = BkBuf_Make(0);
    BkCtlAnswers answers;

    BkInForceRow_Encode(&roll->row, roll->bundle->text, &body);
    BkCtl_AskDaemons(ctl, "POST", "/peer/in-force", BkBuf_Str(&body),
                     &answers);
    roll->daemons = answers.count;
    for (int i = 0; i < answers.count; i++) {
        roll->told += answers.list[i].status == BK_OK;
    }
    BkCtlAnswers_Clear(&answers);
    BkBuf_Destroy(&body);
}

/* failure: what --wait ended with; the acceptance stands */
static void
print_json(BkCtl *ctl, const BkRoll *roll, BkStatus failure)
{
    json_t *out = json_pack(
        "{s:s, s:I, s:I, s:s, s:b, s:i, s:i, s:b}", "bundle", roll->row.name,
        "accepted", (json_int_t)roll->row.version, "in_force",
        (json_int_t)roll->in_force, "digest", roll->row.digest, "asked_again",
        roll->asked_again, "told", roll->told, "daemons", roll->daemons,
        "rolled", roll->rolled);

    if (failure != BK_OK) {
        json_object_set_new(out, "error", BkCtl_ErrorJson(failure));
        ctl->reported = true;
    }
    BkCtl_PrintJson(out);
}

static void
print_accepted(const BkRoll *roll)
{
    printf("accepted%s: %s is version %" PRIu64 ", replacing %" PRIu64 "\n",
           roll->asked_again ? " before" : "", roll->row.name,
           roll->row.version, roll->replaces);
    if (roll->in_force > roll->row.version) {
        printf("since then version %" PRIu64 " was rolled; it is in force\n",
               roll->in_force);
        return;
    }
    printf("told %d of %d daemons\n", roll->told, roll->daemons);
    fflush(stdout);
}

BkStatus
BkCtl_BundleRoll(BkCtl *ctl, char **words)
{
    BkRoll roll = {0};
    BkStatus status = prepare_roll(ctl, words[0], &roll);

    if (status == BK_OK) {
        status = accept_roll(ctl, &roll);
    }
    if (status == BK_OK && roll.in_force == roll.row.version) {
        push_news(ctl, &roll);
    }
    /* people see the acceptance at once, machines get one object */
    if (status == BK_OK && !ctl->options.json) {
        print_accepted(&roll);
    }
    bool accepted = status == BK_OK;
    if (accepted && ctl->options.wait) {
        status = BkCtl_WaitRolled(ctl, &roll);
    }
    if (accepted && ctl->options.json) {
        print_json(ctl, &roll, status);
    }
    clear_roll(&roll);
    return status;
}
