#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "bk/base/counters.h"
#include "bk/base/log.h"
#include "bk/bundle/signature.h"
#include "bk/daemon/internal.h"

/*
 * A configuration is fetched in up to two steps: its sign-off (in the row,
 * or from the peer that told of it), then its text (from the object store,
 * else from the peer). One fetch runs at a time; the next news starts
 * another one if it failed.
 */

enum {
    FETCH_TIMEOUT_MS = 2000,
    MAX_SIGN_OFF = 16 * 1024,
    URL_BYTES = 256
};

typedef struct SignOff {
    uint64_t version;
    unsigned char digest[BK_DIGEST_BYTES];
    char signature[BK_SIGNATURE_HEX];
    char signer[BK_SIGNER_HEX];
} SignOff;

struct BkConfigSync {
    BkDaemon *daemon;
    BkTimer *poll_timer;
    bool polling;
    bool fetching;
    SignOff wanted;
    char peer_ops[BKG_NAME + 1]; /* who told of it; "" if the platform did */
    SignOff acting;              /* sign-off of what is acted upon */
    BkCounter *version_gauge;
};

static const char *
digest_hex(const unsigned char *digest, char *hex)
{
    BkDigest_Hex(digest, hex);
    return hex;
}

static bool
copy_member(const json_t *root, const char *name, char *out, size_t size)
{
    const char *text = json_string_value(json_object_get(root, name));

    if (text == NULL || strlen(text) + 1 != size) {
        return false;
    }
    memcpy(out, text, size);
    return true;
}

/* the members that the row, /peer/in-force and a push have in common */
static BkStatus
read_sign_off(const json_t *root, SignOff *out)
{
    const char *digest = json_string_value(json_object_get(root, "digest"));

    out->version =
        (uint64_t)json_integer_value(json_object_get(root, "version"));
    if (out->version == 0 ||
        BkDigest_Parse(BkStr_FromC(digest), out->digest) != BK_OK ||
        !copy_member(root, "signature", out->signature, BK_SIGNATURE_HEX) ||
        !copy_member(root, "signer", out->signer, BK_SIGNER_HEX)) {
        return BkErr_Set(BK_EDECODE, "not a configuration in force");
    }
    return BK_OK;
}

static BkStatus
verify(const BkConfigSync *sync, const SignOff *off)
{
    return BkSign_Verify(off->digest, BkStr_FromC(off->signature),
                         BkStr_FromC(off->signer),
                         BkStr_FromC(sync->daemon->conf->signers));
}

static void
log_refusal(const SignOff *off, const char *what)
{
    BK_LOG(BK_LOG_ERR, "config", NULL, "version %llu: %s: %s",
           (unsigned long long)off->version, what, BkErr_Last());
}

/* replaces bundle and view; the program is told while both still stand */
static void
act_on(BkConfigSync *sync, BkBundle *bundle, const SignOff *off)
{
    BkDaemon *daemon = sync->daemon;
    BkBundle *old_bundle = daemon->bundle;
    BkView *old_view = daemon->view;

    daemon->bundle = bundle;
    daemon->view = BkView_Create(bundle, old_view);
    sync->acting = *off;
    BkCounter_Set(sync->version_gauge, (int64_t)off->version);
    BK_LOG(BK_LOG_NOTICE, "config", NULL, "version %llu (%s) in force",
           (unsigned long long)off->version, bundle->name);
    if (daemon->hooks.on_bundle != NULL) {
        daemon->hooks.on_bundle(bundle, daemon->view, daemon->hooks.arg);
    }
    BkUpstreamWatch_OnViewReplaced(daemon->watch);
    BkView_Destroy(old_view);
    BkBundle_Destroy(old_bundle);
}

/* the text of a sign-off that was verified */
static BkStatus
take_text(BkConfigSync *sync, const SignOff *off, BkStr text)
{
    BkStatus status;
    BkBundle *bundle = BkBundle_Parse("bundle in force", text, &status);

    if (bundle == NULL) {
        return status;
    }
    if (memcmp(bundle->digest, off->digest, BK_DIGEST_BYTES) != 0) {
        BkBundle_Destroy(bundle);
        return BkErr_Set(BK_EBUNDLE, "the text is not that of the digest");
    }
    if (!BkInForce_Activate(&sync->daemon->inforce, off->version,
                            off->digest)) {
        BkBundle_Destroy(bundle);
        return BK_OK;
    }
    act_on(sync, bundle, off);
    return BK_OK;
}

static void
finish_fetch(BkConfigSync *sync, BkStatus status)
{
    sync->fetching = false;
    if (status != BK_OK) {
        log_refusal(&sync->wanted, "cannot be fetched");
    }
}

