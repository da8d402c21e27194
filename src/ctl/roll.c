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
    OBJECT_NAME_BYTES = 96,
    MAX_NUMBER = 32,
    NONCE_BYTES = 16
};

/* The same command always gives the same nonce, so running it again shows
 * whether the earlier run was accepted. */
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
    sodium_bin2hex(nonce, BK_CTL_NONCE_SIZE, bytes, sizeof(bytes));
}

static BkStatus
prepare_roll(BkCtl *ctl, const char *path, BkRoll *roll)
{
    BkSigFile sig;
    BkInForceRow *row = &roll->row;
    BkStatus status = BkCtl_OperatorName(ctl, &roll->by);

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
    BkDigest_ToHex(roll->bundle->digest, row->digest);
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

/* Fetches the text of the bundle in force from the store, or from a daemon if
 * the store does not have it. */
static BkStatus
fetch_text(BkCtl *ctl, const char *digest, BkBuf *text)
{
    char object_or_path[OBJECT_NAME_BYTES];
    BkCtlResponses responses;

    snprintf(object_or_path, sizeof(object_or_path), "bundle-%s", digest);
    BkStatus status = BkCtl_GetObject(ctl, object_or_path, text);
    if (status != BK_ENOTFOUND) {
        return status;
    }
    snprintf(object_or_path, sizeof(object_or_path), "/peer/bundle/%s",
             digest);
    BkCtl_CallDaemons(ctl, ctl->conf.daemons, "GET", object_or_path,
                      BK_STR(""), &responses);
    for (int i = 0; i < responses.count && status != BK_OK; i++) {
        if (responses.list[i].status == BK_OK) {
            BkBuf_Clear(text);
            BkBuf_Append(text, BkBuf_Str(&responses.list[i].body));
            status = BK_OK;
        }
    }
    BkCtlResponses_Clear(&responses);
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
                           "the stored text of the bundle in force does not "
                           "match its digest %.12s",
                           row->digest);
    }
    return status;
}

static BkStatus
fail_outcome_unknown(const BkCtl *ctl)
{
    return BkErr_Set(BK_EUNKNOWN,
                     "outcome unknown: the platform at %s does not answer; "
                     "ask again with the same command",
                     ctl->conf.platform);
}

/* An earlier run may have been accepted; this run cannot find out. */
static BkStatus
fail_no_answer(const BkCtl *ctl)
{
    return BkErr_Set(BK_EPLATFORM,
                     "the platform at %s does not answer; this run changed "
                     "nothing. What an earlier run of the same command did "
                     "is not known; ask again",
                     ctl->conf.platform);
}

/* Another roll replaced the version. entry: its audit entry; by is NULL if the
 * entry could not be read. */
static BkStatus
fail_replaced(const BkRoll *roll, const BkInForceRow *current,
              const BkAuditRow *entry)
{
    uint64_t in_force = current->version;

    if (entry->by == NULL) {
        return BkErr_Set(BK_ECONFLICT,
                         "version %" PRIu64 " is in force, rolled by %s; "
                         "nothing was changed. Look at it, then roll with "
                         "--replaces %" PRIu64,
                         in_force, current->by, in_force);
    }
    return BkErr_Set(BK_ECONFLICT,
                     "version %" PRIu64 " was rolled by %.60s at %s: %s "
                     "(%.100s); "
                     "nothing was changed. In force is version %" PRIu64
                     ": look at it, then roll with --replaces %" PRIu64,
                     roll->replaces + 1, entry->by, entry->at, entry->subject,
                     entry->why, in_force, in_force);
}

/* Another version is in force than the one to be replaced. Finds out which
 * roll replaced it: this one (in an earlier run, or in an attempt whose
 * response was lost) or another. */
static BkStatus
resolve_conflict(BkCtl *ctl, BkRoll *roll, const BkInForceRow *current)
{
    BkAuditRow entry = {0};
    BkStatus status = BK_OK;

    if (current->version < roll->replaces) {
        return BkErr_Set(BK_ECONFLICT,
                         "version %" PRIu64 " is in force, not %" PRIu64
                         " or later; nothing was changed",
                         current->version, roll->replaces);
    }
    bool is_current = current->version == roll->replaces + 1;
    status = BkCtl_FindRoll(ctl, roll->replaces + 1, &entry);
    const char *nonce = is_current ? current->nonce : entry.nonce;
    roll->in_force_version = current->version;
    if (!is_current && status == BK_EPLATFORM) {
        status = fail_outcome_unknown(ctl);
    }
    else if (strcmp(nonce, roll->row.nonce) == 0) {
        status = BK_OK;
    }
    else if (is_current || status == BK_OK) {
        status = fail_replaced(roll, current, &entry);
    }
    BkAuditRow_Clear(&entry);
    return status;
}