static void
take_peer_text(const BkHttpResult *result, BkStr body, void *arg)
{
    BkConfigSync *sync = arg;
    BkStatus status = result->status;

    BkControl_CountBytes("bundle", result);
    if (status == BK_OK && result->code == 200) {
        status = take_text(sync, &sync->wanted, body);
    }
    else {
        status = BkErr_Set(BK_ENOTFOUND, "peer %s has no text of it",
                           sync->peer_ops);
    }
    finish_fetch(sync, status);
}

static void
get_from_peer(BkConfigSync *sync, const char *path, size_t max,
              BkHttpFetchFn fn)
{
    char url[URL_BYTES];
    BkHttpSpec spec = {.method = "GET", .url = url};

    spec.timeout = FETCH_TIMEOUT_MS;
    snprintf(url, sizeof(url), "http://%s/peer/%s", sync->peer_ops, path);
    BkHttpClient_Fetch(sync->daemon->http, &spec, max, fn, sync);
}

static void
take_object(const BkPlatReply *reply, void *arg)
{
    BkConfigSync *sync = arg;
    char hex[BK_DIGEST_BYTES * 2 + 1];
    char path[URL_BYTES];

    if (reply->status == BK_OK) {
        finish_fetch(sync, take_text(sync, &sync->wanted, reply->body));
        return;
    }
    if (sync->peer_ops[0] == '\0') {
        finish_fetch(sync, reply->status);
        return;
    }
    snprintf(path, sizeof(path), "bundle/%s",
             digest_hex(sync->wanted.digest, hex));
    get_from_peer(sync, path, BK_BUNDLE_MAX_BYTES, take_peer_text);
}

static void
fetch_text(BkConfigSync *sync)
{
    char hex[BK_DIGEST_BYTES * 2 + 1];
    char name[URL_BYTES];

    if (verify(sync, &sync->wanted) != BK_OK) {
        finish_fetch(sync, BK_ESIGNATURE);
        return;
    }
    snprintf(name, sizeof(name), "bundle-%s",
             digest_hex(sync->wanted.digest, hex));
    BkPlat_GetObject(sync->daemon->plat, BkStr_FromC(name), take_object, sync);
}

static void
take_peer_sign_off(const BkHttpResult *result, BkStr body, void *arg)
{
    BkConfigSync *sync = arg;
    SignOff off;
    json_t *root = NULL;

    BkControl_CountBytes("bundle", result);
    if (result->status == BK_OK && result->code == 200) {
        root = json_loadb(body.ptr, body.len, 0, NULL);
    }
    BkStatus status = read_sign_off(root, &off);
    json_decref(root);
    if (status != BK_OK) {
        finish_fetch(sync, status);
        return;
    }
    if (off.version != sync->wanted.version ||
        memcmp(off.digest, sync->wanted.digest, BK_DIGEST_BYTES) != 0) {
        finish_fetch(sync, BkErr_Set(BK_ETRYAGAIN, "the peer moved on"));
        return;
    }
    sync->wanted = off;
    fetch_text(sync);
}

static BkInForceResult
take_news(BkConfigSync *sync, BkInForceSource source, const SignOff *off)
{
    BkInForceResult verdict =
        BkInForce_RecordReport(&sync->daemon->inforce, source, off->version,
                               off->digest, BkClock_Now());

    if (verdict == BK_INFORCE_CONFLICT) {
        BK_LOG(BK_LOG_CRIT, "config", NULL,
               "version %llu is told with two digests; the first one stays",
               (unsigned long long)off->version);
    }
    return verdict;
}

void
BkConfigSync_OnPeerReport(BkConfigSync *sync, uint64_t version,
                      const unsigned char *digest, const char *ops)
{
    SignOff off = {.version = version};

    memcpy(off.digest, digest, BK_DIGEST_BYTES);
    if (take_news(sync, BK_INFORCE_FROM_PEER, &off) != BK_INFORCE_FETCH ||
        sync->fetching || BkSettings_ParseAddr(BkStr_FromC(ops)) != BK_OK) {
        return;
    }
    sync->fetching = true;
    sync->wanted = off;
    snprintf(sync->peer_ops, sizeof(sync->peer_ops), "%s", ops);
    get_from_peer(sync, "in-force", MAX_SIGN_OFF, take_peer_sign_off);
}

static void
take_row(const BkPlatReply *reply, void *arg)
{
    BkConfigSync *sync = arg;
    SignOff off;

    sync->polling = false;
    if (reply->status == BK_ENOTFOUND) {
        sync->daemon->inforce.platform_heard_at = BkClock_Now();
        return;
    }
    if (reply->status != BK_OK || reply->count == 0) {
        return;
    }
    BkStr data = reply->rows[0].data;
    json_t *root = json_loadb(data.ptr, data.len, 0, NULL);
    BkStatus status = read_sign_off(root, &off);
    json_decref(root);
    if (status != BK_OK) {
        BK_LOG(BK_LOG_ERR, "config", NULL, "row in force: %s", BkErr_Last());
        return;
    }
    if (take_news(sync, BK_INFORCE_FROM_PLATFORM, &off) == BK_INFORCE_FETCH &&
        !sync->fetching) {
        sync->fetching = true;
        sync->wanted = off;
        sync->peer_ops[0] = '\0';
        fetch_text(sync);
    }
}