static BkStatus
check_feasible(BkCtl *ctl, const BkRoll *roll, const BkInForceRow *current)
{
    BkBundle *prev = NULL;
    BkStatus status = BK_OK;

    if (current->version != 0) {
        status = BkCtl_FetchBundle(ctl, current, &prev);
    }
    if (status == BK_OK) {
        status = BkPlace_CheckFeasible(roll->bundle, prev);
    }
    BkBundle_Destroy(prev);
    return status;
}

/* Stores the text before the commit, because daemons cannot use a version in
 * force whose text is missing. */
static BkStatus
store_text(BkCtl *ctl, const BkRoll *roll)
{
    char name[OBJECT_NAME_BYTES];
    BkStr text = {roll->bundle->text, roll->bundle->text_len};

    snprintf(name, sizeof(name), "bundle-%s", roll->row.digest);
    if (BkCtl_PutObject(ctl, name, text) != BK_OK) {
        return BkErr_Set(BK_EPLATFORM,
                         "the platform's store did not accept the text; "
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

/* Commits the roll, or finds that it was committed before. */
static BkStatus
accept_roll(BkCtl *ctl, BkRoll *roll)
{
    BkInForceRow current;
    BkStatus status = BkCtl_ReadInForce(ctl, &current);

    if (status == BK_EPLATFORM) {
        return fail_no_answer(ctl);
    }
    if (status == BK_OK && current.version != roll->replaces) {
        roll->accepted_before = true;
        status = resolve_conflict(ctl, roll, &current);
        BkInForceRow_Clear(&current);
        return status;
    }
    if (status == BK_OK) {
        status = check_feasible(ctl, roll, &current);
    }
    if (status == BK_OK) {
        status = store_text(ctl, roll);
    }
    if (status != BK_OK) {
        BkInForceRow_Clear(&current);
        return status;
    }
    status = commit_roll(ctl, roll, current.row_version);
    BkInForceRow_Clear(&current);
    roll->in_force_version = roll->row.version;
    if (status != BK_ECONFLICT) {
        return status;
    }
    status = BkCtl_ReadInForce(ctl, &current);
    status = status == BK_OK ? resolve_conflict(ctl, roll, &current)
                             : fail_outcome_unknown(ctl);
    BkInForceRow_Clear(&current);
    return status;
}

/* Notifies all daemons, so that they need not wait for their next poll. */
static void
notify_daemons(BkCtl *ctl, BkRoll *roll)
{
    BkBuf body = BkBuf_Make(0);
    BkCtlResponses responses;

    BkInForceRow_Encode(&roll->row, roll->bundle->text, &body);
    BkCtl_CallDaemons(ctl, ctl->conf.daemons, "POST", "/peer/in-force",
                      BkBuf_Str(&body), &responses);
    roll->daemon_count = responses.count;
    for (int i = 0; i < responses.count; i++) {
        roll->notified_count += responses.list[i].status == BK_OK;
    }
    BkCtlResponses_Clear(&responses);
    BkBuf_Destroy(&body);
}

/* wait_status: result of --wait; the roll remains accepted if it failed */
static void
print_json(BkCtl *ctl, const BkRoll *roll, BkStatus wait_status)
{
    json_t *out = json_pack(
        "{s:s, s:I, s:I, s:s, s:b, s:i, s:i, s:b}", "bundle", roll->row.name,
        "accepted", (json_int_t)roll->row.version, "in_force",
        (json_int_t)roll->in_force_version, "digest", roll->row.digest,
        "asked_again", roll->accepted_before, "told", roll->notified_count,
        "daemons", roll->daemon_count, "rolled", roll->rolled);

    if (wait_status != BK_OK) {
        json_object_set_new(out, "error", BkCtl_ErrorJson(wait_status));
        ctl->failure_printed = true;
    }
    BkCtl_PrintJson(out);
}

static void
print_accepted(const BkRoll *roll)
{
    printf("accepted%s: %s is version %" PRIu64 ", replacing %" PRIu64 "\n",
           roll->accepted_before ? " before" : "", roll->row.name,
           roll->row.version, roll->replaces);
    if (roll->in_force_version > roll->row.version) {
        printf("since then version %" PRIu64 " was rolled; it is in force\n",
               roll->in_force_version);
        return;
    }
    printf("notified %d of %d daemons\n", roll->notified_count,
           roll->daemon_count);
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
    if (status == BK_OK && roll.in_force_version == roll.row.version) {
        notify_daemons(ctl, &roll);
    }
    /* text output shows the acceptance at once; JSON output is one object */
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