static void
poll_row(void *arg)
{
    BkConfigSync *sync = arg;
    BkMs period = sync->daemon->conf->bundle_poll_period;
    BkMs jitter =
        (BkMs)BkRng_Below(&sync->daemon->rng, (uint32_t)period / 4 + 1);

    BkTimer_Start(sync->poll_timer, period - period / 4 + jitter);
    if (sync->polling) {
        return;
    }
    sync->polling = true;
    BkPlat_ReadRow(sync->daemon->plat, BK_STR("bundle"), BK_STR("in-force"),
                   take_row, sync);
}

BkConfigSync *
BkConfigSync_Create(BkDaemon *daemon)
{
    BkConfigSync *sync = BkMem_New(1, sizeof(*sync));

    sync->daemon = daemon;
    sync->poll_timer = BkTimer_Create(daemon->loop, poll_row, sync);
    sync->version_gauge =
        BkCounter_Get("bk_config_version", NULL, "configuration acted upon");
    BkTimer_Start(sync->poll_timer, 0);
    return sync;
}

void
BkConfigSync_Destroy(BkConfigSync *sync)
{
    if (sync == NULL) {
        return;
    }
    BkTimer_Destroy(sync->poll_timer);
    free(sync);
}

void
BkConfigSync_ReplyInForce(BkConfigSync *sync, BkHttpReq *req)
{
    char hex[BK_DIGEST_BYTES * 2 + 1];
    BkDaemon *daemon = sync->daemon;
    bool current = BkInForce_Current(&daemon->inforce, BkClock_Now());

    if (daemon->bundle == NULL) {
        BkHttpReq_Fail(req, BK_ENOTFOUND, "no configuration yet", 0);
        return;
    }
    json_t *root = json_pack(
        "{sI ss ss ss sb sI ss si}", "version",
        (json_int_t)sync->acting.version, "digest",
        digest_hex(sync->acting.digest, hex), "signature",
        sync->acting.signature, "signer", sync->acting.signer, "current",
        current, "acting", (json_int_t)daemon->inforce.active_version,
        "daemon", daemon->conf->name, "role", (int)daemon->role);
    char *text = json_dumps(root, JSON_COMPACT);
    BkHttpReq_Reply(req, 200, NULL, BK_STR("application/json"),
                    BkStr_FromC(text));
    free(text);
    json_decref(root);
}

void
BkConfigSync_ReplyBundle(BkConfigSync *sync, BkHttpReq *req, BkStr digest)
{
    unsigned char wanted[BK_DIGEST_BYTES];
    const BkBundle *bundle = sync->daemon->bundle;

    if (bundle == NULL || BkDigest_Parse(digest, wanted) != BK_OK ||
        memcmp(bundle->digest, wanted, BK_DIGEST_BYTES) != 0) {
        BkHttpReq_Fail(req, BK_ENOTFOUND, "not acted upon here", 0);
        return;
    }
    BkHttpReq_Reply(req, 200, NULL, BK_STR("text/plain"),
                    (BkStr){bundle->text, bundle->text_len});
}

static BkStatus
take_push(BkConfigSync *sync, const json_t *root)
{
    SignOff off;
    const json_t *text = json_object_get(root, "text");
    BkStatus status = read_sign_off(root, &off);

    if (status == BK_OK && !json_is_string(text)) {
        status = BkErr_Set(BK_EDECODE, "the push has no text");
    }
    if (status == BK_OK) {
        status = verify(sync, &off);
    }
    if (status != BK_OK ||
        take_news(sync, BK_INFORCE_FROM_OPERATOR, &off) != BK_INFORCE_FETCH) {
        return status;
    }
    BkStr bytes = {json_string_value(text), json_string_length(text)};
    return take_text(sync, &off, bytes);
}

void
BkConfigSync_HandlePush(BkConfigSync *sync, BkHttpReq *req)
{
    BkStr body = BkHttpReq_Body(req);
    json_t *root = json_loadb(body.ptr, body.len, 0, NULL);
    BkStatus status = take_push(sync, root);

    json_decref(root);
    if (status != BK_OK) {
        BkHttpReq_Fail(req, status, BkErr_Last(), 0);
        return;
    }
    BkConfigSync_ReplyInForce(sync, req);
}
